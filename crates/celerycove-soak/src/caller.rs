//! Callers: programs of turns that continue from each other, with calls between them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::Duration,
};

use bytes::Bytes;
use celerycove_platform::outside::{Ask, EVENT_TOKENS, LOOKUPS, PAYMENTS, TURNS};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, client::conn::http1::handshake};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::watch, time::timeout};

use crate::{
    ledger::Ledger,
    server::{EVENTS, answer, event},
};

/// How long a caller waits for one request.
const PATIENCE: Duration = Duration::from_secs(3);
/// How much longer it waits for the answer to come than it says.
const SLACK: Duration = Duration::from_millis(500);
/// The pause before a turn that failed is sent again, and between steps.
const PAUSE: Duration = Duration::from_millis(120);
/// Turns of one program.
const TURNS_EACH: u32 = 6;
/// How often one turn is tried.
const TRIES: u32 = 4;
/// The most tokens of one turn.
const MOST: u64 = EVENTS * EVENT_TOKENS;
/// What every third program may generate: less than its turns need.
const TIGHT: u64 = MOST * 3;
/// What the others may generate, failed tries included.
const AMPLE: u64 = MOST * 60;

/// Why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("the connection failed")]
    Io(#[from] std::io::Error),
    /// The answer is no HTTP, or breaks off.
    #[error("the answer is broken")]
    Http(#[from] hyper::Error),
    /// The request can't be built.
    #[error("the request can't be built")]
    Request(#[from] hyper::http::Error),
    /// Nothing came in time.
    #[error("nothing came in time")]
    Late(#[from] tokio::time::error::Elapsed),
}

async fn send(at: SocketAddr, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
    let stream = TcpStream::connect(at).await?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // Whoever reads the answer sees how it ends.
        let _ = connection.await;
    });
    Ok(sender.send_request(request).await?)
}

/// Sends an order and gives status and body of the answer.
///
/// # Errors
///
/// Returns why there is no whole answer.
pub async fn order(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: String,
) -> Result<(u16, Bytes), Error> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "control");
    let response = send(at, request.body(Full::from(body))?).await?;
    let status = response.status().as_u16();
    Ok((status, response.into_body().collect().await?.to_bytes()))
}

/// Sends a caller's request and gives status and body of the answer.
///
/// # Errors
///
/// Returns why there is no whole answer.
pub async fn ask(
    at: SocketAddr,
    path: &str,
    ask: &Ask<'_>,
    body: Bytes,
) -> Result<(u16, Bytes), Error> {
    let mut request = Request::post(path);
    for (name, value) in ask.headers() {
        request = request.header(name, value);
    }
    let request = request.body(Full::new(body))?;
    let answered = async {
        let response = send(at, request).await?;
        let status = response.status().as_u16();
        Ok::<_, Error>((status, response.into_body().collect().await?.to_bytes()))
    };
    timeout(PATIENCE + SLACK, answered).await?
}

/// Names requests, each once.
static NUMBERS: AtomicU64 = AtomicU64::new(1);

fn name(kind: &str) -> String {
    format!("{kind}-{}", NUMBERS.fetch_add(1, SeqCst))
}

/// A caller that runs one program after the other.
pub struct Caller {
    /// Where it may ask.
    pub entries: Vec<SocketAddr>,
    /// Notes what it sees.
    pub ledger: Arc<Ledger>,
    /// Which entry it asks next.
    pub next: usize,
}

impl Caller {
    /// Runs programs until told to stop.
    pub async fn run(mut self, stop: watch::Receiver<bool>) {
        let mut count = self.next;
        while !*stop.borrow() {
            count += 1;
            let budget = if count.is_multiple_of(3) {
                TIGHT
            } else {
                AMPLE
            };
            self.program(budget).await;
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn entry(&mut self) -> SocketAddr {
        self.next += 1;
        self.entries[self.next % self.entries.len()]
    }

    /// Runs one program and tells whether all its turns were served.
    pub async fn program(&mut self, budget: u64) -> bool {
        let program = name("program");
        let mut chain: Vec<u8> = Vec::new();
        let mut previous = None;
        for number in 0..TURNS_EACH {
            let input = format!("input {number} of {program}\n");
            let Some((request, output)) = self
                .turn(&program, budget, previous.as_deref(), &chain, &input)
                .await
            else {
                return false;
            };
            chain.extend_from_slice(input.as_bytes());
            chain.extend_from_slice(&output);
            previous = Some(request);
            self.call(LOOKUPS, "lookup").await;
            self.call(PAYMENTS, "payment").await;
        }
        true
    }

    /// Runs a turn, several times where it fails, and gives its name and what was generated.
    async fn turn(
        &mut self,
        program: &str,
        budget: u64,
        previous: Option<&str>,
        chain: &[u8],
        input: &str,
    ) -> Option<(String, Vec<u8>)> {
        for _ in 0..TRIES {
            let request = name("turn");
            let whole = [chain, input.as_bytes()].concat();
            self.ledger
                .send_turn(&request, whole, program, (budget, MOST));
            let asked = Ask {
                request: &request,
                patience: PATIENCE,
                program: Some((program, budget, MOST)),
                previous,
            };
            let entry = self.entry();
            match ask(
                entry,
                TURNS,
                &asked,
                Bytes::copy_from_slice(input.as_bytes()),
            )
            .await
            {
                Ok((200, body)) => {
                    self.ledger.end(&request, 200);
                    return self
                        .take(program, &request, &body)
                        .map(|output| (request, output));
                }
                Ok((status, _)) => {
                    self.ledger.end(&request, status);
                    if let (404, Some(previous)) = (status, previous) {
                        let seen =
                            format!("{request}, which continues from {previous}, was answered 404");
                        self.ledger.accuse("history is kept", seen);
                    }
                    if status == 402 {
                        return None;
                    }
                }
                Err(_) => {}
            }
            tokio::time::sleep(PAUSE).await;
        }
        None
    }

    /// Checks a whole stream and gives what was generated.
    fn take(&self, program: &str, request: &str, body: &[u8]) -> Option<Vec<u8>> {
        let expected = |number| format!("id: {number}\ndata: {}\n\n", event(request, number));
        let whole: String = (1..=EVENTS).map(expected).collect();
        if whole.as_bytes() != body {
            let seen = format!("{request}: {}", String::from_utf8_lossy(body));
            self.ledger.accuse("streams are whole and in order", seen);
            return None;
        }
        let output = (1..=EVENTS).map(|number| event(request, number) + "\n");
        for _ in 1..=EVENTS {
            self.ledger.hand(program);
        }
        Some(output.collect::<String>().into_bytes())
    }

    async fn call(&mut self, path: &str, kind: &str) {
        let request = name(kind);
        if path == PAYMENTS {
            self.ledger.send_once(&request);
        }
        let asked = Ask {
            request: &request,
            patience: PATIENCE,
            ..Ask::default()
        };
        let entry = self.entry();
        if let Ok((status, body)) = ask(entry, path, &asked, Bytes::new()).await {
            self.ledger.end(&request, status);
            if status == 200 && body != answer(&request) {
                let seen = format!("{request}: {}", String::from_utf8_lossy(&body));
                self.ledger.accuse("answers belong to requests", seen);
            }
        }
    }
}
