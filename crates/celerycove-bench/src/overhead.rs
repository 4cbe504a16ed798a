//! The overhead of entry and sidecar against calling the same stand-in directly, in one run.

use std::{
    fs::Permissions,
    net::SocketAddr,
    os::unix::fs::PermissionsExt,
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use celerycove_daemon::{
    http::{HttpClient, client, full_body},
    peer::rpc_client,
};
use celerycove_standin::{Engine, engine};
use celerycove_sync::{Follower, Reply};
use celerycove_wire::{header, method};
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::Request;
use jsonrpsee::core::client::ClientT;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::Mutex,
};

use crate::{
    fixture::announcement,
    measure::{resident_of, to_float},
};

const BODY: &str = "{\"model\":\"drafter\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"Draft an order for forty jackets\"}]}";

/// The secret of the deployment measured.
const SECRET: &str = "a-secret-for-measuring";

/// How a run goes.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Requests a second on each way.
    pub rate: u32,
    /// How long it lasts.
    pub span: Duration,
}

type Error = Box<dyn std::error::Error>;

/// Ends the daemon when the run is over.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn settings(
    folder: &Path,
    engine: SocketAddr,
) -> std::io::Result<(String, SocketAddr, SocketAddr, SocketAddr)> {
    let (listen, operator, entry) = (free()?, free()?, free()?);
    let folder = folder.display();
    let text = format!(
        "[process]\nname = bench\ndata-centre = local\nlisten = {listen}\n\
         cluster-secret-file = {folder}/cluster\ncontrol = bench={listen}\ndata = {folder}/data\n\
         [log]\nlevel = info\nfile = {folder}/log\n\
         [control]\noperator-listen = {operator}\noperators-file = {folder}/operators\nshards = 4\n\
         [home]\n[entry]\nlisten = {entry}\n\
         [sidecar engine]\nkind = engine\nbackend = {engine}\nmodels = drafter\ncapacity = 256\n"
    );
    Ok((text, entry, operator, listen))
}

/// Runs the daemon at `daemon` and the command line at `cli`, and prints the comparison.
///
/// # Errors
///
/// Returns an error if a process can't be started or gives no key.
pub async fn run(folder: &Path, daemon: &Path, cli: &Path, options: Options) -> Result<(), Error> {
    std::fs::create_dir_all(folder)?;
    let engine = Engine::new(engine::Options {
        capacity: 512,
        token_time: Duration::from_micros(200),
        prefill_time: Duration::ZERO,
        ..engine::Options::default()
    });
    let direct = engine.serve(([127, 0, 0, 1], 0).into()).await?;
    let (text, entry, operator, listen) = settings(folder, direct)?;
    std::fs::write(folder.join("cluster"), SECRET)?;
    std::fs::set_permissions(folder.join("cluster"), Permissions::from_mode(0o600))?;
    let config = folder.join("bench.ini");
    std::fs::write(&config, text)?;
    let child = Command::new(daemon)
        .arg("--config")
        .arg(&config)
        .stderr(Stdio::null())
        .spawn()?;
    let id = child.id().to_string();
    let _daemon = Daemon(child);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let idle = resident_of(&id);
    pulls(listen, &id).await?;
    let key = key(folder, cli, operator)?;
    warm(entry, &key).await?;
    let (direct, through) = compare(direct, entry, &key, options).await;
    for (name, histogram) in [("direct", &direct), ("through entry and sidecar", &through)] {
        println!(
            "first byte {name:<26} p50 {:>7.3} ms  p99 {:>7.3} ms  ({} requests)",
            to_float(histogram.value_at_quantile(0.5)) / 1e3,
            to_float(histogram.value_at_quantile(0.99)) / 1e3,
            histogram.len()
        );
    }
    let more = |quantile| {
        let (a, b) = (
            through.value_at_quantile(quantile),
            direct.value_at_quantile(quantile),
        );
        (to_float(a) - to_float(b)) / 1e3
    };
    println!(
        "overhead p50 {:.3} ms (at most 1), p99 {:.3} ms (at most 3)",
        more(0.5),
        more(0.99)
    );
    println!(
        "resident memory of the idle process, all roles: {:.1} MiB",
        to_float(idle) / 1_048_576.0
    );
    Ok(())
}

fn key(folder: &Path, cli: &Path, operator: SocketAddr) -> Result<String, Error> {
    let run = |arguments: &[&str]| -> Result<String, Error> {
        let output = Command::new(cli)
            .args(arguments)
            .arg("--server")
            .arg(operator.to_string())
            .arg("--credential-file")
            .arg(folder.join("operators"))
            .output()?;
        if !output.status.success() {
            return Err(String::from_utf8_lossy(&output.stderr).into_owned().into());
        }
        Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned())
    };
    run(&["rate", "bench", "--rate", "1000000", "--burst", "1000000"])?;
    run(&["key", "issue", "bench"])
}

