//! One run: a fleet, its callers and backend servers, and the faults of a plan.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::Arc,
    time::Duration,
};

use celerycove_platform::outside::{self, ENGINES, TOOLS};
use rustix::process::Signal;
use tokio::{
    sync::{Mutex, watch},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    caller::{self, Caller},
    fleet::{self, Fleet, Folder},
    ledger::{Ledger, Violation},
    plan::{self, Event, Fault, Kind, Name, Shape},
    proxy::Proxy,
    server::Server,
};

/// How long the fleet may take until it serves for the first time.
const START: Duration = Duration::from_secs(30);
/// How long after the last fault everything must be served again.
const RECOVERY: Duration = Duration::from_secs(15);
/// How long an order may take before it is sent to another instance.
const ORDER: Duration = Duration::from_millis(1_500);
/// How often an order is sent before it is given up.
const ORDERS: usize = 12;
/// The pause between tries.
const PAUSE: Duration = Duration::from_millis(200);
/// The settings' time to stop, and what it may take beyond that on a busy machine.
const STOP: Duration = Duration::from_secs(6);
/// How often a process that is to stop is looked at.
const LOOK: Duration = Duration::from_millis(20);
/// What calls under way may take after the callers were told to stop.
const END: Duration = Duration::from_secs(8);
/// Backend servers of each service in each data centre.
const SERVERS: usize = 2;
/// Programs that must be served once all faults are over.
const AFTER: usize = 3;
/// A budget that holds any program.
const AMPLE: u64 = 100_000;

/// What a run is to do.
#[derive(Debug, Clone)]
pub struct Options {
    /// Draws the faults.
    pub seed: u64,
    /// How many processes, and for how long.
    pub shape: Shape,
    /// Programs under way at once.
    pub callers: usize,
    /// Tells apart the addresses of runs at the same time.
    pub run: u8,
}

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The promises that were broken.
    pub violations: Vec<Violation>,
    /// Turns and calls that were served.
    pub served: (u64, u64),
    /// Where the processes' logs are, if something was broken.
    pub logs: Option<std::path::PathBuf>,
}

/// A fleet with everything around it.
pub struct World {
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) ledger: Arc<Ledger>,
    servers: Vec<Arc<Server>>,
    /// The proxies before the backend servers.
    ways: Vec<Arc<Proxy>>,
    control: Vec<SocketAddr>,
    pub(crate) entries: Vec<SocketAddr>,
    versions: Mutex<Versions>,
}

#[derive(Debug, Default)]
struct Versions {
    /// The highest that was sent.
    sent: u64,
    /// The highest that was acknowledged.
    acknowledged: u64,
}

impl World {
    /// Starts a fleet and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns an error if something can't be started.
    pub async fn start(
        binary: &Path,
        folder: &Path,
        options: &Options,
    ) -> std::io::Result<Arc<Self>> {
        let shape = options.shape;
        let fleet = Fleet::start(binary, folder, options.run, shape).await?;
        let ledger = Arc::new(Ledger::default());
        let control = fleet.control();
        let (mut servers, mut ways) = (Vec::new(), Vec::new());
        for number in 0..shape.data_centres * SERVERS * 2 {
            let service = if number.is_multiple_of(2) {
                ENGINES
            } else {
                TOOLS
            };
            let place = fleet::data_centre(number / 2 % shape.data_centres);
            let host = u8::try_from(number + 1).unwrap_or(u8::MAX);
            let at = |net| {
                let ip = IpAddr::V4(Ipv4Addr::new(127, options.run, net, host));
                SocketAddr::new(ip, 8_080)
            };
            let (listen, told) = (at(130), at(131));
            ways.push(Proxy::start(told, listen).await?);
            let server = Server::start(
                (number, service),
                place,
                (listen, told),
                ledger.clone(),
                control.clone(),
            );
            servers.push(server.await?);
        }
        let world = Arc::new(Self {
            entries: fleet.callers(),
            control,
            fleet: Mutex::new(fleet),
            ledger,
            servers,
            ways,
            versions: Mutex::default(),
        });
        world.settle(START).await;
        Ok(world)
    }

    /// Waits until a configuration is acknowledged and programs are served.
    async fn settle(&self, patience: Duration) {
        let begun = Instant::now();
        self.configure(0).await;
        let mut caller = self.caller(0);
        let mut served = 0;
        while served < AFTER {
            if begun.elapsed() > patience {
                let seen = format!("{served} programs were served within {patience:?}");
                self.ledger.accuse("recovers", seen);
                return;
            }
            if caller.program(AMPLE).await {
                served += 1;
            } else {
                sleep(PAUSE).await;
            }
        }
    }

