//! Three control instances and two entries, each with a runtime of its own, so that one can end like a
//! process, and backend servers in the runtime of the test.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use celerycove_gateway::{
    Setup, control, entry,
    memory::{Account, Budget},
    metrics::Metrics,
    setup::{DEFAULT_ROLLOUT, ListenAddresses, Role, TimeLimits},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    runtime::Runtime,
    sync::watch,
};

use crate::{
    dialect::TestDialect,
    server::{Behaviour, Server},
};

/// Held while a deployment runs, so that deployments don't share the processor.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::new(());
/// Candidate ports, apart from those of the other tests.
const PORTS: std::ops::Range<u16> = 17_000..20_900;
const BLOCK_PORTS: u16 = 8;
const MEMORY_LIMIT_BYTES: usize = 88_000_000;
const CONTROLS: usize = 3;
const ENTRIES: usize = 2;
/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
pub const CONFIG: &str = "version=2\nservice=app\nroute=plain /plain/ app\nroute=once /once/ app\n";

pub struct Deployment {
    first_port: u16,
    folder: PathBuf,
    controls: Mutex<Vec<Option<Runtime>>>,
    entries: Mutex<Vec<Option<(Runtime, entry::Running)>>>,
    servers: Arc<Mutex<Vec<Server>>>,
    requests: AtomicU64,
    stop: watch::Sender<bool>,
    _claim: TcpListener,
    _guard: MutexGuard<'static, ()>,
}

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub struct Reply {
    /// Zero without a whole response.
    pub status: u16,
}

/// Starts a deployment with three servers of version `v1`, and runs a test against it.
pub fn run(test: impl AsyncFnOnce(&Deployment, Arc<Behaviour>)) {
    let runtime = runtime(2);
    let deployment = Deployment::new();
    for number in 0..CONTROLS {
        deployment.start_control(number, true);
    }
    for number in 0..ENTRIES {
        deployment.start_entry(number);
    }
    runtime.block_on(async {
        let old = Arc::new(Behaviour::default());
        deployment.serve(&old).await;
        test(&deployment, old).await;
    });
    runtime.shutdown_background();
}

impl Deployment {
    fn new() -> Self {
        let guard = DEPLOYMENT_LOCK
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (claim, first_port) = claim_ports();
        let folder = std::env::temp_dir().join(format!("celerycove-rollouts-{first_port}"));
        // An interrupted run may have left the directory.
        let _ = std::fs::remove_dir_all(&folder);
        let (stop, _) = watch::channel(false);
        let none = |count: usize| Mutex::new((0..count).map(|_| None).collect());
        Self {
            first_port,
            folder,
            controls: none(CONTROLS),
            entries: Mutex::new((0..ENTRIES).map(|_| None).collect()),
            servers: Arc::default(),
            requests: AtomicU64::new(0),
            stop,
            _claim: claim,
            _guard: guard,
        }
    }

