//! A control instance, two entries or three, and backend servers that end and start again, all run as tasks of
//! the test process.

use std::{
    net::{SocketAddr, TcpListener as StdListener},
    path::PathBuf,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::Duration,
};

use bytes::Bytes;
use celerycove_gateway::{
    Setup, control, entry,
    memory::{Account, Budget, DEFAULT_LIMIT_BYTES},
    metrics::Metrics,
    setup::{DEFAULT_ROLLOUT, ListenAddresses, Role, TimeLimits},
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1::handshake};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    task::JoinSet,
};

use crate::dialect::TestDialect;

/// The start of a body that ends each backend server which begins to run it.
pub const CRASH: &str = "crash";
/// The body whose connection is closed by each backend server, which lives on.
pub const RESET: &str = "reset";

/// Held while a deployment runs: with one at a time, ports that were found free stay free.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::new(());
/// Candidate ports, apart from those of the other tests.
const PORTS: std::ops::Range<u16> = 29_000..32_000;
const BLOCK_PORTS: u16 = 10;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// How long a backend server is gone after a crash.
const RESTART_DELAY: Duration = Duration::from_millis(400);
const SERVERS: usize = 10;
const CONFIG: &str = "version=2\nroute=plain /plain/ app\nroute=once /once/ app\n\
    route=resumable /resumable/ app\n";

/// Starts a deployment and runs a test against it.
pub fn run(test: impl AsyncFnOnce(&Deployment)) {
    let _guard = DEPLOYMENT_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let (_claim, first_port) = claim_ports();
    let folder = std::env::temp_dir().join(format!("celerycove-crashes-{first_port}"));
    // An interrupted run may have left the directory.
    let _ = std::fs::remove_dir_all(&folder);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let deployment = Deployment::start(first_port, folder.clone()).await;
        test(&deployment).await;
    });
    // The next run removes what can't be removed here.
    let _ = std::fs::remove_dir_all(&folder);
}

/// Claims a block of ports that are free on both addresses by binding its first one, and returns the
/// second.
fn claim_ports() -> (StdListener, u16) {
    let bind = |host: [u8; 4], port: u16| StdListener::bind(SocketAddr::from((host, port))).ok();
    let blocks = (PORTS.end - PORTS.start) / BLOCK_PORTS;
    let start = u16::try_from(std::process::id() % u32::from(blocks)).expect("small");
    (0..blocks)
        .map(|offset| PORTS.start + (start + offset) % blocks * BLOCK_PORTS)
        .find_map(|first| {
            let claim = bind([127, 0, 0, 1], first)?;
            let is_free = (first + 1..first + BLOCK_PORTS).all(|port| {
                bind([127, 0, 0, 1], port).is_some() && bind([127, 0, 0, 2], port).is_some()
            });
            is_free.then_some((claim, first + 1))
        })
        .expect("free ports")
}

pub struct Reply {
    pub status: u16,
    pub retry_after: Option<String>,
}

pub struct Deployment {
    first_port: u16,
    control_address: SocketAddr,
    bodies: Bodies,
    _stop: watch::Sender<bool>,
    _entries: Vec<entry::Running>,
}

/// The addresses that an instance listens on.
fn address(first_port: u16, host: u8, offset: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], first_port + offset))
}

fn setup(first_port: u16, role: Role, host: u8, data_dir: Option<PathBuf>) -> Setup {
    Setup {
        role,
        instance: format!("{}-{host}", role.name()).into(),
        data_centre: "a".into(),
        data_centres: vec!["a".into()],
        ip: address(first_port, host, 0).ip(),
        internal_port: first_port,
        listen: ListenAddresses {
            callers: Some(address(first_port, host, 3)),
            ready: Some(address(first_port, host, 4)),
            control: Some(address(first_port, host, 5)),
            metrics: None,
            internal: None,
        },
        seeds: vec![address(first_port, 1, 5)],
        bootstrap: true,
        data_dir,
        memory: Budget::new(DEFAULT_LIMIT_BYTES, role).expect("a budget"),
        tolerated_failures: 1,
        holds_first_turns: false,
        max_extra_share: None,
        rollout: DEFAULT_ROLLOUT,
        bounds: TimeLimits {
            grace_period: Duration::from_secs(8),
            replacement: Duration::from_secs(4),
        },
    }
}

