//! One run: starts a fleet with callers and backend servers, injects the faults of a plan and
//! checks the outcome.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::Arc,
    time::Duration,
};

use celerycove_platform::simulation::{self, ENGINE_SERVICE, TOOL_SERVICE};
use rustix::process::Signal;
use tokio::{
    sync::{Mutex, watch},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    backend::Backend,
    caller::{self, Caller},
    checker::{Checker, Violation},
    fleet::{self, Fleet, RunDir},
    plan::{self, Event, Fault, Kind, Name, Shape},
    proxy::Proxy,
};

/// Maximum time from the start of the fleet until it serves requests.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time from the end of the last fault until requests are served and the configuration can
/// be read at every control instance again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of one request to a control instance.
const ADMIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of attempts to send a configuration.
const CONFIG_ATTEMPTS: usize = 12;
/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time from SIGTERM to the exit of a process: the shutdown time in its settings, plus a
/// margin for a busy machine.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which the exit of a stopping process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time that callers take to complete their requests in flight after `stop` is set.
const CALLERS_STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Number of backend servers of each service in each data centre.
const BACKENDS_PER_SERVICE: usize = 2;
/// Number of programs that must be served for the fleet to count as started or recovered.
const REQUIRED_PROGRAMS: usize = 3;
/// A token budget that no program uses up.
const AMPLE_BUDGET_TOKENS: u64 = 100_000;

/// The parameters of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seed of the fault plan.
    pub seed: u64,
    /// The number of processes and the length of the run.
    pub shape: Shape,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Second byte of all loopback addresses, so that concurrent runs use different ones.
    pub address_byte: u8,
}

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The guarantees that were violated.
    pub violations: Vec<Violation>,
    /// Number of successful turns and calls.
    pub served: (u64, u64),
    /// The directory with the processes' logs, if a guarantee was violated.
    pub logs: Option<std::path::PathBuf>,
}

/// A fleet with its proxies and backend servers, and the checker of what they observe.
pub struct Testbed {
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) checker: Arc<Checker>,
    backends: Vec<Arc<Backend>>,
    /// Proxies in front of the backend servers.
    backend_proxies: Vec<Arc<Proxy>>,
    control: Vec<SocketAddr>,
    pub(crate) entries: Vec<SocketAddr>,
    config_versions: Mutex<Versions>,
}

/// Versions of the configuration.
#[derive(Debug, Default)]
struct Versions {
    /// The highest version that was sent.
    sent: u64,
    /// The highest version that was acknowledged.
    acknowledged: u64,
}

impl Testbed {
    /// Starts a fleet and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or an address can't be bound.
    pub async fn start(
        binary: &Path,
        directory: &Path,
        options: &Options,
    ) -> std::io::Result<Arc<Self>> {
        let shape = options.shape;
        let fleet = Fleet::start(binary, directory, options.address_byte, shape).await?;
        let checker = Arc::new(Checker::default());
        let control = fleet.control_addresses();
        let (mut backends, mut backend_proxies) = (Vec::new(), Vec::new());
        for number in 0..shape.data_centres * BACKENDS_PER_SERVICE * 2 {
            let service = if number.is_multiple_of(2) {
                ENGINE_SERVICE
            } else {
                TOOL_SERVICE
            };
            let data_centre = fleet::data_centre(number / 2 % shape.data_centres);
            let fourth_byte = u8::try_from(number + 1).unwrap_or(u8::MAX);
            let address = |third_byte| {
                let ip = IpAddr::V4(Ipv4Addr::new(
                    127,
                    options.address_byte,
                    third_byte,
                    fourth_byte,
                ));
                SocketAddr::new(ip, 8_080)
            };
            let (listen, advertised) = (address(130), address(131));
            backend_proxies.push(Proxy::start(advertised, listen).await?);
            let backend = Backend::start(
                (number, service),
                data_centre,
                (listen, advertised),
                checker.clone(),
                control.clone(),
            );
            backends.push(backend.await?);
        }
        let testbed = Arc::new(Self {
            entries: fleet.entry_addresses(),
            control,
            fleet: Mutex::new(fleet),
            checker,
            backends,
            backend_proxies,
            config_versions: Mutex::default(),
        });
        testbed.await_service(START_TIMEOUT).await;
        Ok(testbed)
    }

