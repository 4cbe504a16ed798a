//! A control instance and stores, each with a runtime of its own, so that one can end like a process.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use celerycove_gateway::{
    Setup, control,
    memory::{Account, Budget},
    setup::{DEFAULT_ROLLOUT, ListenAddresses, Role, TimeLimits},
    store,
};
use tokio::{runtime::Runtime, sync::watch};

use crate::dialect::TestDialect;

/// Held while a deployment runs: all of them use the same addresses.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::new(());
/// Candidate ports, apart from those of the other tests.
const PORTS: std::ops::Range<u16> = 29_100..30_900;
/// The port that claims a block, the control address and the internal ports.
const BLOCK_PORTS: u16 = 6;
const MEMORY_LIMIT_BYTES: usize = 88_000_000;
/// The time within which a lost store is replaced; short, so that the tests are.
const REPLACEMENT_TIME: Duration = Duration::from_secs(2);
/// How long a call to the control instance may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

pub struct Deployment {
    first_port: u16,
    folder: PathBuf,
    stores: BTreeMap<usize, Runtime>,
    control: Option<Runtime>,
    _stop: watch::Sender<bool>,
    _claim: TcpListener,
    _guard: MutexGuard<'static, ()>,
}

pub fn wait(time: Duration) {
    std::thread::sleep(time);
}

impl Deployment {
    /// Starts a control instance and a store in each of the given data centres.
    pub fn start(data_centres: [&str; 3]) -> Self {
        let guard = DEPLOYMENT_LOCK
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (claim, first_port) = claim_ports();
        let folder = std::env::temp_dir().join(format!("celerycove-stores-{first_port}"));
        // An interrupted run may have left the directory.
        let _ = std::fs::remove_dir_all(&folder);
        let (stop, stopped) = watch::channel(false);
        let mut deployment = Self {
            first_port,
            folder,
            stores: BTreeMap::new(),
            control: None,
            _stop: stop,
            _claim: claim,
            _guard: guard,
        };
        let setup = deployment.setup(Role::Control, 0, "a", true);
        let account = Account::new(setup.memory);
        let runtime = runtime();
        runtime
            .block_on(control::start(
                setup,
                Arc::new(TestDialect),
                account,
                stopped,
            ))
            .expect("a control instance");
        deployment.control = Some(runtime);
        for (number, data_centre) in data_centres.into_iter().enumerate() {
            deployment.run_store(number, data_centre, true);
        }
        deployment
    }

    /// Starts a store, with the disk that it had if there is one.
    pub fn start_store(&mut self, number: usize, data_centre: &str) {
        self.run_store(number, data_centre, false);
    }

    fn run_store(&mut self, number: usize, data_centre: &str, bootstrap: bool) {
        let setup = self.setup(Role::Store, number, data_centre, bootstrap);
        let account = Account::new(setup.memory);
        let runtime = runtime();
        runtime
            .block_on(store::start(setup, account))
            .expect("a store");
        self.stores.insert(number, runtime);
    }

    /// Ends a store at once; its disk remains.
    pub fn kill_store(&mut self, number: usize) {
        let runtime = self.stores.remove(&number).expect("a running store");
        runtime.shutdown_timeout(Duration::from_secs(5));
    }

    /// The store that most stores voted for.
    pub fn leading_store(&self) -> usize {
        let ballots: Vec<Vec<u8>> = (0..3)
            .map(|number| std::fs::read(self.data_dir(Role::Store, number).join("ballot")))
            .map(|ballot| ballot.expect("a ballot"))
            .collect();
        let votes = |number: usize| {
            let name = self.setup(Role::Store, number, "a", false).process();
            let names_it =
                |ballot: &&Vec<u8>| ballot.windows(name.len()).any(|at| at == name.as_bytes());
            ballots.iter().filter(names_it).count()
        };
        (0..3).max_by_key(|number| votes(*number)).expect("a store")
    }

    /// Makes a store's disk refuse new votes: a folder stands where the file would be written.
    pub fn block_disk(&self, number: usize) {
        std::fs::create_dir(self.blocking_folder(number)).expect("a folder");
    }

    pub fn unblock_disk(&self, number: usize) {
        std::fs::remove_dir(self.blocking_folder(number)).expect("a folder");
    }

    fn blocking_folder(&self, number: usize) -> PathBuf {
        self.data_dir(Role::Store, number).join("ballot.new")
    }

    fn data_dir(&self, role: Role, number: usize) -> PathBuf {
        self.folder.join(format!("{}-{number}", role.name()))
    }

    pub fn retire(&self, number: usize) -> (u16, String) {
        self.call("POST", &format!("/retire/store-{number}"))
    }

    pub fn retirement(&self, number: usize) -> (u16, String) {
        self.call("GET", &format!("/retire/store-{number}"))
    }

    fn setup(&self, role: Role, number: usize, data_centre: &str, bootstrap: bool) -> Setup {
        let host = u8::try_from(number).expect("few stores") + 1;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, host));
        let name = format!("{}-{number}", role.name());
        let data_dir = self.data_dir(role, number);
        std::fs::create_dir_all(&data_dir).expect("a folder");
        Setup {
            role,
            instance: name.as_str().into(),
            data_centre: data_centre.into(),
            data_centres: ["a", "b", "c"].map(Into::into).to_vec(),
            ip,
            internal_port: self.first_port + 1,
            listen: ListenAddresses {
                control: Some(self.control_address()),
                ..ListenAddresses::default()
            },
            seeds: vec![self.control_address()],
            bootstrap,
            data_dir: Some(data_dir),
            tolerated_failures: 1,
            holds_first_turns: false,
            max_extra_share: None,
            rollout: DEFAULT_ROLLOUT,
            bounds: TimeLimits {
                grace_period: Duration::from_secs(8),
                replacement: REPLACEMENT_TIME,
            },
            memory: Budget::new(MEMORY_LIMIT_BYTES, role).expect("a budget"),
        }
    }

    fn control_address(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.first_port))
    }

    /// Calls the control instance and returns status and body.
    fn call(&self, method: &str, path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.control_address()).expect("a connection");
        stream
            .set_read_timeout(Some(CALL_TIMEOUT))
            .expect("a timeout");
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).expect("sent");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("a response");
        let status = response
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let body = response.split_once("\r\n\r\n").map(|(_, body)| body);
        (status.expect("a status"), body.expect("a body").to_owned())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let runtimes = std::mem::take(&mut self.stores).into_values();
        for runtime in runtimes.chain(self.control.take()) {
            runtime.shutdown_timeout(Duration::from_secs(5));
        }
        // The next run removes what can't be removed here.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Creates a runtime whose tasks run in the background.
fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Claims a block of free ports by binding its first one on another address than the deployment uses,
/// and returns the second.
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