    /// Configures the deployment, starts the servers of `v1` and waits until all entries use them.
    async fn serve(&self, old: &Arc<Behaviour>) {
        let serving = async {
            while self.call_control(0, "PUT", "/config", CONFIG).await.0 != 200 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            for number in 0..3 {
                self.start_server(number, "v1", old).await;
            }
            self.send_heartbeats();
            for entry in 0..ENTRIES {
                while self.request(entry, "/plain/x").await.status != 200 {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        let serving = tokio::time::timeout(Duration::from_mins(1), serving).await;
        serving.expect("a deployment that serves");
        // The last control instance may not have joined the log yet.
        tokio::time::sleep(Duration::from_secs(3)).await;
    }

    pub fn start_control(&self, number: usize, bootstrap: bool) {
        let setup = self.setup(Role::Control, number, bootstrap);
        let account = Account::new(setup.memory);
        let runtime = runtime(1);
        let dialect = Arc::new(TestDialect);
        runtime
            .block_on(control::start(
                setup,
                dialect,
                account,
                self.stop.subscribe(),
            ))
            .expect("a control instance");
        self.controls.lock().expect("a lock")[number] = Some(runtime);
    }

    pub fn start_entry(&self, number: usize) {
        let setup = self.setup(Role::Entry, number, false);
        let account = Account::new(setup.memory);
        let runtime = runtime(1);
        let metrics = Metrics::new().expect("metrics");
        let entry = entry::start(setup, Arc::new(TestDialect), metrics, account);
        let entry = runtime.block_on(entry).expect("an entry");
        self.entries.lock().expect("a lock")[number] = Some((runtime, entry));
    }

    /// Ends a control instance at once; its disk remains.
    pub fn kill_control(&self, number: usize) {
        let runtime = self.controls.lock().expect("a lock")[number].take();
        let runtime = runtime.expect("a running instance");
        // A runtime can't be awaited within another one.
        let ended = std::thread::spawn(move || runtime.shutdown_timeout(Duration::from_secs(5)));
        ended.join().expect("an end");
    }

    /// Ends an entry at once.
    pub fn kill_entry(&self, number: usize) {
        let entry = self.entries.lock().expect("a lock")[number].take();
        let (runtime, entry) = entry.expect("a running entry");
        let ended = std::thread::spawn(move || {
            drop(entry);
            runtime.shutdown_timeout(Duration::from_secs(5));
        });
        ended.join().expect("an end");
    }

    /// Runs a blocking start or stop of a process outside the runtime of the test.
    pub fn apart(&self, action: impl FnOnce(&Self) + Send) {
        std::thread::scope(|scope| {
            scope.spawn(|| action(self)).join().expect("no panic");
        });
    }

    /// The control instance that most instances voted for.
    pub fn leader(&self) -> usize {
        let ballots: Vec<Vec<u8>> = (0..CONTROLS)
            .filter_map(|number| std::fs::read(self.data_dir(number).join("ballot")).ok())
            .collect();
        let votes = |number: usize| {
            let name = self.setup(Role::Control, number, false).process();
            let names_it =
                |ballot: &&Vec<u8>| ballot.windows(name.len()).any(|at| at == name.as_bytes());
            ballots.iter().filter(names_it).count()
        };
        (0..CONTROLS)
            .max_by_key(|number| votes(*number))
            .expect("an instance")
    }

    pub async fn start_server(
        &self,
        number: usize,
        version: &'static str,
        behaviour: &Arc<Behaviour>,
    ) {
        let server = Server::start(number, version, behaviour.clone()).await;
        self.servers.lock().expect("a lock").push(server);
    }

    /// Ends the servers of a version without draining them.
    pub fn stop_servers(&self, version: &str) {
        let mut servers = self.servers.lock().expect("a lock");
        servers.retain(|server| server.version != version);
    }

    /// Sends the heartbeats of all servers, each to the control instances that run.
    fn send_heartbeats(&self) {
        let servers = self.servers.clone();
        let addresses: Vec<_> = (0..CONTROLS).map(|n| self.control_address(n)).collect();
        tokio::spawn(async move {
            loop {
                let beats: Vec<(String, String)> = {
                    let servers = servers.lock().expect("a lock");
                    servers.iter().map(Server::heartbeat).collect()
                };
                for (path, body) in beats {
                    for address in &addresses {
                        if call(*address, "PUT", &path, "", &body).await.0 == 200 {
                            break;
                        }
                    }
                }
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }

    /// Orders a rollout of `app` at a control instance.
    pub async fn order(&self, control: usize, to: &str, duration: Duration) -> u16 {
        let body = format!("app {to} {}", duration.as_millis());
        self.call_control(control, "POST", "/rollouts", &body)
            .await
            .0
    }

    /// The state of the rollout of `app`: `STAGE VERSION`, or nothing if no instance knows it.
    pub async fn state(&self) -> String {
        for control in 0..CONTROLS {
            let (status, body) = self.call_control(control, "GET", "/rollouts/app", "").await;
            if status == 200 {
                return body;
            }
        }
        String::new()
    }

    /// Waits until the rollout is in a state, at most for a time, and returns the last state.
    pub async fn wait_for(&self, state: &str, time: Duration) -> String {
        let began = Instant::now();
        loop {
            let last = self.state().await;
            if last == state || began.elapsed() > time {
                return last;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub async fn call_control(
        &self,
        number: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> (u16, String) {
        call(self.control_address(number), method, path, "", body).await
    }

    /// Sends a request of a program of its own.
    pub async fn request(&self, entry: usize, path: &str) -> Reply {
        let id = self.requests.fetch_add(1, SeqCst);
        let headers = format!("id: r{id}\r\nkey: key-1\r\nprogram: p{id}\r\n");
        let address = SocketAddr::new(ip(entry), self.first_port + 3);
        let (status, body) = call(address, "POST", path, &headers, "").await;
        let is_whole = status != 200 || body == "answer";
        Reply {
            status: if is_whole { status } else { 0 },
        }
    }

    /// Sends requests at a steady rate until `stop` is true, and returns how each ended.
    pub async fn load(
        &self,
        interval: Duration,
        stop: &std::sync::atomic::AtomicBool,
    ) -> Vec<Reply> {
        let replies = Mutex::new(Vec::new());
        let mut pending = futures_util::stream::FuturesUnordered::new();
        let mut ticks = tokio::time::interval(interval);
        let mut number = 0_usize;
        while !stop.load(SeqCst) {
            tokio::select! {
                _ = ticks.tick() => {
                    number += 1;
                    let paths = ["/plain/x", "/once/x", "/once/slow", "/plain/slow"];
                    let path = paths[number / ENTRIES % paths.len()];
                    pending.push(self.request(number % ENTRIES, path));
                }
                Some(reply) = futures_util::StreamExt::next(&mut pending) => {
                    replies.lock().expect("a lock").push(reply);
                }
            }
        }
        while let Some(reply) = futures_util::StreamExt::next(&mut pending).await {
            replies.lock().expect("a lock").push(reply);
        }
        replies.into_inner().expect("a lock")
    }

    fn setup(&self, role: Role, number: usize, bootstrap: bool) -> Setup {
        let ip = ip(number);
        let address = |offset| SocketAddr::new(ip, self.first_port + offset);
        let data_dir = self.data_dir(number);
        std::fs::create_dir_all(&data_dir).expect("a folder");
        Setup {
            role,
            instance: format!("{}-{number}", role.name()).into(),
            data_centre: "a".into(),
            data_centres: vec!["a".into()],
            ip,
            internal_port: self.first_port,
            listen: ListenAddresses {
                callers: Some(address(3)),
                control: Some(address(4)),
                ..ListenAddresses::default()
            },
            seeds: (0..CONTROLS).map(|n| self.control_address(n)).collect(),
            bootstrap,
            data_dir: (role == Role::Control).then_some(data_dir),
            tolerated_failures: 1,
            holds_first_turns: false,
            max_extra_share: None,
            rollout: DEFAULT_ROLLOUT,
            bounds: TimeLimits {
                grace_period: Duration::from_secs(8),
                replacement: Duration::from_secs(4),
            },
            memory: Budget::new(MEMORY_LIMIT_BYTES, role).expect("a budget"),
        }
    }

    fn data_dir(&self, number: usize) -> PathBuf {
        self.folder.join(format!("control-{number}"))
    }

    fn control_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(ip(number), self.first_port + 4)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let controls = std::mem::take(&mut *self.controls.lock().expect("a lock"));
        let entries = std::mem::take(&mut *self.entries.lock().expect("a lock"));
        for (runtime, entry) in entries.into_iter().flatten() {
            drop(entry);
            runtime.shutdown_timeout(Duration::from_secs(5));
        }
        for runtime in controls.into_iter().flatten() {
            runtime.shutdown_timeout(Duration::from_secs(5));
        }
        // The next run removes what can't be removed here.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn ip(number: usize) -> IpAddr {
    let host = u8::try_from(number).expect("few instances") + 1;
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, host))
}

/// Creates a runtime whose tasks run in the background.
fn runtime(threads: usize) -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Claims a block of free ports by binding its first one, and returns the second.
fn claim_ports() -> (TcpListener, u16) {
    let bind = |port: u16| TcpListener::bind(("127.0.0.1", port)).ok();
    let blocks = (PORTS.end - PORTS.start) / BLOCK_PORTS;
    let start = u16::try_from(std::process::id() % u32::from(blocks)).expect("small");
    (0..blocks)
        .map(|offset| PORTS.start + (start + offset) % blocks * BLOCK_PORTS)
        .find_map(|first| {
            let claim = bind(first)?;
            let is_free = (first + 1..first + BLOCK_PORTS).all(|port| bind(port).is_some());
            is_free.then_some((claim, first + 1))
        })
        .expect("free ports")
}

/// Sends a request and returns status and body; the status is zero without a whole response.
async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> (u16, String) {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{headers}\
             content-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await.ok()?;
        let (head, body) = response.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some((status, body.to_owned()))
    };
    let exchange = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
    exchange.ok().flatten().unwrap_or_default()
}