async fn start_entry(first_port: u16, host: u8) -> entry::Running {
    let metrics = Metrics::new().expect("metrics");
    let setup = setup(first_port, Role::Entry, host, None);
    let account = Account::new(setup.memory);
    let running = entry::start(setup, Arc::new(TestDialect), metrics, account).await;
    running.expect("an entry")
}

/// The bodies of the requests that ran, in order.
type Bodies = Arc<Mutex<Vec<String>>>;

impl Deployment {
    async fn start(first_port: u16, folder: PathBuf) -> Self {
        std::fs::create_dir_all(&folder).expect("a folder");
        let (stop, stopped) = watch::channel(false);
        let setup = setup(first_port, Role::Control, 1, Some(folder));
        let account = Account::new(setup.memory);
        control::start(setup, Arc::new(TestDialect), account, stopped)
            .await
            .expect("a control instance");
        let entries = vec![
            start_entry(first_port, 1).await,
            start_entry(first_port, 2).await,
        ];
        let deployment = Self {
            first_port,
            control_address: address(first_port, 1, 5),
            bodies: Bodies::default(),
            _stop: stop,
            _entries: entries,
        };
        deployment.wait_until_serving().await;
        deployment
    }

    async fn wait_until_serving(&self) {
        let serving = async {
            while send(self.control_address, "PUT", "/config", None, CONFIG)
                .await
                .is_none_or(|reply| reply.status != 200)
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            for number in 0..SERVERS {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let server = Server {
                    name: format!("b{number}"),
                    address: listener.local_addr().expect("an address"),
                    control: self.control_address,
                    bodies: self.bodies.clone(),
                    born: AtomicU64::new(1),
                    crashed: Notify::new(),
                };
                tokio::spawn(Arc::new(server).run(listener));
            }
            for entry in [0, 1] {
                while self.call(entry, "warm", "/plain/x", "warm").await.status != 200 {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        };
        let serving = tokio::time::timeout(Duration::from_secs(30), serving).await;
        serving.expect("a deployment that serves");
        // The last of the backend servers may not be known to both entries yet.
        tokio::time::sleep(Duration::from_millis(300)).await;
    }

    /// Starts a third entry, and waits until it has a configuration.
    pub async fn start_late_entry(&self) -> entry::Running {
        let running = start_entry(self.first_port, 3).await;
        let ready = async {
            let address = address(self.first_port, 3, 4);
            while send(address, "GET", "/", None, "")
                .await
                .is_none_or(|reply| reply.status != 200)
            {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let ready = tokio::time::timeout(Duration::from_secs(10), ready).await;
        ready.expect("an entry that is ready");
        running
    }

    /// Sends a request to one of the entries. A stream that ends early counts as status 502.
    pub async fn call(&self, entry: usize, id: &str, path: &str, body: &str) -> Reply {
        let host = u8::try_from(entry).expect("a small number") + 1;
        let reply = send(
            address(self.first_port, host, 3),
            "POST",
            path,
            Some(id),
            body,
        )
        .await;
        reply.unwrap_or(Reply {
            status: 502,
            retry_after: None,
        })
    }

    /// How often backend servers began to run requests whose body begins so.
    pub fn runs_of(&self, body: &str) -> usize {
        let bodies = self.bodies.lock().expect("a lock");
        bodies.iter().filter(|ran| ran.starts_with(body)).count()
    }
}

/// Sends a request and reads the response; `None` if it ends early.
async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: Option<&str>,
    body: &str,
) -> Option<Reply> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.expect("a handshake");
    tokio::spawn(async move {
        // The reader of the response sees how the connection ends.
        let _ = connection.await;
    });
    let mut request = Request::builder().method(method).uri(path);
    if let Some(id) = id {
        request = request
            .header("host", "test")
            .header("id", id)
            .header("key", "key-1");
    }
    let request = request
        .body(Full::<Bytes>::from(body.to_owned()))
        .expect("a request");
    let response = sender.send_request(request).await.expect("an answer");
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.map(|value| value.to_str().expect("text").to_owned());
    response.into_body().collect().await.ok()?;
    Some(Reply {
        status,
        retry_after,
    })
}

/// A backend server that certain requests crash.
struct Server {
    name: String,
    address: SocketAddr,
    control: SocketAddr,
    bodies: Bodies,
    born: AtomicU64,
    crashed: Notify,
}

impl Server {
    /// Serves until a request crashes it, and starts again after [`RESTART_DELAY`].
    async fn run(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            let mut heartbeats = tokio::time::interval(HEARTBEAT_INTERVAL);
            let mut sequence = 0;
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    _ = heartbeats.tick() => {
                        sequence += 1;
                        self.send_heartbeat(sequence).await;
                    }
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.expect("a connection");
                        connections.spawn(self.clone().serve(stream));
                    }
                    () = self.crashed.notified() => break,
                }
            }
            drop(listener);
            connections.shutdown().await;
            tokio::time::sleep(RESTART_DELAY).await;
            self.born.fetch_add(1, SeqCst);
            listener = TcpListener::bind(self.address).await.expect("its port");
        }
    }

    fn runs_of(&self, body: &str) -> usize {
        let bodies = self.bodies.lock().expect("a lock");
        bodies.iter().filter(|ran| *ran == body).count()
    }

    async fn send_heartbeat(&self, sequence: u64) {
        let body = format!(
            "{} ready {sequence} {}",
            self.address,
            self.born.load(SeqCst)
        );
        let path = format!("/beat/{}", self.name);
        let reply = send(self.control, "PUT", &path, None, &body).await;
        assert_eq!(reply.expect("an answer").status, 200);
    }

    /// Sends an answer with neither a length nor chunks and closes the connection. The first crash by a body
    /// resets it; later ones close it where the answer could end.
    async fn serve_unframed(&self, mut stream: TcpStream, head: &str, path: &str, body: &str) {
        let answer = if path.starts_with("/resumable") {
            format!("{head}content-type: text/event-stream\r\n\r\nid: 1\ndata: one\n\n")
        } else {
            format!("{head}\r\nanswer")
        };
        // The entry may have closed the connection.
        let _ = stream.write_all(answer.as_bytes()).await;
        if !body.starts_with(CRASH) {
            return;
        }
        // The entry reads what was sent first.
        tokio::time::sleep(Duration::from_millis(20)).await;
        if self.runs_of(body) == 1 {
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("a socket");
        }
        self.crashed.notify_one();
        std::future::pending::<()>().await;
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        loop {
            let Some((path, id, body)) = take_request(&mut bytes) else {
                match stream.read_buf(&mut bytes).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => continue,
                }
            };
            self.bodies.lock().expect("a lock").push(body.clone());
            let head = format!("HTTP/1.1 200 OK\r\nid: {id}\r\n");
            if path.ends_with("/unframed") {
                return self.serve_unframed(stream, &head, &path, &body).await;
            }
            let answer = if path.starts_with("/resumable") {
                let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
                let event = "id: 1\ndata: one\n\n";
                format!("{head}{kind}\r\n{:x}\r\n{event}\r\n", event.len())
            } else {
                format!("{head}content-length: 6\r\n\r\nans")
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            match body.as_str() {
                body if body.starts_with(CRASH) => {
                    self.crashed.notify_one();
                    return std::future::pending().await;
                }
                RESET => return,
                _ => {}
            }
            let rest = if path.starts_with("/resumable") {
                "0\r\n\r\n"
            } else {
                "wer"
            };
            if stream.write_all(rest.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Removes a whole request from the front of the bytes, and returns its path, id and body.
fn take_request(bytes: &mut Vec<u8>) -> Option<(String, String, String)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let field = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.to_owned())
    };
    let length = field("content-length").map_or(0, |length| length.parse().expect("a length"));
    if bytes.len() < end + length {
        return None;
    }
    let body = String::from_utf8_lossy(&bytes[end..end + length]).into_owned();
    bytes.drain(..end + length);
    let path = head.split(' ').nth(1)?.to_owned();
    Some((path, field("id")?, body))
}
