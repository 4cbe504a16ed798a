//! A backend server that fails on demand.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Notify,
};

/// How a backend server fails a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Reads the request and closes the connection.
    CloseAfterReading,
    /// Reads the request and sends nothing until the connection is closed.
    Silence,
    /// Sends a whole response after this many milliseconds.
    Late(u64),
    /// Closes the connection in the middle of the response body.
    TruncateBody,
    /// Responds with the identifier of another request.
    WrongRequestId,
    /// Sends bytes that are not an HTTP response.
    InvalidResponse,
    /// States that it does not execute the request.
    Decline,
    /// Closes the connection in the third event of a stream.
    TruncateStream,
    /// Sends one event of a stream and then nothing until the connection is closed.
    StallStream,
    /// Sends one event of a stream and then a byte now and then that completes no event.
    TrickleStream,
    /// Sends a whole stream with a pause of this many milliseconds before each event but the first.
    PauseStream(u64),
    /// Sends a whole stream with a pause of this many milliseconds before its second event.
    PauseOnce(u64),
    /// Sends events of a stream, or bytes of a plain response, until the connection is closed.
    EndlessBody,
    /// Sends header fields until the connection is closed.
    EndlessHead,
    /// Sends almost a megabyte of one event of a stream, and then nothing until the connection is closed.
    LongEvent,
    /// Sends interim responses until the connection is closed.
    EndlessInterim,
    /// Responds with this status and says that it leaves; with 503 it states that it does not execute the
    /// request.
    Leave(u16),
    /// Sends a whole response and, some time later, a refusal that bears the identifier of the same request.
    LateRefusal,
    /// Sends this body without a length or chunks, and closes the connection.
    Unframed(&'static str),
    /// Sends this body without a length or chunks, and resets the connection.
    ResetUnframed(&'static str),
    /// Sends a whole response and, some time later, a second copy of it.
    SecondCopy,
    /// Sends these bytes, in which `{id}` stands for the identifier of the request, and closes the
    /// connection.
    Raw(&'static str),
    /// Sends as many bytes of the head of a response and closes the connection, or resets it.
    CutHead(usize, End),
    /// Sends a whole response and, some time later, these bytes.
    LateBytes(&'static str),
}

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Closed,
    Reset,
}

/// The head of a response of which [`Failure::CutHead`] sends a part.
pub const CUT_HEAD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-type: text/event-stream\r\n\
    content-length: 18\r\n\r\n";

/// A request that a backend server executed.
#[derive(Debug, Clone, Default)]
pub struct ExecutedRequest {
    pub organisation: Option<String>,
    /// Whether the head contains the caller's API key.
    pub contains_key: bool,
    pub body: Vec<u8>,
}

/// The failures of the next requests, shared by all backend servers of a deployment.
pub type Failures = Arc<Mutex<VecDeque<Failure>>>;

#[derive(Default)]
struct State {
    failures: Failures,
    executed: Mutex<Vec<ExecutedRequest>>,
    open_streams: AtomicUsize,
    silent: AtomicUsize,
    reused_silent: AtomicUsize,
}

pub struct Backend {
    pub name: &'static str,
    pub address: SocketAddr,
    state: Arc<State>,
}

/// How long after a response its second copy is sent.
const SECOND_COPY_DELAY: Duration = Duration::from_millis(100);
/// How long after a body its connection is reset.
const RESET_DELAY: Duration = Duration::from_millis(50);
/// The pause between two bytes of a stream that makes no progress.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);
const EVENTS: [&str; 3] = [
    "id: 1\ndata: one\n\n",
    "id: 2\ndata: two\n\n",
    "id: 3\ndata: three\n\n",
];

impl Backend {
    pub async fn start(name: &'static str, failures: Failures) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State {
            failures,
            ..State::default()
        });
        let server_state = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, server_state.clone()));
            }
        });
        Self {
            name,
            address,
            state,
        }
    }

    /// Starts a server that accepts connections only once it is notified, and until then has room for two
    /// that wait.
    pub fn start_unaccepting(name: &'static str) -> (Self, Arc<Notify>) {
        let socket = TcpSocket::new_v4().expect("a socket");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any_port).expect("a port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State::default());
        let (server_state, accept) = (state.clone(), Arc::new(Notify::new()));
        let notified = accept.clone();
        tokio::spawn(async move {
            notified.notified().await;
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, server_state.clone()));
            }
        });
        let backend = Self {
            name,
            address,
            state,
        };
        (backend, accept)
    }

    pub fn executed(&self) -> Vec<ExecutedRequest> {
        self.state.executed.lock().expect("a lock").clone()
    }

    /// Clears the list of executed requests.
    pub fn clear_executed(&self) {
        self.state.executed.lock().expect("a lock").clear();
    }

    /// The number of open connections on which it leaves a request without a response.
    pub fn silent_connections(&self) -> usize {
        self.state.silent.load(SeqCst)
    }

    /// The number of connections on which more was sent after a request that it left without a response.
    pub fn reused_silent_connections(&self) -> usize {
        self.state.reused_silent.load(SeqCst)
    }

    /// The number of streams that it is sending.
    pub fn open_streams(&self) -> usize {
        self.state.open_streams.load(SeqCst)
    }
}

