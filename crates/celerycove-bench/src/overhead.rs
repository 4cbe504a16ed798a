//! Measures the latency that entry and sidecar add to calls of a stand-in engine, compared with
//! calling the same engine directly in the same run.

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
    measure::{resident_bytes_of, to_float},
};

/// Body of a streaming chat completion request.
const BODY: &str = "{\"model\":\"drafter\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"Draft an order for forty jackets\"}]}";

/// Cluster secret of the measured deployment.
const CLUSTER_SECRET: &str = "a-secret-for-measuring";

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Requests per second, both direct and proxied.
    pub rate: u32,
    /// How long requests are sent.
    pub duration: Duration,
}

type Error = Box<dyn std::error::Error>;

/// A daemon process that is killed when this value is dropped.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        // Errors are ignored, since the process may have exited by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Finds a free local port.
fn unused_address() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Formats the configuration of the daemon and returns it with the addresses of the entry, the
/// operator interface and the internal interface.
fn settings(
    scratch_dir: &Path,
    engine: SocketAddr,
) -> std::io::Result<(String, SocketAddr, SocketAddr, SocketAddr)> {
    let (listen, operator, entry) = (unused_address()?, unused_address()?, unused_address()?);
    let scratch_dir = scratch_dir.display();
    let text = format!(
        "[process]\nname = bench\ndata-centre = local\nlisten = {listen}\n\
         cluster-secret-file = {scratch_dir}/cluster\ncontrol = bench={listen}\ndata = {scratch_dir}/data\n\
         [log]\nlevel = info\nfile = {scratch_dir}/log\n\
         [control]\noperator-listen = {operator}\noperators-file = {scratch_dir}/operators\nshards = 4\n\
         [home]\n[entry]\nlisten = {entry}\n\
         [sidecar engine]\nkind = engine\nbackend = {engine}\nmodels = drafter\ncapacity = 256\n"
    );
    Ok((text, entry, operator, listen))
}

/// Runs the binaries `daemon` and `cli` and prints the comparison.
///
/// # Errors
///
/// Returns an error if a process cannot be started, if no API key can be issued, or if pulls or
/// calls fail during setup.
pub async fn run(
    scratch_dir: &Path,
    daemon: &Path,
    cli: &Path,
    options: Options,
) -> Result<(), Error> {
    std::fs::create_dir_all(scratch_dir)?;
    let engine = Engine::new(engine::Options {
        capacity: 512,
        token_time: Duration::from_micros(200),
        prefill_time: Duration::ZERO,
        ..engine::Options::default()
    });
    let direct = engine.serve(([127, 0, 0, 1], 0).into()).await?;
    let (text, entry, operator, listen) = settings(scratch_dir, direct)?;
    std::fs::write(scratch_dir.join("cluster"), CLUSTER_SECRET)?;
    std::fs::set_permissions(scratch_dir.join("cluster"), Permissions::from_mode(0o600))?;
    let config = scratch_dir.join("bench.ini");
    std::fs::write(&config, text)?;
    let child = Command::new(daemon)
        .arg("--config")
        .arg(&config)
        .stderr(Stdio::null())
        .spawn()?;
    let process = child.id().to_string();
    let _daemon = Daemon(child);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let idle_bytes = resident_bytes_of(&process);
    measure_pulls(listen, &process).await?;
    let key = issue_key(scratch_dir, cli, operator)?;
    warm_up(entry, &key).await?;
    let (direct, proxied) = load_both(direct, entry, &key, options).await;
    for (name, histogram) in [("direct", &direct), ("through entry and sidecar", &proxied)] {
        println!(
            "first byte {name:<26} p50 {:>7.3} ms  p99 {:>7.3} ms  ({} requests)",
            to_float(histogram.value_at_quantile(0.5)) / 1e3,
            to_float(histogram.value_at_quantile(0.99)) / 1e3,
            histogram.len()
        );
    }
    let added_ms = |quantile| {
        let (proxied, direct) = (
            proxied.value_at_quantile(quantile),
            direct.value_at_quantile(quantile),
        );
        (to_float(proxied) - to_float(direct)) / 1e3
    };
    println!(
        "overhead p50 {:.3} ms (at most 1), p99 {:.3} ms (at most 3)",
        added_ms(0.5),
        added_ms(0.99)
    );
    println!(
        "resident memory of the idle process, all roles: {:.1} MiB",
        to_float(idle_bytes) / 1_048_576.0
    );
    Ok(())
}

