//! Callers, which run programs: turns that each continue from the previous one, with calls to the
//! plain service in between.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::Duration,
};

use bytes::Bytes;
use celerycove_platform::simulation::{
    ClientRequest, EVENT_TOKENS, LOOKUP_PREFIX, PAYMENT_PREFIX, TURN_PREFIX,
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, client::conn::http1::handshake};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::watch, time::timeout};

use crate::{
    backend::{EVENTS_PER_STREAM, event_data, response_text},
    checker::Checker,
};

/// Deadline that a caller states in a request.
const REQUEST_DEADLINE: Duration = Duration::from_secs(3);
/// Time beyond the stated deadline that a caller waits for the response.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Pause before a failed turn is sent again, and between two programs.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Number of turns in one program.
const TURNS_PER_PROGRAM: u32 = 6;
/// Maximum number of attempts of one turn.
const MAX_TURN_ATTEMPTS: u32 = 4;
/// Tokens that one turn generates at most.
const MAX_TURN_TOKENS: u64 = EVENTS_PER_STREAM * EVENT_TOKENS;
/// Token budget of every third program: less than its turns need, so that it is exceeded.
const TIGHT_BUDGET_TOKENS: u64 = MAX_TURN_TOKENS * 3;
/// Token budget of the other programs: enough for all turns, including failed attempts.
const AMPLE_BUDGET_TOKENS: u64 = MAX_TURN_TOKENS * 60;

/// The reason why a request has no complete response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("connection failed")]
    Io(#[from] std::io::Error),
    /// The response is not valid HTTP, or is incomplete.
    #[error("response is invalid or incomplete")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("request could not be built")]
    Request(#[from] hyper::http::Error),
    /// The response was not complete in time.
    #[error("request timed out")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Error> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // Errors are observed by the reader of the response.
        let _ = connection.await;
    });
    Ok(sender.send_request(request).await?)
}

/// Sends a request to a control instance and returns status and body of the response.
///
/// # Errors
///
/// Returns an error if there is no complete response.
pub async fn send_admin_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: String,
) -> Result<(u16, Bytes), Error> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "control");
    let response = send(address, request.body(Full::from(body))?).await?;
    let status = response.status().as_u16();
    Ok((status, response.into_body().collect().await?.to_bytes()))
}

/// Sends a request of a caller and returns status and body of the response.
///
/// # Errors
///
/// Returns an error if there is no complete response within the deadline.
pub async fn send_request(
    address: SocketAddr,
    path: &str,
    metadata: &ClientRequest<'_>,
    body: Bytes,
) -> Result<(u16, Bytes), Error> {
    let mut request = Request::post(path);
    for (name, value) in metadata.headers() {
        request = request.header(name, value);
    }
    let request = request.body(Full::new(body))?;
    let response = async {
        let response = send(address, request).await?;
        let status = response.status().as_u16();
        Ok::<_, Error>((status, response.into_body().collect().await?.to_bytes()))
    };
    timeout(REQUEST_DEADLINE + RESPONSE_GRACE, response).await?
}

/// Makes the ids of programs and requests unique.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn unique_id(kind: &str) -> String {
    format!("{kind}-{}", NEXT_ID.fetch_add(1, SeqCst))
}

/// A caller that runs one program after another.
pub struct Caller {
    /// The addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Records what the caller observes.
    pub checker: Arc<Checker>,
    /// Round-robin counter; modulo the number of entries, it is the index of the entry used last.
    pub entry_index: usize,
}