struct Request {
    path: String,
    id: String,
    last_event: u64,
    executed: ExecutedRequest,
}

/// Reads a request; `None` if the connection is closed.
async fn read(stream: &mut TcpStream) -> Option<Request> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let field = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.to_owned())
    };
    let length: usize =
        field("content-length").map_or(0, |length| length.parse().expect("a length"));
    while bytes.len() < end + length {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(Request {
        path: head.split(' ').nth(1)?.to_owned(),
        id: field("id")?,
        last_event: field("last-event-id").map_or(0, |id| id.parse().expect("an id")),
        executed: ExecutedRequest {
            organisation: field("organisation"),
            contains_key: head.contains("key-1"),
            body: bytes[end..].to_vec(),
        },
    })
}

/// Sends bytes and ends the connection.
async fn send_and_end(mut stream: TcpStream, text: &str, end: End) {
    // The entry may have closed the connection.
    let _ = stream.write_all(text.as_bytes()).await;
    if end == End::Reset {
        // The entry reads what was sent first.
        tokio::time::sleep(RESET_DELAY).await;
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).expect("a socket");
    }
}

/// Sends the same bytes until the connection is closed.
async fn send_without_end(stream: &mut TcpStream, text: &str) {
    let text = text.repeat(1_000);
    while stream.write_all(text.as_bytes()).await.is_ok() {}
}