    pub(crate) fn caller(&self, next: usize) -> Caller {
        Caller {
            entries: self.entries.clone(),
            ledger: self.ledger.clone(),
            next,
        }
    }

    /// Sends a new configuration until it is acknowledged or given up.
    async fn configure(&self, first: usize) {
        let version = {
            let mut versions = self.versions.lock().await;
            versions.sent += 1;
            versions.sent
        };
        for attempt in 0..ORDERS {
            let at = self.control[(first + attempt) % self.control.len()];
            let config = outside::config(version);
            let sent = timeout(ORDER, caller::order(at, "PUT", "/config", config)).await;
            match sent {
                Ok(Ok((200, _))) => {
                    let mut versions = self.versions.lock().await;
                    versions.acknowledged = versions.acknowledged.max(version);
                    return;
                }
                Ok(Ok((status, _))) if (400..500).contains(&status) => {
                    let seen = format!("version {version} was answered {status}");
                    self.ledger.accuse("valid configurations are taken", seen);
                    return;
                }
                Ok(_) | Err(_) => sleep(PAUSE).await,
            }
        }
    }

    /// Reads the configuration at one instance and checks that it is no older than acknowledged.
    async fn read(&self, at: SocketAddr) -> bool {
        let acknowledged = self.versions.lock().await.acknowledged;
        let read = timeout(ORDER, caller::order(at, "GET", "/config", String::new())).await;
        let Ok(Ok((200, body))) = read else {
            return false;
        };
        let version = outside::version(&body);
        if version.is_none_or(|version| version < acknowledged) {
            let seen = format!("{at} told {version:?} after {acknowledged} was acknowledged");
            self.ledger.accuse("configurations never go back", seen);
        }
        true
    }

    async fn read_again_and_again(self: Arc<Self>, stop: watch::Receiver<bool>) {
        let mut next = 0;
        while !*stop.borrow() {
            next += 1;
            self.read(self.control[next % self.control.len()]).await;
            sleep(PAUSE).await;
        }
    }

    async fn apply(self: Arc<Self>, fault: Fault) -> std::io::Result<()> {
        match fault {
            Fault::Kill(name, lasts) => {
                self.fleet.lock().await.kill(name).await?;
                self.return_after(name, lasts).await
            }
            Fault::Torn(name, lasts) => {
                {
                    let mut fleet = self.fleet.lock().await;
                    fleet.kill(name).await?;
                    fleet.tear(name)?;
                }
                self.return_after(name, lasts).await
            }
            Fault::Wipe(name, lasts) => {
                {
                    let mut fleet = self.fleet.lock().await;
                    fleet.kill(name).await?;
                    fleet.wipe(name)?;
                }
                self.return_after(name, lasts).await
            }
            Fault::Restart(name) => self.restart(name).await,
            Fault::Pause(name, lasts) => {
                self.fleet.lock().await.signal(name, Signal::STOP);
                sleep(lasts).await;
                self.fleet.lock().await.signal(name, Signal::CONT);
                Ok(())
            }
            Fault::KillAll(lasts) => {
                let mut fleet = self.fleet.lock().await;
                let names: Vec<Name> = fleet.names().collect();
                for name in &names {
                    fleet.kill(*name).await?;
                }
                sleep(lasts).await;
                names.into_iter().try_for_each(|name| fleet.spawn(name))
            }
            Fault::Cut {
                name,
                one_way,
                lasts,
            } => {
                self.with_proxy(name, |proxy| proxy.cut(lasts, one_way))
                    .await;
                Ok(())
            }
            Fault::Reset(name) => {
                self.with_proxy(name, Proxy::reset).await;
                self.ways.iter().for_each(|way| way.reset());
                Ok(())
            }
            Fault::Delay { name, by, lasts } => {
                self.with_proxy(name, |proxy| proxy.delay(by, lasts)).await;
                Ok(())
            }
            Fault::Servers(lasts) => {
                self.servers.iter().for_each(|server| server.trouble(lasts));
                Ok(())
            }
            Fault::Configure { races } => {
                if races {
                    tokio::join!(self.configure(0), self.configure(1));
                } else {
                    self.configure(2).await;
                }
                Ok(())
            }
        }
    }

