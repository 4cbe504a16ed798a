//! Tests of a sidecar with an engine that answers falsely.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use celerycove_config::Feed;
use celerycove_daemon::{
    http::{Body, Handler, Limits, Server, client, full_body},
    metrics::Metrics,
    process::Process,
    sidecar::Sidecars,
    state::SharedState,
};
use celerycove_settings::read;
use celerycove_wire::header;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const ENGINE: &str = "engine-a";
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\r\nbusy";
/// How long after a refusal its copy is written: the next request has been sent by then.
const COPY_DELAY: Duration = Duration::from_millis(100);

/// Passes requests to the sidecar, as the internal listener does.
struct Forward(Arc<Sidecars>);

impl Handler for Forward {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let sidecar = self.0.get(ENGINE).expect("a sidecar").clone();
        sidecar.forward(request).await
    }
}

/// The number of requests that an engine ran.
type Runs = Arc<Mutex<usize>>;

/// What an engine does with the requests on one connection.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// It refuses the first, writes the refusal once more, and runs all others without an answer.
    RepeatsRefusal,
    /// It runs the first, sends these bytes and closes the connection.
    Sends(&'static str),
}

async fn serve(mut stream: TcpStream, fault: Fault, runs: Runs) {
    let mut bytes = [0; 4_096];
    let read = stream.read(&mut bytes).await;
    if !matches!(read, Ok(1..)) {
        return;
    }
    // The sidecar may close the connection.
    match fault {
        Fault::RepeatsRefusal => {
            let _ = stream.write_all(REFUSAL.as_bytes()).await;
            tokio::time::sleep(COPY_DELAY).await;
            let _ = stream.write_all(REFUSAL.as_bytes()).await;
            while let Ok(1..) = stream.read(&mut bytes).await {
                *runs.lock().expect("a lock") += 1;
            }
        }
        Fault::Sends(text) => {
            *runs.lock().expect("a lock") += 1;
            let _ = stream.write_all(text.as_bytes()).await;
        }
    }
}

async fn start_engine(fault: Fault, runs: Runs) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, fault, runs.clone()));
        }
    });
    address
}

async fn start_sidecar(engine: std::net::SocketAddr) -> Server {
    let settings = format!(
        "[process]\nname = single\ndata-centre = local\nlisten = 127.0.0.1:0\n\
         cluster-secret-file = none\ncontrol = single=127.0.0.1:1\ndata = none\n\n\
         [sidecar {ENGINE}]\nkind = engine\nbackend = {engine}\nmodels = drafter@1\n"
    );
    let settings = read::parse("settings", &settings).expect("settings");
    let metrics = Metrics::new().expect("metrics");
    let process = Arc::new(Process::new(settings, "secret".to_owned(), metrics));
    let hour = Duration::from_hours(1);
    let state = SharedState::new(hour, hour);
    state.mirror(
        &Feed::default(),
        &celerycove_control::placement::Placement::default(),
        Some(process.now()),
    );
    let sidecars = Sidecars::start(&process, &state);
    let any_port = ([127, 0, 0, 1], 0).into();
    let server = Server::open(any_port, Limits::default(), Arc::new(Forward(sidecars))).await;
    server.expect("a listener")
}

/// Sends a request and returns the status and whether it ran, as the sidecar says.
async fn send(sidecar: &Server, dispatch: &str) -> (StatusCode, String) {
    let uri = format!(
        "http://{}/forward/{ENGINE}/v1/chat/completions",
        sidecar.address
    );
    let request = Request::post(uri)
        .header(header::DISPATCH, dispatch)
        .header(header::ORGANISATION, "zilina")
        .header(header::WEIGHT, "1")
        .header(header::COST, "1")
        .header(header::DEADLINE_MS, "5000")
        .header(header::AT_MOST_ONCE, "true")
        .body(full_body("{}"))
        .expect("a request");
    let response = client().request(request).await.expect("an answer");
    let (head, body) = response.into_parts();
    let run = head.headers.get(header::RUN).expect("whether it ran");
    let run = run.to_str().expect("text").to_owned();
    body.collect().await.expect("a whole body");
    (head.status, run)
}

/// Sends a request to an engine with a fault and returns what the sidecar says of it.
async fn outcome(text: &'static str) -> (StatusCode, String) {
    let runs = Runs::default();
    let sidecar = start_sidecar(start_engine(Fault::Sends(text), runs.clone()).await).await;
    let (status, run) = send(&sidecar, "r.0").await;
    assert_eq!(*runs.lock().expect("a lock"), 1);
    sidecar.close().await;
    (status, run)
}

/// Guards against an answer whose status is none, such as 000, being passed on as an answer.
#[tokio::test]
async fn an_answer_with_an_invalid_status_may_have_run() {
    for text in [
        "HTTP/1.1 000 None\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 101 Switching\r\nupgrade: other\r\nconnection: upgrade\r\n\r\n{}",
        "HTTP/1.1 600 More\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 999 Most\r\ncontent-length: 2\r\n\r\n{}",
    ] {
        let (status, run) = outcome(text).await;
        assert_eq!((status.as_u16(), run.as_str()), (502, "unknown"), "{text}");
    }
}

/// Guards against an answer whose head is cut short being passed on as a whole one.
#[tokio::test]
async fn an_answer_with_a_cut_head_may_have_run() {
    for text in [
        "",
        "HTTP/1.1 200 O",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 1",
        "HTTP/1.1 200 OK\r\ncontent-length: 16\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r",
    ] {
        let (status, run) = outcome(text).await;
        assert_eq!((status.as_u16(), run.as_str()), (502, "unknown"), "{text}");
    }
}

/// Guards against an earlier refusal that an engine writes once more on a kept connection being taken for
/// that of the next request, which the engine runs.
#[tokio::test]
async fn a_refusal_that_is_written_once_more_is_read_by_no_other_request() {
    let runs = Runs::default();
    let sidecar = start_sidecar(start_engine(Fault::RepeatsRefusal, runs.clone()).await).await;
    for number in 0..4 {
        let (_, refused) = send(&sidecar, &format!("refused-{number}.0")).await;
        assert_eq!(refused, "not-run");
        let began = *runs.lock().expect("a lock");
        let (_, run) = send(&sidecar, &format!("next-{number}.0")).await;
        tokio::time::sleep(COPY_DELAY * 2).await;
        let ended = *runs.lock().expect("a lock");
        assert!(run != "not-run" || began == ended, "request {number} ran");
    }
    sidecar.close().await;
}
