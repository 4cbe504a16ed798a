//! A deployment with one process of each role and two backend servers, all run as tasks of the test
//! process and connected over loopback.

use std::{
    io::Write as _,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use celerycove_gateway::{
    Setup, control, entry,
    memory::{Account, Budget},
    metrics::Metrics,
    setup::{DEFAULT_ROLLOUT, ListenAddresses, Role, TimeLimits},
    store,
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, client::conn::http1::handshake};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

use crate::{
    backend::{Backend, ExecutedRequest, Failure, Failures},
    dialect::TestDialect,
};

/// Held while a deployment runs: with one at a time, ports that were found free stay free.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::new(());
/// Candidate ports, below those that the operating system assigns to outgoing connections.
const PORTS: std::ops::Range<u16> = 21_000..29_000;
/// The port that claims a block, and those of the deployment.
const BLOCK_PORTS: u16 = 10;
/// Set in a process that runs a single test.
const OWN_PROCESS: &str = "CELERYCOVE_TEST_IN_OWN_PROCESS";
/// How long after the signal to stop a process is killed.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// The memory limit of a small deployment.
const MEMORY_LIMIT_BYTES: usize = 88_000_000;
const CONFIG: &str = "version=2\nroute=plain /plain/ app\nroute=once /once/ app\n\
    route=kept /kept/ app\nroute=resumable /resumable/ app\n";

/// Starts a deployment and runs a test against it.
pub fn run(test: impl AsyncFnOnce(&Deployment)) {
    let _guard = DEPLOYMENT_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let disks = Disks::new();
    run_deployment(&disks, GRACE_PERIOD, test);
}

/// Runs `before` against a deployment, stops all its processes at once, and runs `after` against a
/// deployment that starts from the same disks.
pub fn run_with_restart(
    before: impl AsyncFnOnce(&Deployment),
    after: impl AsyncFnOnce(&Deployment),
) {
    let _guard = DEPLOYMENT_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let disks = Disks::new();
    run_deployment(&disks, GRACE_PERIOD, before);
    run_deployment(&disks, GRACE_PERIOD, after);
}

/// Starts a deployment whose processes are killed this long after the signal to stop, and runs a test
/// against it.
pub fn run_with_grace_period(grace_period: Duration, test: impl AsyncFnOnce(&Deployment)) {
    let _guard = DEPLOYMENT_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    run_deployment(&Disks::new(), grace_period, test);
}

/// Runs a test like [`run`] in a process of its own, so that it can measure what the process holds.
/// `name` is the full name of the test that calls this.
pub fn run_in_own_process(name: &str, test: impl AsyncFnOnce(&Deployment)) {
    if std::env::var_os(OWN_PROCESS).is_some() {
        return run(test);
    }
    let _guard = DEPLOYMENT_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let program = std::env::current_exe().expect("the test program");
    let output = std::process::Command::new(program)
        .args(["--exact", name])
        .env(OWN_PROCESS, "1")
        .output()
        .expect("a process");
    let printed = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{printed}");
    let has_run = printed.contains("1 passed");
    assert!(has_run, "no test is called {name}: {printed}");
}

fn run_deployment(disks: &Disks, grace_period: Duration, test: impl AsyncFnOnce(&Deployment)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let deployment = Deployment::start(disks, grace_period).await;
        test(&deployment).await;
    });
}

/// The data directories and ports of a deployment; dropping it removes the directories.
struct Disks {
    first_port: u16,
    /// Bound while the ports are in use, so that no other test process takes them between their
    /// being found free and bound.
    _claim: TcpListener,
    path: PathBuf,
}

impl Disks {
    fn new() -> Self {
        let (claim, first_port) = claim_ports();
        let path = std::env::temp_dir().join(format!("celerycove-callers-{first_port}"));
        // An interrupted run may have left the directory.
        let _ = std::fs::remove_dir_all(&path);
        Self {
            first_port,
            _claim: claim,
            path,
        }
    }
}