impl Caller {
    /// Runs programs until `stop` is set.
    pub async fn run(mut self, stop: watch::Receiver<bool>) {
        let mut program_index = self.entry_index;
        while !*stop.borrow() {
            program_index += 1;
            let budget = if program_index.is_multiple_of(3) {
                TIGHT_BUDGET_TOKENS
            } else {
                AMPLE_BUDGET_TOKENS
            };
            self.run_program(budget).await;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn next_address(&mut self) -> SocketAddr {
        self.entry_index += 1;
        self.entries[self.entry_index % self.entries.len()]
    }

    /// Runs one program and returns whether all its turns were served.
    pub async fn run_program(&mut self, budget: u64) -> bool {
        let program = unique_id("program");
        let mut history: Vec<u8> = Vec::new();
        let mut previous = None;
        for number in 0..TURNS_PER_PROGRAM {
            let input = format!("input {number} of {program}\n");
            let Some((request, output)) = self
                .run_turn(&program, budget, previous.as_deref(), &history, &input)
                .await
            else {
                return false;
            };
            history.extend_from_slice(input.as_bytes());
            history.extend_from_slice(&output);
            previous = Some(request);
            self.send_call(LOOKUP_PREFIX, "lookup").await;
            self.send_call(PAYMENT_PREFIX, "payment").await;
        }
        true
    }

    /// Runs a turn, with a new request for each attempt, and returns the id of the successful
    /// request and the generated text.
    async fn run_turn(
        &mut self,
        program: &str,
        budget: u64,
        previous: Option<&str>,
        history: &[u8],
        input: &str,
    ) -> Option<(String, Vec<u8>)> {
        for _ in 0..MAX_TURN_ATTEMPTS {
            let request = unique_id("turn");
            let expected_body = [history, input.as_bytes()].concat();
            self.checker
                .record_turn(&request, expected_body, program, (budget, MAX_TURN_TOKENS));
            let metadata = ClientRequest {
                request_id: &request,
                timeout: REQUEST_DEADLINE,
                program: Some((program, budget, MAX_TURN_TOKENS)),
                previous,
            };
            let entry = self.next_address();
            match send_request(
                entry,
                TURN_PREFIX,
                &metadata,
                Bytes::copy_from_slice(input.as_bytes()),
            )
            .await
            {
                Ok((200, body)) => {
                    self.checker.record_status(&request, 200);
                    return self
                        .check_stream(program, &request, &body)
                        .map(|output| (request, output));
                }
                Ok((status, _)) => {
                    self.checker.record_status(&request, status);
                    if let (404, Some(previous)) = (status, previous) {
                        let seen = format!(
                            "{request}, which continues from {previous}, was answered with status 404"
                        );
                        self.checker.record_violation("history is kept", seen);
                    }
                    if status == 402 {
                        return None;
                    }
                }
                Err(_) => {}
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// Checks the response of a turn and returns the generated text if it is complete and in order.
    fn check_stream(&self, program: &str, request: &str, body: &[u8]) -> Option<Vec<u8>> {
        let expected_event =
            |number| format!("id: {number}\ndata: {}\n\n", event_data(request, number));
        let expected_stream: String = (1..=EVENTS_PER_STREAM).map(expected_event).collect();
        if expected_stream.as_bytes() != body {
            let seen = format!("{request}: {}", String::from_utf8_lossy(body));
            self.checker
                .record_violation("streams are whole and in order", seen);
            return None;
        }
        let output = (1..=EVENTS_PER_STREAM).map(|number| event_data(request, number) + "\n");
        for _ in 1..=EVENTS_PER_STREAM {
            self.checker.record_event(program);
        }
        Some(output.collect::<String>().into_bytes())
    }

    /// Sends a call to the plain service and checks the response.
    async fn send_call(&mut self, path: &str, kind: &str) {
        let request = unique_id(kind);
        if path == PAYMENT_PREFIX {
            self.checker.record_non_idempotent(&request);
        }
        let metadata = ClientRequest {
            request_id: &request,
            timeout: REQUEST_DEADLINE,
            ..ClientRequest::default()
        };
        let entry = self.next_address();
        if let Ok((status, body)) = send_request(entry, path, &metadata, Bytes::new()).await {
            self.checker.record_status(&request, status);
            if status == 200 && body != response_text(&request) {
                let seen = format!("{request}: {}", String::from_utf8_lossy(&body));
                self.checker
                    .record_violation("answers belong to requests", seen);
            }
        }
    }
}
