//! A backend server of a version, which may answer some requests badly.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

/// How long a good answer takes.
const WORK: Duration = Duration::from_millis(20);
/// How long one takes on a path that ends with `slow`.
const SLOW_WORK: Duration = Duration::from_millis(400);

/// What the servers of one version do and did.
#[derive(Default)]
pub struct Behaviour {
    /// How many of a hundred requests are answered with an error.
    pub failing: AtomicU32,
    /// By how many milliseconds answers are late.
    pub late_ms: AtomicU64,
    received: Mutex<Vec<Instant>>,
    bad: Mutex<Vec<Instant>>,
}

impl Behaviour {
    /// When the requests arrived.
    pub fn received(&self) -> Vec<Instant> {
        self.received.lock().expect("a lock").clone()
    }

    /// When bad answers were sent.
    pub fn bad(&self) -> Vec<Instant> {
        self.bad.lock().expect("a lock").clone()
    }
}

/// A running server. Dropping it closes its listener and all its connections at once.
pub struct Server {
    pub name: String,
    pub version: &'static str,
    pub address: SocketAddr,
    pub sequence: AtomicU64,
    _tasks: JoinSet<()>,
}

impl Server {
    pub async fn start(number: usize, version: &'static str, behaviour: Arc<Behaviour>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, behaviour.clone()));
            }
        });
        Self {
            name: format!("{version}-{number}"),
            version,
            address,
            sequence: AtomicU64::new(1),
            _tasks: tasks,
        }
    }

    /// The path and body of its next heartbeat.
    pub fn heartbeat(&self) -> (String, String) {
        let sequence = self.sequence.fetch_add(1, SeqCst);
        let (address, version) = (self.address, self.version);
        let body = format!("{address} ready {sequence} 1 {version}");
        (format!("/beat/{}", self.name), body)
    }
}

async fn serve(mut stream: TcpStream, behaviour: Arc<Behaviour>) {
    let mut bytes = Vec::new();
    while let Some((path, id)) = read_request(&mut stream, &mut bytes).await {
        let number = {
            let mut received = behaviour.received.lock().expect("a lock");
            received.push(Instant::now());
            received.len()
        };
        let failing = usize::try_from(behaviour.failing.load(SeqCst)).expect("a percentage");
        let late = Duration::from_millis(behaviour.late_ms.load(SeqCst));
        // Spreads the failures evenly over the requests.
        let fails = number * failing / 100 != (number - 1) * failing / 100;
        let work = if path.ends_with("slow") {
            SLOW_WORK
        } else {
            WORK
        };
        tokio::time::sleep(work + late).await;
        if fails || !late.is_zero() {
            behaviour.bad.lock().expect("a lock").push(Instant::now());
        }
        let status = if fails { "500 Error" } else { "200 OK" };
        let answer = format!("HTTP/1.1 {status}\r\nid: {id}\r\ncontent-length: 6\r\n\r\nanswer");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads a request without a body and returns its path and its identifier.
async fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(String, String)> {
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            bytes.drain(..end + 4);
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            let id = lines.find(|(name, _)| name.eq_ignore_ascii_case("id"));
            let path = head.split(' ').nth(1)?.to_owned();
            return id.map(|(_, id)| (path, id.to_owned()));
        }
        if stream.read_buf(bytes).await.ok()? == 0 {
            return None;
        }
    }
}