    async fn with_proxy(&self, name: Name, act: impl Fn(&Proxy)) {
        if let Some(proxy) = self.fleet.lock().await.proxy(name) {
            act(&proxy);
        }
    }

    async fn return_after(&self, name: Name, lasts: Duration) -> std::io::Result<()> {
        sleep(lasts).await;
        self.fleet.lock().await.spawn(name)
    }

    /// Asks a process to stop, waits until it has and starts it again. Another fault may kill it
    /// meanwhile.
    async fn restart(&self, name: Name) -> std::io::Result<()> {
        let id = {
            let fleet = self.fleet.lock().await;
            fleet.signal(name, Signal::CONT);
            fleet.signal(name, Signal::TERM);
            fleet.id(name)
        };
        let begun = Instant::now();
        while let Some(id) = id {
            let mut fleet = self.fleet.lock().await;
            if fleet.has_ended(name, id)? {
                break;
            }
            if begun.elapsed() > STOP {
                let seen = format!("{name:?} did not stop within {STOP:?}");
                self.ledger.accuse("processes stop when asked", seen);
                fleet.kill(name).await?;
                break;
            }
            drop(fleet);
            sleep(LOOK).await;
        }
        self.fleet.lock().await.spawn(name)
    }

    /// Ends all faults.
    async fn heal(&self) -> std::io::Result<()> {
        let mut fleet = self.fleet.lock().await;
        for (name, status) in fleet.ended() {
            let seen = format!("{name:?} ended with {status}");
            self.ledger
                .accuse("processes do not end by themselves", seen);
            fleet.kill(name).await?;
        }
        let names: Vec<Name> = fleet.names().collect();
        for name in names {
            fleet.signal(name, Signal::CONT);
            fleet.spawn(name)?;
            if let Some(proxy) = fleet.proxy(name) {
                proxy.heal();
            }
        }
        Ok(())
    }

    /// After the last fault: everything is served again, and the newest configuration is told.
    async fn finish(&self) {
        self.settle(RECOVERY).await;
        let begun = Instant::now();
        for at in self.control.clone() {
            while !self.read(at).await {
                if begun.elapsed() > RECOVERY {
                    self.ledger
                        .accuse("configurations can be read", format!("not at {at}"));
                    return;
                }
                sleep(PAUSE).await;
            }
        }
    }
}

/// Plays one run.
///
/// # Errors
///
/// Returns an error if something can't be started, written or waited for; what the fleet does wrong is in
/// the outcome.
pub async fn play(binary: &Path, options: &Options) -> std::io::Result<Outcome> {
    let mut folder = Folder::new(&format!("{}-{}", options.run, options.seed))?;
    let world = World::start(binary, &folder.path, options).await?;
    let (stop, stopped) = watch::channel(false);
    let mut callers = tokio::task::JoinSet::new();
    for next in 0..options.callers {
        callers.spawn(world.caller(next).run(stopped.clone()));
    }
    let reads = tokio::spawn(world.clone().read_again_and_again(stopped));
    inject(&world, plan::draw(options.seed, options.shape)).await?;
    world.heal().await?;
    world.finish().await;
    // Callers and readers hold receivers as long as they run.
    let _ = stop.send(true);
    if timeout(END, callers.join_all()).await.is_err() {
        world
            .ledger
            .accuse("callers end", format!("not within {END:?}"));
    }
    reads.abort();
    let violations = world.ledger.verdict();
    folder.keep = !violations.is_empty();
    Ok(Outcome {
        served: (world.ledger.served("turns"), world.ledger.served("calls")),
        logs: folder.keep.then(|| folder.path.clone()),
        violations,
    })
}

/// Lets the faults come, each by itself, and waits until all are over.
async fn inject(world: &Arc<World>, events: Vec<Event>) -> std::io::Result<()> {
    let begun = Instant::now();
    let mut faults = tokio::task::JoinSet::new();
    for event in events {
        sleep_until(begun + event.at).await;
        faults.spawn(world.clone().apply(event.fault));
    }
    while let Some(ended) = faults.join_next().await {
        ended.map_err(std::io::Error::other)??;
    }
    Ok(())
}

/// Processes of a kind, for measurements.
pub(crate) fn of_kind(kind: Kind, fleet: &Fleet) -> Vec<u32> {
    let names = fleet.names().filter(|(of, _)| *of == kind);
    names.filter_map(|name| fleet.id(name)).collect()
}
