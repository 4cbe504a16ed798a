//! One process of each role, in this process, on loopback.

use std::{
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use celerycove_gateway::{
    Setup, control, entry,
    metrics::Metrics,
    setup::{Bounds, Listen, Role},
    store,
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, client::conn::http1::handshake};
use hyper_util::rt::TokioIo;
use tokio::{io::AsyncReadExt, net::TcpStream, sync::watch};

use crate::{
    backend::{Backend, Behaviour, Behaviours, Seen},
    dialect::Plain,
};

/// One deployment at a time, so that the ports found free stay free.
static ONE: Mutex<()> = Mutex::new(());
/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 21_000..29_000;
const CONFIG: &str = "version=2\nroute=plain /plain/ app\nroute=once /once/ app\n\
    route=kept /kept/ app\nroute=resumable /resumable/ app\n";

/// Starts a deployment and runs a test in it.
pub fn run(test: impl AsyncFnOnce(&Deployment)) {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = Folder::new();
    live(&folder, test);
}

/// Runs a test in a deployment, stops all of it at once, and runs another in what starts from the
/// same disks.
pub fn run_twice(first: impl AsyncFnOnce(&Deployment), second: impl AsyncFnOnce(&Deployment)) {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = Folder::new();
    live(&folder, first);
    live(&folder, second);
}

fn live(folder: &Folder, test: impl AsyncFnOnce(&Deployment)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let deployment = Deployment::start(folder).await;
        test(&deployment).await;
    });
}

/// The disks of a deployment, removed at the end.
struct Folder {
    base: u16,
    path: PathBuf,
}