async fn serve(mut stream: TcpStream, state: Arc<State>) {
    while let Some(request) = read(&mut stream).await {
        let failure = state.failures.lock().expect("a lock").pop_front();
        if failure != Some(Failure::Decline) {
            state
                .executed
                .lock()
                .expect("a lock")
                .push(request.executed.clone());
        }
        if failure == Some(Failure::Silence) {
            let mut byte = [0];
            state.silent.fetch_add(1, SeqCst);
            let read = stream.read(&mut byte).await;
            state.silent.fetch_sub(1, SeqCst);
            if matches!(read, Ok(1..)) {
                state.reused_silent.fetch_add(1, SeqCst);
            }
            return;
        }
        if let Some(Failure::Unframed(body) | Failure::ResetUnframed(body)) = failure {
            let kind = if request.path.starts_with("/plain") || request.path.starts_with("/once") {
                "text/plain"
            } else {
                "text/event-stream"
            };
            let id = &request.id;
            let head = format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-type: {kind}\r\n\r\n");
            let end = match failure {
                Some(Failure::ResetUnframed(_)) => End::Reset,
                _ => End::Closed,
            };
            return send_and_end(stream, &(head + body), end).await;
        }
        if let Some(Failure::Raw(text)) = failure {
            let text = text.replace("{id}", &request.id);
            return send_and_end(stream, &text, End::Closed).await;
        }
        if let Some(Failure::CutHead(length, end)) = failure {
            let head = CUT_HEAD.replace("{id}", &request.id);
            return send_and_end(stream, &head[..length.min(head.len() - 1)], end).await;
        }
        if failure == Some(Failure::EndlessInterim) {
            send_without_end(&mut stream, "HTTP/1.1 100 Continue\r\n\r\n").await;
            return;
        }
        if failure == Some(Failure::EndlessHead) {
            let head = "HTTP/1.1 200 OK\r\n";
            if stream.write_all(head.as_bytes()).await.is_ok() {
                send_without_end(&mut stream, "field: value\r\n").await;
            }
            return;
        }
        if let Some(Failure::Late(delay_ms)) = failure {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let is_answered_at_once = request.path.starts_with("/plain")
            || request.path.starts_with("/once")
            || failure == Some(Failure::Decline);
        let keep_open = if is_answered_at_once {
            respond(&mut stream, &request, failure).await
        } else {
            state.open_streams.fetch_add(1, SeqCst);
            let keep_open = stream_events(&mut stream, &request, failure).await;
            state.open_streams.fetch_sub(1, SeqCst);
            keep_open
        };
        if keep_open != Some(()) {
            return;
        }
    }
}

/// Sends a plain response; `None` if the connection must be closed.
async fn respond(
    stream: &mut TcpStream,
    request: &Request,
    failure: Option<Failure>,
) -> Option<()> {
    let id = &request.id;
    let response = format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 6\r\n\r\nanswer");
    let (text, keep_open) = match failure {
        Some(Failure::CloseAfterReading) => (String::new(), false),
        Some(Failure::TruncateBody) => (response[..response.len() - 3].to_owned(), false),
        Some(Failure::WrongRequestId) => (response.replace(id.as_str(), "another"), true),
        Some(Failure::InvalidResponse) => ("\u{1}\u{2} what is this\r\n\r\n".to_owned(), false),
        Some(Failure::Decline) => {
            let declined =
                format!("HTTP/1.1 503 No\r\nid: {id}\r\ndeclined: 1\r\ncontent-length: 0\r\n\r\n");
            (declined, true)
        }
        Some(Failure::Leave(status)) => {
            let declined = if status == 503 { "declined: 1\r\n" } else { "" };
            let leaving = format!("HTTP/1.1 {status} Status\r\nleaving: 1\r\n{declined}");
            (response.replace("HTTP/1.1 200 OK\r\n", &leaving), true)
        }
        Some(Failure::EndlessBody) => {
            let head = format!("HTTP/1.1 200 OK\r\nid: {id}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.ok()?;
            send_without_end(stream, "answer").await;
            return None;
        }
        Some(Failure::LateRefusal) => {
            stream.write_all(response.as_bytes()).await.ok()?;
            tokio::time::sleep(SECOND_COPY_DELAY).await;
            let refusal =
                format!("HTTP/1.1 503 No\r\nid: {id}\r\ndeclined: 1\r\ncontent-length: 0\r\n\r\n");
            (refusal, true)
        }
        Some(Failure::LateBytes(bytes)) => {
            stream.write_all(response.as_bytes()).await.ok()?;
            tokio::time::sleep(SECOND_COPY_DELAY).await;
            (bytes.to_owned(), true)
        }
        Some(Failure::SecondCopy) => {
            stream.write_all(response.as_bytes()).await.ok()?;
            tokio::time::sleep(SECOND_COPY_DELAY).await;
            (response, true)
        }
        _ => (response, true),
    };
    stream.write_all(text.as_bytes()).await.ok()?;
    keep_open.then_some(())
}

/// Sends a stream of events; `None` if the connection must be closed.
async fn stream_events(
    stream: &mut TcpStream,
    request: &Request,
    failure: Option<Failure>,
) -> Option<()> {
    let leaving = match failure {
        Some(Failure::Leave(_)) => "leaving: 1\r\n",
        _ => "",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nid: {}\r\ncontent-type: text/event-stream\r\n{leaving}\
         transfer-encoding: chunked\r\n\r\n",
        request.id
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let sent_before = usize::try_from(request.last_event).expect("a small number");
    for (index, event) in EVENTS.iter().enumerate().skip(sent_before) {
        match failure {
            Some(Failure::TruncateStream) if index == 2 => {
                write_chunk(stream, &event[..7]).await?;
                return None;
            }
            Some(Failure::StallStream) if index == 1 => {
                // Returns when the entry closes the connection.
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                return None;
            }
            Some(Failure::LongEvent) => {
                let start = format!("{:x}\r\ndata: ", 1_000_000);
                stream.write_all(start.as_bytes()).await.ok()?;
                for _ in 0..990 {
                    stream.write_all(&[b'x'; 1_000]).await.ok()?;
                }
                // Returns when the entry closes the connection.
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                return None;
            }
            Some(Failure::TrickleStream) if index == 1 => {
                while write_chunk(stream, ":").await.is_some() {
                    tokio::time::sleep(TRICKLE_INTERVAL).await;
                }
                return None;
            }
            Some(Failure::PauseOnce(pause_ms)) if index == 1 => {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                write_chunk(stream, event).await?;
            }
            Some(Failure::PauseStream(pause_ms)) if index > 0 => {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                write_chunk(stream, event).await?;
            }
            Some(Failure::EndlessBody) => {
                for number in 1_u64.. {
                    let event = format!("id: {number}\ndata: more\n\n");
                    write_chunk(stream, &event).await?;
                }
            }
            _ => write_chunk(stream, event).await?,
        }
    }
    stream.write_all(b"0\r\n\r\n").await.ok()
}

async fn write_chunk(stream: &mut TcpStream, text: &str) -> Option<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes()).await.ok()
}
