//! A backend server that misbehaves when told to.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// What it does with the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Reads the request and closes the connection.
    CloseAfterReading,
    /// Sends half of the body.
    CutBody,
    /// Answers under another request's name.
    AnswerAnother,
    /// Sends bytes that are no answer.
    Garbage,
    /// States that it does not run the request.
    Decline,
    /// Breaks a stream off in its third event.
    CutStream,
    /// Sends one event and no more.
    StallStream,
}

/// A request that it ran.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    pub organisation: Option<String>,
    pub shows_key: bool,
    pub body: Vec<u8>,
}

/// What whichever of them is asked next does.
pub type Behaviours = Arc<Mutex<VecDeque<Behaviour>>>;

#[derive(Default)]
struct State {
    behaviours: Behaviours,
    seen: Mutex<Vec<Seen>>,
    open: AtomicUsize,
}

pub struct Backend {
    pub name: &'static str,
    pub address: SocketAddr,
    state: Arc<State>,
}

const EVENTS: [&str; 3] = [
    "id: 1\ndata: one\n\n",
    "id: 2\ndata: two\n\n",
    "id: 3\ndata: three\n\n",
];

impl Backend {
    pub async fn start(name: &'static str, behaviours: Behaviours) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State {
            behaviours,
            ..State::default()
        });
        let serving = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, serving.clone()));
            }
        });
        Self {
            name,
            address,
            state,
        }
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.state.seen.lock().expect("a lock").clone()
    }

    /// Forgets the requests that it ran.
    pub fn forget(&self) {
        self.state.seen.lock().expect("a lock").clear();
    }

    /// Connections on which it works on a stream.
    pub fn open(&self) -> usize {
        self.state.open.load(SeqCst)
    }
}

struct Request {
    path: String,
    id: String,
    last: u64,
    seen: Seen,
}

async fn read(stream: &mut TcpStream) -> Option<Request> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
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
    let length: usize = field("content-length").map_or(0, |l| l.parse().expect("a length"));
    while bytes.len() < end + length {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(Request {
        path: head.split(' ').nth(1)?.to_owned(),
        id: field("id")?,
        last: field("last-event-id").map_or(0, |last| last.parse().expect("an id")),
        seen: Seen {
            organisation: field("organisation"),
            shows_key: head.contains("key-1"),
            body: bytes[end..].to_vec(),
        },
    })
}

async fn serve(mut stream: TcpStream, state: Arc<State>) {
    while let Some(request) = read(&mut stream).await {
        let behaviour = state.behaviours.lock().expect("a lock").pop_front();
        if behaviour != Some(Behaviour::Decline) {
            state
                .seen
                .lock()
                .expect("a lock")
                .push(request.seen.clone());
        }
        let goes_on = if request.path.starts_with("/plain") || request.path.starts_with("/once") {
            answer(&mut stream, &request, behaviour).await
        } else {
            state.open.fetch_add(1, SeqCst);
            let goes_on = events(&mut stream, &request, behaviour).await;
            state.open.fetch_sub(1, SeqCst);
            goes_on
        };
        if goes_on != Some(()) {
            return;
        }
    }
}

async fn answer(
    stream: &mut TcpStream,
    request: &Request,
    behaviour: Option<Behaviour>,
) -> Option<()> {
    let id = &request.id;
    let whole = format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 6\r\n\r\nanswer");
    let (text, goes_on) = match behaviour {
        Some(Behaviour::CloseAfterReading) => (String::new(), false),
        Some(Behaviour::CutBody) => (whole[..whole.len() - 3].to_owned(), false),
        Some(Behaviour::AnswerAnother) => (whole.replace(id.as_str(), "another"), true),
        Some(Behaviour::Garbage) => ("\u{1}\u{2} what is this\r\n\r\n".to_owned(), false),
        Some(Behaviour::Decline) => {
            let declined = "HTTP/1.1 503 No\r\ndeclined: 1\r\ncontent-length: 0\r\n\r\n";
            (declined.to_owned(), true)
        }
        _ => (whole, true),
    };
    stream.write_all(text.as_bytes()).await.ok()?;
    goes_on.then_some(())
}

async fn events(
    stream: &mut TcpStream,
    request: &Request,
    behaviour: Option<Behaviour>,
) -> Option<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nid: {}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n",
        request.id
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let after = usize::try_from(request.last).expect("a small number");
    for (at, event) in EVENTS.iter().enumerate().skip(after) {
        match behaviour {
            Some(Behaviour::CutStream) if at == 2 => {
                chunk(stream, &event[..7]).await?;
                return None;
            }
            Some(Behaviour::StallStream) if at == 1 => {
                // Until the other side closes.
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                return None;
            }
            _ => chunk(stream, event).await?,
        }
    }
    stream.write_all(b"0\r\n\r\n").await.ok()
}

async fn chunk(stream: &mut TcpStream, text: &str) -> Option<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes()).await.ok()
}