/// Sets a rate limit too high to matter and issues an API key.
fn issue_key(scratch_dir: &Path, cli: &Path, operator: SocketAddr) -> Result<String, Error> {
    let run_cli = |arguments: &[&str]| -> Result<String, Error> {
        let output = Command::new(cli)
            .args(arguments)
            .arg("--server")
            .arg(operator.to_string())
            .arg("--credential-file")
            .arg(scratch_dir.join("operators"))
            .output()?;
        if !output.status.success() {
            return Err(String::from_utf8_lossy(&output.stderr).into_owned().into());
        }
        Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned())
    };
    run_cli(&["rate", "bench", "--rate", "1000000", "--burst", "1000000"])?;
    run_cli(&["key", "issue", "bench"])
}

/// Measures pulls of shared state that find nothing new, as an idle process sends them.
async fn measure_pulls(listen: SocketAddr, process: &str) -> Result<(), Error> {
    const PULLS: u32 = 4000;
    let headers = [
        (header::CLUSTER_SECRET, CLUSTER_SECRET),
        (header::SENDER, "child"),
    ];
    let proxy = CountingProxy::start(listen).await?;
    let client = rpc_client(proxy.address, &headers)?;
    let mut follower = Follower::new(Duration::from_secs(4), Duration::from_secs(3));
    let mut own = announcement(1);
    own.process = "child".into();
    // The first pulls transfer the whole state, so that the measured ones find nothing new.
    for _ in 0..3 {
        let pull = follower.pull(Duration::from_secs(1), own.clone());
        let reply: Option<Reply> = client
            .request(method::PULL, SingleParameter::from(&pull)?)
            .await?;
        follower.apply_reply(
            Duration::from_secs(1),
            reply.ok_or("the server has no shared state to pull yet")?,
        );
    }
    let pull = follower.pull(Duration::from_secs(1), own);
    proxy.up.store(0, Relaxed);
    proxy.down.store(0, Relaxed);
    let started = Instant::now();
    let processor_time_before = processor_time(process);
    for _ in 0..PULLS {
        let parameters = SingleParameter::from(&pull)?;
        let reply: Option<Reply> = client.request(method::PULL, parameters).await?;
        if reply.is_none() {
            return Err("the server has no shared state to pull yet".into());
        }
    }
    let bytes_per_pull = |count: &AtomicU64| to_float(count.load(Relaxed)) / f64::from(PULLS);
    println!(
        "one pull with its HTTP headers: {:.0} bytes up, {:.0} bytes down",
        bytes_per_pull(&proxy.up),
        bytes_per_pull(&proxy.down),
    );
    println!(
        "one pull over the wire: {:.1} us there and back, {:.1} us of the upstream's processor",
        started.elapsed().as_secs_f64() * 1e6 / f64::from(PULLS),
        processor_time(process)
            .saturating_sub(processor_time_before)
            .as_secs_f64()
            * 1e6
            / f64::from(PULLS),
    );
    Ok(())
}

/// A TCP proxy that counts the bytes in each direction.
struct CountingProxy {
    address: SocketAddr,
    up: Arc<AtomicU64>,
    down: Arc<AtomicU64>,
}