impl Folder {
    fn new() -> Self {
        let base = ports(6);
        let path = std::env::temp_dir().join(format!("celerycove-callers-{base}"));
        // A run that was cut short may have left it.
        let _ = std::fs::remove_dir_all(&path);
        Self { base, path }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What can't be removed is removed by the next run.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

pub struct Deployment {
    pub backend: Backend,
    pub spare: Backend,
    behaviours: Behaviours,
    callers: SocketAddr,
    control: SocketAddr,
    _stop: watch::Sender<bool>,
    _entry: entry::Running,
}

/// An answer that was read as far as it came.
pub struct Reply {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: Vec<u8>,
    pub whole: bool,
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

/// The first of `count` ports in a row that are free.
fn ports(count: u16) -> u16 {
    let free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
    let start = u16::try_from(std::process::id() % 700).expect("small") * 10;
    PORTS
        .map(|port| PORTS.start + (port - PORTS.start + start) % (PORTS.end - PORTS.start - count))
        .find(|port| (*port..port + count).all(free))
        .expect("free ports")
}

impl Deployment {
    async fn start(folder: &Folder) -> Self {
        let (base, folder) = (folder.base, folder.path.clone());
        let at = |offset| SocketAddr::from(([127, 0, 0, 1], base + offset));
        let setup = |role: Role, data: Option<&str>| Setup {
            role,
            instance: role.name().into(),
            data_centre: "a".into(),
            data_centres: vec!["a".into()],
            ip: at(0).ip(),
            internal_port: base,
            listen: Listen {
                callers: Some(at(3)),
                ready: Some(at(4)),
                control: Some(at(5)),
                metrics: None,
                internal: None,
            },
            seeds: vec![at(5)],
            bootstrap: true,
            data: data.map(|name| folder.join(name)),
            tolerated: 1,
            bounds: Bounds {
                grace: Duration::from_secs(8),
                catch_up: Duration::from_secs(4),
            },
        };
        for name in ["control", "store"] {
            std::fs::create_dir_all(folder.join(name)).expect("a folder");
        }
        let (stop, stopped) = watch::channel(false);
        let control = setup(Role::Control, Some("control"));
        control::start(control, Arc::new(Plain), stopped)
            .await
            .expect("a control instance");
        store::start(setup(Role::Store, Some("store")))
            .await
            .expect("a store");
        let metrics = Metrics::new().expect("metrics");
        let entry = entry::start(setup(Role::Entry, None), Arc::new(Plain), metrics)
            .await
            .expect("an entry");
        let behaviours = Behaviours::default();
        let deployment = Self {
            backend: Backend::start("b1", behaviours.clone()).await,
            spare: Backend::start("b2", behaviours.clone()).await,
            behaviours,
            callers: at(3),
            control: at(5),
            _stop: stop,
            _entry: entry,
        };
        deployment.settle().await;
        deployment
    }

    /// Waits until turns are served, and makes the first backend server the one that is chosen.
    async fn settle(&self) {
        let settled = async {
            while self.configure(CONFIG).await != 200 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            self.beat(&self.backend, "ready", 1).await;
            while self.turn("warm", None, "", Some(1_000)).await.status != 200 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let settled = tokio::time::timeout(Duration::from_secs(30), settled).await;
        settled.expect("a deployment that serves");
        self.beat(&self.spare, "ready", 1).await;
        self.backend.forget();
        self.spare.forget();
    }

    /// Tells whichever backend server is asked next what to do, and so on.
    pub fn behave<const N: usize>(&self, behaviours: [Behaviour; N]) {
        *self.behaviours.lock().expect("a lock") = behaviours.into();
    }

    pub async fn beat(&self, backend: &Backend, stage: &str, seq: u64) {
        let body = format!("{} {stage} {seq}", backend.address);
        let path = format!("/beat/{}", backend.name);
        assert_eq!(self.order("PUT", &path, body).await.status, 200);
    }

    pub async fn configure(&self, config: &str) -> u16 {
        self.order("PUT", "/config", config.to_owned()).await.status
    }

    pub async fn read_config(&self) -> String {
        let reply = self.order("GET", "/config", String::new()).await;
        assert_eq!(reply.status, 200);
        String::from_utf8(reply.body).expect("text")
    }

    async fn order(&self, method: &str, path: &str, body: String) -> Reply {
        let request = Request::builder().method(method).uri(path);
        let request = request.body(Full::from(body)).expect("a request");
        exchange(self.control, request).await
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
        exchange(self.callers, request).await
    }

    /// Sends a request whose head is `bytes` long or more.
    pub async fn long_head(&self, bytes: usize) -> Reply {
        let request = Request::post("/plain/x")
            .header("host", "test")
            .header("id", "long")
            .header("filler", "x".repeat(bytes));
        exchange(
            self.callers,
            request.body(Full::default()).expect("a request"),
        )
        .await
    }

    /// Opens a connection, says nothing and waits until the entry closes it.
    pub async fn stay_silent(&self) {
        let mut stream = TcpStream::connect(self.callers)
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

    /// One turn of one program, which generates ten tokens at most.
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
        exchange(self.callers, request.body(body).expect("a request")).await
    }

    /// Reads the first event of a stream and closes the connection.
    pub async fn leave_stream(&self, id: &str, path: &str) {
        let request = Request::post(path)
            .header("host", "test")
            .header("id", id)
            .header("key", "key-1");
        let request = request.body(Full::default()).expect("a request");
        let (mut response, connection) = send(self.callers, request).await;
        let frame = response.body_mut().frame().await;
        assert!(frame.expect("an event").is_ok());
        connection.abort();
    }

    /// What both backend servers ran.
    pub fn all_seen(&self) -> Vec<Seen> {
        let mut seen = self.backend.seen();
        seen.extend(self.spare.seen());
        seen.sort_by_key(|seen| seen.body.len());
        seen
    }
}

async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> (Response<Incoming>, tokio::task::JoinHandle<()>) {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.expect("a handshake");
    let connection = tokio::spawn(async move {
        // How it ends is seen by whoever reads the answer.
        let _ = connection.await;
    });
    let response = sender.send_request(request).await.expect("an answer");
    (response, connection)
}

async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> Reply {
    let (response, _connection) = send(address, request).await;
    let (head, mut body) = response.into_parts();
    let retry_after = head.headers.get("retry-after");
    let mut reply = Reply {
        status: head.status.as_u16(),
        retry_after: retry_after.map(|after| after.to_str().expect("text").to_owned()),
        body: Vec::new(),
        whole: true,
    };
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            reply.whole = false;
            break;
        };
        let data = frame.data_ref().expect("data");
        reply.body.extend_from_slice(data);
    }
    reply
}