impl Drop for Disks {
    fn drop(&mut self) {
        // The next run removes what can't be removed here.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

pub struct Deployment {
    pub backend: Backend,
    pub spare: Backend,
    failures: Failures,
    caller_address: SocketAddr,
    control_address: SocketAddr,
    _stop: watch::Sender<bool>,
    entry: Mutex<Option<entry::Running>>,
    entry_setup: Setup,
}

/// A response, read up to its end or to the point where the connection failed.
pub struct Reply {
    pub status: u16,
    pub retry_after: Option<String>,
    /// The identifier of the request that it answers.
    pub answers: Option<String>,
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub complete: bool,
}

impl Reply {
    /// The events of a stream as `ID:DATA`.
    pub fn events(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.split("\n\n")
            .filter(|event| !event.is_empty())
            .map(|event| {
                let lines = event.lines().filter_map(|line| line.split_once(": "));
                lines.map(|(_, value)| value).collect::<Vec<_>>().join(":")
            })
            .collect()
    }
}

/// Claims a block of free ports by binding its first one, and returns the second. The search starts
/// at a block that depends on the process.
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

impl Deployment {
    async fn start(disks: &Disks, grace_period: Duration) -> Self {
        let (first_port, folder) = (disks.first_port, disks.path.clone());
        let address = |offset| SocketAddr::from(([127, 0, 0, 1], first_port + offset));
        let setup = |role: Role, data: Option<&str>| Setup {
            role,
            instance: role.name().into(),
            data_centre: "a".into(),
            data_centres: vec!["a".into()],
            ip: address(0).ip(),
            internal_port: first_port,
            listen: ListenAddresses {
                callers: Some(address(3)),
                ready: Some(address(4)),
                control: Some(address(5)),
                metrics: None,
                internal: None,
            },
            seeds: vec![address(5)],
            bootstrap: true,
            data_dir: data.map(|name| folder.join(name)),
            tolerated_failures: 1,
            holds_first_turns: true,
            max_extra_share: None,
            rollout: DEFAULT_ROLLOUT,
            bounds: TimeLimits {
                grace_period,
                replacement: Duration::from_secs(4),
            },
            memory: Budget::new(MEMORY_LIMIT_BYTES, role).expect("a budget"),
        };
        for name in ["control", "store"] {
            std::fs::create_dir_all(folder.join(name)).expect("a folder");
        }
        let (stop, stopped) = watch::channel(false);
        let control = setup(Role::Control, Some("control"));
        let account = Account::new(control.memory);
        control::start(control, Arc::new(TestDialect), account, stopped)
            .await
            .expect("a control instance");
        let store = setup(Role::Store, Some("store"));
        let account = Account::new(store.memory);
        store::start(store, account).await.expect("a store");
        let metrics = Metrics::new().expect("metrics");
        let entry = setup(Role::Entry, None);
        let account = Account::new(entry.memory);
        let entry_setup = entry.clone();
        let entry = entry::start(entry, Arc::new(TestDialect), metrics, account)
            .await
            .expect("an entry");
        let failures = Failures::default();
        let deployment = Self {
            backend: Backend::start("b1", failures.clone()).await,
            spare: Backend::start("b2", failures.clone()).await,
            failures,
            caller_address: address(3),
            control_address: address(5),
            _stop: stop,
            entry: Mutex::new(Some(entry)),
            entry_setup,
        };
        deployment.wait_until_serving().await;
        deployment
    }

    /// Waits until turns are served. Only `backend` is registered until then, so it is the one
    /// chosen for later requests.
    async fn wait_until_serving(&self) {
        let serving = async {
            while self.configure(CONFIG).await != 200 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            self.send_heartbeat(&self.backend, "ready", 1).await;
            while self.turn("warm", None, "", Some(1_000)).await.status != 200 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let serving = tokio::time::timeout(Duration::from_secs(30), serving).await;
        serving.expect("a deployment that serves");
        self.send_heartbeat(&self.spare, "ready", 1).await;
        self.backend.clear_executed();
        self.spare.clear_executed();
    }

    /// Reloads the entry's settings with another limit on extra attempts.
    pub fn set_extra_share(&self, share: f64) {
        let setup = Setup {
            max_extra_share: Some(share),
            ..self.entry_setup.clone()
        };
        let entry = self.entry.lock().expect("a lock");
        entry.as_ref().expect("a running entry").reload(&setup);
    }

    /// Asks the entry to stop; the task ends when it would exit.
    pub fn stop_entry(&self) -> tokio::task::JoinHandle<()> {
        let entry = self.entry.lock().expect("a lock").take();
        tokio::spawn(entry.expect("a running entry").shut_down())
    }

    /// Opens a connection to the entry, without a request.
    pub async fn connect(&self) -> std::io::Result<TcpStream> {
        TcpStream::connect(self.caller_address).await
    }

    /// The memory limit of the entry in bytes.
    pub fn memory_limit() -> u64 {
        MEMORY_LIMIT_BYTES as u64
    }

    /// Sets how the next requests fail, in the order in which backend servers receive them.
    pub fn set_failures(&self, failures: impl Into<std::collections::VecDeque<Failure>>) {
        *self.failures.lock().expect("a lock") = failures.into();
    }

    /// Starts a further backend server, which fails like the others.
    pub async fn start_backend(&self, name: &'static str) -> Backend {
        let backend = Backend::start(name, self.failures.clone()).await;
        self.send_heartbeat(&backend, "ready", 1).await;
        backend
    }

    pub async fn send_heartbeat(&self, backend: &Backend, stage: &str, seq: u64) {
        let body = format!("{} {stage} {seq}", backend.address);
        let path = format!("/beat/{}", backend.name);
        assert_eq!(self.call_control("PUT", &path, body).await.status, 200);
    }

    pub async fn configure(&self, config: &str) -> u16 {
        self.call_control("PUT", "/config", config.to_owned())
            .await
            .status
    }

    /// Sends a configuration to the control instance and returns the response.
    pub async fn configure_with_reply(&self, config: String) -> Reply {
        self.call_control("PUT", "/config", config).await
    }

    /// Begins to send a configuration of the declared length: all of it but the last byte.
    pub async fn begin_config(&self, length: usize) -> TcpStream {
        let stream = TcpStream::connect(self.control_address);
        let mut stream = stream.await.expect("a connection");
        let head = format!("PUT /config HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("sent");
        tokio::spawn(async move {
            // The instance may stop reading and respond.
            let _ = stream.write_all(&vec![b'x'; length - 1]).await;
            stream
        })
        .await
        .expect("no panic")
    }

    /// Begins a request whose body has the given length: all of it but the last byte. The body is sent
    /// in the background, as far as the entry reads it.
    pub async fn begin_call(&self, id: &str, length: usize) -> TcpStream {
        let stream = TcpStream::connect(self.caller_address);
        let mut stream = stream.await.expect("a connection");
        let head = format!(
            "POST /plain/x HTTP/1.1\r\nhost: test\r\nid: {id}\r\nkey: key-1\r\n\
             content-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        // The entry may stop reading and respond.
        let _ = stream.write_all(&vec![b'x'; length - 1]).await;
        stream
    }

    /// Sends an order without a body to the control instance and returns the status.
    pub async fn order(&self, method: &str, path: &str) -> u16 {
        self.order_with_body(method, path, String::new()).await
    }

    /// Sends a request to the control instance and returns the status.
    pub async fn order_with_body(&self, method: &str, path: &str, body: String) -> u16 {
        self.call_control(method, path, body).await.status
    }

    /// Writes an order to a new connection. Neither end of the connection is handled by this process
    /// before the next time that the test waits.
    pub fn write_order(&self, method: &str, path: &str) -> std::net::TcpStream {
        let mut stream = std::net::TcpStream::connect(self.control_address).expect("a connection");
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("sent");
        stream
    }

    pub async fn read_config(&self) -> String {
        let reply = self.call_control("GET", "/config", String::new()).await;
        assert_eq!(reply.status, 200);
        String::from_utf8(reply.body).expect("text")
    }

    /// Sends a request to the control instance.
    async fn call_control(&self, method: &str, path: &str, body: String) -> Reply {
        let request = Request::builder().method(method).uri(path);
        let request = request.body(Full::from(body)).expect("a request");
        exchange(self.control_address, request).await
    }

    pub async fn call(&self, id: &str, path: &str, key: Option<&str>) -> Reply {
        let mut request = Request::post(path).header("host", "test");
        if !id.is_empty() {
            request = request.header("id", id);
        }
        if let Some(key) = key {
            request = request.header("key", key);
        }
        let request = request.body(Full::default()).expect("a request");
        exchange(self.caller_address, request).await
    }

    /// Sends a request whose head is `bytes` long or more.
    pub async fn call_with_long_head(&self, bytes: usize) -> Reply {
        let request = Request::post("/plain/x")
            .header("host", "test")
            .header("id", "long")
            .header("filler", "x".repeat(bytes));
        exchange(
            self.caller_address,
            request.body(Full::default()).expect("a request"),
        )
        .await
    }

    /// Opens a connection, sends nothing and waits until the entry closes it.
    pub async fn wait_for_idle_close(&self) {
        let mut stream = TcpStream::connect(self.caller_address)
            .await
            .expect("a connection");
        let mut bytes = [0; 64];
        let read = stream.read(&mut bytes);
        let read = tokio::time::timeout(Duration::from_secs(10), read).await;
        assert_eq!(read.expect("an end").expect("no reset"), 0);
    }

    pub async fn stream(&self, id: &str, path: &str) -> Reply {
        self.call(id, path, Some("key-1")).await
    }

    /// Sends a turn that may generate at most ten tokens. All turns but `warm` belong to one program.
    pub async fn turn(
        &self,
        id: &str,
        previous: Option<&str>,
        input: &'static str,
        budget: Option<u64>,
    ) -> Reply {
        let program = if id == "warm" { "warm" } else { "program" };
        let mut request = Request::post("/kept/x")
            .header("host", "test")
            .header("id", id)
            .header("key", "key-1")
            .header("program", program)
            .header("most", "10");
        if let Some(previous) = previous {
            request = request.header("previous", previous);
        }
        if let Some(budget) = budget {
            request = request.header("budget", budget.to_string());
        }
        let body = Full::from(Bytes::from_static(input.as_bytes()));
        exchange(self.caller_address, request.body(body).expect("a request")).await
    }

    /// Sends a turn with a prompt, of a program that should be finished within a time.
    pub async fn program_turn(&self, id: &str, program: &str, finish: Duration) -> Reply {
        let request = Request::post("/resumable/x")
            .header("host", "test")
            .header("id", id)
            .header("key", "key-1")
            .header("program", program)
            .header("prompt", "1")
            .header("most", "6")
            .header("finish", finish.as_millis().to_string());
        let request = request.body(Full::from(id.to_owned())).expect("a request");
        exchange(self.caller_address, request).await
    }

    /// Reads the first event of a stream and closes the connection.
    pub async fn disconnect_after_first_event(&self, id: &str, path: &str) {
        let request = Request::post(path)
            .header("host", "test")
            .header("id", id)
            .header("key", "key-1");
        let request = request.body(Full::default()).expect("a request");
        let (mut response, connection) = send(self.caller_address, request).await;
        let frame = response.body_mut().frame().await;
        assert!(frame.expect("an event").is_ok());
        connection.abort();
    }

    /// The requests that both backend servers executed, sorted by the length of their bodies.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        let mut executed = self.backend.executed();
        executed.extend(self.spare.executed());
        executed.sort_by_key(|request| request.body.len());
        executed
    }
}

async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> (Response<Incoming>, tokio::task::JoinHandle<()>) {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.expect("a handshake");
    let connection = tokio::spawn(async move {
        // The reader of the response sees how the connection ends.
        let _ = connection.await;
    });
    let response = sender.send_request(request).await.expect("an answer");
    (response, connection)
}

/// Sends a request and reads the response.
async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> Reply {
    let (response, _connection) = send(address, request).await;
    let (head, mut body) = response.into_parts();
    let field = |name: &str| {
        let value = head.headers.get(name);
        value.map(|value| value.to_str().expect("text").to_owned())
    };
    let mut reply = Reply {
        status: head.status.as_u16(),
        retry_after: field("retry-after"),
        answers: field("id"),
        body: Vec::new(),
        complete: true,
    };
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            reply.complete = false;
            break;
        };
        let data = frame.data_ref().expect("data");
        reply.body.extend_from_slice(data);
    }
    reply
}