impl CountingProxy {
    async fn start(server_address: SocketAddr) -> Result<Self, Error> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let proxy = Self {
            address: listener.local_addr()?,
            up: Arc::default(),
            down: Arc::default(),
        };
        let (up, down) = (proxy.up.clone(), proxy.down.clone());
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(server_address).await else {
                    continue;
                };
                let (from_client, to_client) = client.into_split();
                let (from_server, to_server) = server.into_split();
                tokio::spawn(copy_and_count(from_client, to_server, up.clone()));
                tokio::spawn(copy_and_count(from_server, to_client, down.clone()));
            }
        });
        Ok(proxy)
    }
}

/// Copies bytes and counts them until the connection ends.
async fn copy_and_count(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: Arc<AtomicU64>) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(read) = from.read(&mut buffer).await
        && read > 0
        && to.write_all(&buffer[..read]).await.is_ok()
    {
        count.fetch_add(read as u64, Relaxed);
    }
}

/// Builds the positional parameters of a method that takes one value.
struct SingleParameter;

impl SingleParameter {
    fn from<T: serde::Serialize>(value: &T) -> Result<jsonrpsee::core::params::ArrayParams, Error> {
        let mut parameters = jsonrpsee::core::params::ArrayParams::new();
        parameters.insert(value)?;
        Ok(parameters)
    }
}

/// Returns the processor time that a process has used in user and kernel mode.
fn processor_time(process: &str) -> Duration {
    /// The clock tick of `/proc`, 100 per second.
    const CLOCK_TICK: Duration = Duration::from_millis(10);
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    // Indexes count from the field after the process name.
    let ticks = |index: usize| {
        after_name
            .split_whitespace()
            .nth(index)
            .and_then(|field| field.parse::<u32>().ok())
    };
    CLOCK_TICK * (ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0))
}

/// Sends calls until 2,000 have succeeded, so that the sidecar's concurrency limit can grow to its
/// capacity.
async fn warm_up(entry: SocketAddr, key: &str) -> Result<(), Error> {
    let client = client();
    let started = Instant::now();
    let mut served = 0;
    while served < 2000 {
        let calls = (0..32).map(|_| first_byte(&client, entry, key));
        let calls: Vec<_> = calls.collect();
        for call in calls {
            served += u32::from(call.await.is_some());
        }
        if started.elapsed() > Duration::from_mins(1) {
            return Err("too few calls succeeded during the one-minute warm-up".into());
        }
    }
    Ok(())
}

/// Sends a call, reads the whole answer and returns the time to the first bytes of its body, or
/// `None` if the call fails.
async fn first_byte(client: &HttpClient, address: SocketAddr, key: &str) -> Option<Duration> {
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .body(full_body(BODY))
        .ok()?;
    let started = Instant::now();
    let response = client.request(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut body = response.into_body();
    body.frame().await?.ok()?;
    let time_to_first_byte = started.elapsed();
    while let Some(frame) = body.frame().await {
        frame.ok()?;
    }
    Some(time_to_first_byte)
}

/// Loads the engine directly and through the entry at the same time.
async fn load_both(
    direct: SocketAddr,
    entry: SocketAddr,
    key: &str,
    options: Options,
) -> (Histogram<u64>, Histogram<u64>) {
    let (direct_times, proxied_times) = tokio::join!(
        send_at_rate(direct, key.to_owned(), options),
        send_at_rate(entry, key.to_owned(), options)
    );
    (direct_times, proxied_times)
}

/// Creates a histogram for times up to an hour in microseconds, with three significant digits.
fn empty_histogram() -> Histogram<u64> {
    const HOUR_US: u64 = 3_600_000_000;
    Histogram::new_with_max(HOUR_US, 3).expect("valid histogram bounds")
}

/// Sends calls at a constant rate, regardless of how fast they are answered, and collects the times
/// to the first byte in microseconds.
async fn send_at_rate(address: SocketAddr, key: String, options: Options) -> Histogram<u64> {
    let histogram = Arc::new(Mutex::new(empty_histogram()));
    let client = client();
    let mut schedule = tokio::time::interval(Duration::from_secs(1) / options.rate);
    schedule.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
    let started = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    while started.elapsed() < options.duration {
        schedule.tick().await;
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