    /// Sends a configuration and waits until programs are served; records a violation after
    /// `limit`.
    async fn await_service(&self, limit: Duration) {
        let started = Instant::now();
        while !self.configure(0).await {
            if started.elapsed() > limit {
                let seen = format!("no configuration was acknowledged within {limit:?}");
                self.checker.record_violation("recovers", seen);
                return;
            }
        }
        let mut caller = self.caller(0);
        let mut served = 0;
        while served < REQUIRED_PROGRAMS {
            if started.elapsed() > limit {
                let seen = format!("only {served} programs were served within {limit:?}");
                self.checker.record_violation("recovers", seen);
                return;
            }
            if caller.run_program(AMPLE_BUDGET_TOKENS).await {
                served += 1;
            } else {
                sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// Creates a caller; `entry_index` determines which entry it uses first.
    pub(crate) fn caller(&self, entry_index: usize) -> Caller {
        Caller {
            entries: self.entries.clone(),
            checker: self.checker.clone(),
            entry_index,
        }
    }

    /// Sends a new configuration, to one control instance after another, until one acknowledges it
    /// or `CONFIG_ATTEMPTS` is reached. `first` is the index of the instance to begin with. Returns whether
    /// it was acknowledged.
    async fn configure(&self, first: usize) -> bool {
        let version = {
            let mut versions = self.config_versions.lock().await;
            versions.sent += 1;
            versions.sent
        };
        for attempt in 0..CONFIG_ATTEMPTS {
            let address = self.control[(first + attempt) % self.control.len()];
            let config = simulation::config(version);
            let response = timeout(
                ADMIN_TIMEOUT,
                caller::send_admin_request(address, "PUT", "/config", config),
            )
            .await;
            match response {
                Ok(Ok((200, _))) => {
                    let mut versions = self.config_versions.lock().await;
                    versions.acknowledged = versions.acknowledged.max(version);
                    return true;
                }
                Ok(Ok((status, _))) if (400..500).contains(&status) => {
                    let seen = format!("version {version} was rejected with status {status}");
                    self.checker
                        .record_violation("valid configurations are taken", seen);
                    return false;
                }
                Ok(_) | Err(_) => sleep(RETRY_INTERVAL).await,
            }
        }
        false
    }

    /// Reads the configuration at one control instance and checks that it is not older than the
    /// newest acknowledged one. Returns whether it could be read.
    async fn read_configuration(&self, address: SocketAddr) -> bool {
        let acknowledged = self.config_versions.lock().await.acknowledged;
        let response = timeout(
            ADMIN_TIMEOUT,
            caller::send_admin_request(address, "GET", "/config", String::new()),
        )
        .await;
        let Ok(Ok((200, body))) = response else {
            return false;
        };
        let version = simulation::config_version(&body);
        if version.is_none_or(|version| version < acknowledged) {
            let seen = format!(
                "{address} returned {version:?} after {acknowledged} had been acknowledged"
            );
            self.checker
                .record_violation("configurations never go back", seen);
        }
        true
    }

    /// Reads the configuration at each control instance in turn until `stop` is set.
    async fn poll_configuration(self: Arc<Self>, stop: watch::Receiver<bool>) {
        let mut index = 0;
        while !*stop.borrow() {
            index += 1;
            self.read_configuration(self.control[index % self.control.len()])
                .await;
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Executes a fault. Returns once the affected processes run again or the configuration is
    /// sent; faults of connections and backend servers end by themselves later.
    async fn apply(self: Arc<Self>, fault: Fault) -> std::io::Result<()> {
        match fault {
            Fault::Kill(name, lasts) => {
                self.fleet.lock().await.kill(name).await?;
                self.spawn_after(name, lasts).await
            }
            Fault::Torn(name, lasts) => {
                {
                    let mut fleet = self.fleet.lock().await;
                    fleet.kill(name).await?;
                    fleet.append_partial_record(name)?;
                }
                self.spawn_after(name, lasts).await
            }
            Fault::Wipe(name, lasts) => {
                {
                    let mut fleet = self.fleet.lock().await;
                    fleet.kill(name).await?;
                    fleet.remove_data(name)?;
                }
                self.spawn_after(name, lasts).await
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
                self.apply_to_proxy(name, |proxy| proxy.block(lasts, one_way))
                    .await;
                Ok(())
            }
            Fault::Reset(name) => {
                self.apply_to_proxy(name, Proxy::reset).await;
                self.backend_proxies.iter().for_each(|proxy| proxy.reset());
                Ok(())
            }
            Fault::Delay { name, by, lasts } => {
                self.apply_to_proxy(name, |proxy| proxy.delay(by, lasts))
                    .await;
                Ok(())
            }
            Fault::Servers(lasts) => {
                self.backends
                    .iter()
                    .for_each(|backend| backend.misbehave_for(lasts));
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

    async fn apply_to_proxy(&self, name: Name, action: impl Fn(&Proxy)) {
        if let Some(proxy) = self.fleet.lock().await.proxy(name) {
            action(&proxy);
        }
    }

    /// Starts a killed process after the given time.
    async fn spawn_after(&self, name: Name, delay: Duration) -> std::io::Result<()> {
        sleep(delay).await;
        self.fleet.lock().await.spawn(name)
    }

    /// Sends SIGTERM to a process, waits until it exits and starts it again. Another fault may kill
    /// it in the meantime.
    async fn restart(&self, name: Name) -> std::io::Result<()> {
        let pid = {
            let fleet = self.fleet.lock().await;
            fleet.signal(name, Signal::CONT);
            fleet.signal(name, Signal::TERM);
            fleet.pid(name)
        };
        let started = Instant::now();
        while let Some(pid) = pid {
            let mut fleet = self.fleet.lock().await;
            if fleet.has_exited(name, pid)? {
                break;
            }
            if started.elapsed() > STOP_TIMEOUT {
                let seen = format!("{name:?} did not exit within {STOP_TIMEOUT:?}");
                self.checker
                    .record_violation("processes stop when asked", seen);
                fleet.kill(name).await?;
                break;
            }
            drop(fleet);
            sleep(EXIT_POLL_INTERVAL).await;
        }
        self.fleet.lock().await.spawn(name)
    }

    /// Kills all processes and waits until they have exited: the next run uses the same addresses.
    async fn end_processes(&self) -> std::io::Result<()> {
        let mut fleet = self.fleet.lock().await;
        let names: Vec<Name> = fleet.names().collect();
        for name in names {
            fleet.kill(name).await?;
        }
        Ok(())
    }

    /// Starts all stopped processes, resumes the suspended ones and removes all network faults.
    /// Records a violation for each process that exited by itself.
    async fn end_faults(&self) -> std::io::Result<()> {
        let mut fleet = self.fleet.lock().await;
        for (name, status) in fleet.exited() {
            let seen = format!("{name:?} exited with {status}");
            self.checker
                .record_violation("processes do not end by themselves", seen);
            fleet.kill(name).await?;
        }
        let names: Vec<Name> = fleet.names().collect();
        for name in names {
            fleet.signal(name, Signal::CONT);
            fleet.spawn(name)?;
            if let Some(proxy) = fleet.proxy(name) {
                proxy.clear();
            }
        }
        Ok(())
    }

    /// Checks after the last fault that programs are served again and that every control instance
    /// returns the newest configuration.
    async fn check_recovery(&self) {
        self.await_service(RECOVERY_TIMEOUT).await;
        let started = Instant::now();
        for address in self.control.clone() {
            while !self.read_configuration(address).await {
                if started.elapsed() > RECOVERY_TIMEOUT {
                    self.checker.record_violation(
                        "configurations can be read",
                        format!("not at {address}"),
                    );
                    return;
                }
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Executes one run: starts the fleet and its callers, injects the faults of the plan, ends them,
/// and checks that the fleet recovers.
///
/// # Errors
///
/// Returns an error if an address can't be bound, a process can't be started or awaited, or a file
/// can't be written. Violations by the fleet are part of the outcome.
pub async fn execute(binary: &Path, options: &Options) -> std::io::Result<Outcome> {
    let mut run_dir = RunDir::new(&format!("{}-{}", options.address_byte, options.seed))?;
    let testbed = Testbed::start(binary, &run_dir.path, options).await?;
    let (stop, stopped) = watch::channel(false);
    let mut callers = tokio::task::JoinSet::new();
    for index in 0..options.callers {
        callers.spawn(testbed.caller(index).run(stopped.clone()));
    }
    let poller = tokio::spawn(testbed.clone().poll_configuration(stopped));
    inject(&testbed, plan::generate(options.seed, options.shape)).await?;
    testbed.end_faults().await?;
    testbed.check_recovery().await;
    // Sending fails only if no receiver is left, that is, if all callers have ended.
    let _ = stop.send(true);
    if timeout(CALLERS_STOP_TIMEOUT, callers.join_all())
        .await
        .is_err()
    {
        testbed.checker.record_violation(
            "callers end",
            format!("not within {CALLERS_STOP_TIMEOUT:?}"),
        );
    }
    poller.abort();
    testbed.end_processes().await?;
    let violations = testbed.checker.violations_at_end();
    run_dir.keep = !violations.is_empty();
    Ok(Outcome {
        served: (
            testbed.checker.served("turns"),
            testbed.checker.served("calls"),
        ),
        logs: run_dir.keep.then(|| run_dir.path.clone()),
        violations,
    })
}

/// Executes each fault at its time, in a task of its own, and waits for all tasks.
async fn inject(testbed: &Arc<Testbed>, events: Vec<Event>) -> std::io::Result<()> {
    let started = Instant::now();
    let mut faults = tokio::task::JoinSet::new();
    for event in events {
        sleep_until(started + event.at).await;
        faults.spawn(testbed.clone().apply(event.fault));
    }
    while let Some(result) = faults.join_next().await {
        result.map_err(std::io::Error::other)??;
    }
    Ok(())
}

/// Returns the operating system's ids of the running processes of a kind.
pub(crate) fn pids(kind: Kind, fleet: &Fleet) -> Vec<u32> {
    let names = fleet.names().filter(|(name_kind, _)| *name_kind == kind);
    names.filter_map(|name| fleet.pid(name)).collect()
}