/// Measures idle pulls of shared state over the wire.
async fn pulls(listen: SocketAddr, id: &str) -> Result<(), Error> {
    const PULLS: u32 = 4000;
    let headers = [(header::CLUSTER_SECRET, SECRET), (header::SENDER, "child")];
    let counted = Counted::start(listen).await?;
    let client = rpc_client(counted.address, &headers)?;
    let mut follower = Follower::new(Duration::from_secs(4), Duration::from_secs(3));
    let mut own = announcement(1);
    own.process = "child".into();
    // The first pulls bring everything; the ones measured find nothing new.
    for _ in 0..3 {
        let pull = follower.pull(Duration::from_secs(1), own.clone());
        let reply: Option<Reply> = client
            .request(method::PULL, ArrayParams::from(&pull)?)
            .await?;
        follower.apply_reply(Duration::from_secs(1), reply.ok_or("nothing to pull yet")?);
    }
    let pull = follower.pull(Duration::from_secs(1), own);
    counted.up.store(0, Relaxed);
    counted.down.store(0, Relaxed);
    let began = Instant::now();
    let before = processor_time(id);
    for _ in 0..PULLS {
        let parameters = ArrayParams::from(&pull)?;
        let reply: Option<Reply> = client.request(method::PULL, parameters).await?;
        if reply.is_none() {
            return Err("nothing to pull yet".into());
        }
    }
    let bytes = |count: &AtomicU64| to_float(count.load(Relaxed)) / f64::from(PULLS);
    println!(
        "one pull with its HTTP headers: {:.0} bytes up, {:.0} bytes down",
        bytes(&counted.up),
        bytes(&counted.down),
    );
    println!(
        "one pull over the wire: {:.1} us there and back, {:.1} us of the upstream's processor",
        began.elapsed().as_secs_f64() * 1e6 / f64::from(PULLS),
        processor_time(id).saturating_sub(before).as_secs_f64() * 1e6 / f64::from(PULLS),
    );
    Ok(())
}

/// Counts the bytes of the connections that pass through it.
struct Counted {
    address: SocketAddr,
    up: Arc<AtomicU64>,
    down: Arc<AtomicU64>,
}

impl Counted {
    async fn start(to: SocketAddr) -> Result<Self, Error> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let counted = Self {
            address: listener.local_addr()?,
            up: Arc::default(),
            down: Arc::default(),
        };
        let (up, down) = (counted.up.clone(), counted.down.clone());
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(to).await else {
                    continue;
                };
                let (from_caller, to_caller) = caller.into_split();
                let (from_server, to_server) = server.into_split();
                tokio::spawn(pass(from_caller, to_server, up.clone()));
                tokio::spawn(pass(from_server, to_caller, down.clone()));
            }
        });
        Ok(counted)
    }
}

/// Passes bytes on and counts them until the connection ends.
async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: Arc<AtomicU64>) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(read) = from.read(&mut buffer).await
        && read > 0
        && to.write_all(&buffer[..read]).await.is_ok()
    {
        count.fetch_add(read as u64, Relaxed);
    }
}

/// One parameter of a method.
struct ArrayParams;

impl ArrayParams {
    fn from<T: serde::Serialize>(value: &T) -> Result<jsonrpsee::core::params::ArrayParams, Error> {
        let mut parameters = jsonrpsee::core::params::ArrayParams::new();
        parameters.insert(value)?;
        Ok(parameters)
    }
}

/// Processor time that a process has used.
fn processor_time(id: &str) -> Duration {
    const TICK: Duration = Duration::from_millis(10);
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks = |at: usize| {
        after_name
            .split_whitespace()
            .nth(at)
            .and_then(|t| t.parse::<u32>().ok())
    };
    TICK * (ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0))
}

/// Lets the sidecar's limit grow to its capacity.
async fn warm(entry: SocketAddr, key: &str) -> Result<(), Error> {
    let client = client();
    let began = Instant::now();
    let mut served = 0;
    while served < 2000 {
        let calls = (0..32).map(|_| first_byte(&client, entry, key));
        let calls: Vec<_> = calls.collect();
        for call in calls {
            served += u32::from(call.await.is_some());
        }
        if began.elapsed() > Duration::from_mins(1) {
            return Err("the deployment does not serve".into());
        }
    }
    Ok(())
}

/// Sends a call and gives the time to the first byte of the body; the rest is read too.
async fn first_byte(client: &HttpClient, address: SocketAddr, key: &str) -> Option<Duration> {
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .body(full_body(BODY))
        .ok()?;
    let began = Instant::now();
    let response = client.request(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut body = response.into_body();
    body.frame().await?.ok()?;
    let first = began.elapsed();
    while let Some(frame) = body.frame().await {
        frame.ok()?;
    }
    Some(first)
}

async fn compare(
    direct: SocketAddr,
    entry: SocketAddr,
    key: &str,
    options: Options,
) -> (Histogram<u64>, Histogram<u64>) {
    let (one, other) = tokio::join!(
        load(direct, key.to_owned(), options),
        load(entry, key.to_owned(), options)
    );
    (one, other)
}

/// A histogram that counts every time that an hour allows, with three digits.
fn empty() -> Histogram<u64> {
    const HOUR: u64 = 3_600_000_000;
    Histogram::new_with_max(HOUR, 3).expect("bounds that the library takes")
}

/// Sends at a steady rate, however slow the answers are, and collects times in microseconds.
async fn load(address: SocketAddr, key: String, options: Options) -> Histogram<u64> {
    let histogram = Arc::new(Mutex::new(empty()));
    let client = client();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / options.rate);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
    let began = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    while began.elapsed() < options.span {
        ticks.tick().await;
        let (client, key, histogram) = (client.clone(), key.clone(), histogram.clone());
        calls.spawn(async move {
            if let Some(took) = first_byte(&client, address, &key).await {
                let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                histogram.lock().await.saturating_record(micros);
            }
        });
    }
    while calls.join_next().await.is_some() {}
    let histogram = histogram.lock().await;
    histogram.clone()
}
