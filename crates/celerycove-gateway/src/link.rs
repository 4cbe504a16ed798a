//! Connections between processes.
//!
//! A process opens one connection to each process that it sends requests to, and reconnects
//! whenever it fails. Frames are `MessagePack` with a length prefix. Both sides send a frame at
//! least once every [`PING_INTERVAL`]; a connection on which nothing arrives for
//! [`SILENCE_TIMEOUT`] is closed, since a network partition or a suspended peer closes no
//! connection by itself.
//!
//! Queued and received frames are bounded in bytes, for each peer and for all peers together; see
//! [`Part::SendQueues`] and [`Part::ReceivedFrames`].

mod incoming;
mod outgoing;
mod queue;
mod receive;

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use bytes::Bytes;
use celerycove_types::{Map, Set, id};
use tokio::{
    io::{AsyncWriteExt, BufWriter},
    net::{TcpStream, tcp::OwnedWriteHalf},
    sync::oneshot,
};

pub use incoming::listen;
pub use queue::{Encoded, Sender};

use self::queue::Overflow;
#[cfg(doc)]
use crate::memory::Part;
use crate::{
    clock,
    memory::Account,
    message::{Frame, Peer, Reply, RpcRequest, SequenceNumber},
};

/// How often each side sends a ping.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// A connection on which nothing arrives for this long is closed: three ping intervals.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// How long opening a connection may take: many round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The delay before a failed connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// The longest frame: a batch of the log's entries, whose largest one is a configuration.
const MAX_FRAME_BYTES: usize = 32 << 20;
/// The longest first frame, before the peer has introduced itself.
const MAX_HELLO_BYTES: usize = 4 << 10;

/// Handles the events of connections to and from peers. Its methods must not block.
pub trait Handler: Send + Sync + 'static {
    /// Called when a connection is open. `hello` is what the peer sent if the peer opened it;
    /// `sender` sends to the peer on this connection.
    fn opened(&self, peer: &id::Process, hello: Option<&Peer>, sender: &Sender);

    /// Called for each frame from a peer; `sender` sends to the peer on the same connection.
    fn receive(&self, peer: &id::Process, frame: Frame, sender: &Sender);

    /// Called when a connection is closed. `connection` is the number of one that the peer opened,
    /// and 0 for one that was opened here.
    fn closed(&self, peer: &id::Process, hello: Option<&Peer>, connection: u64);
}

/// Encodes a frame.
#[must_use]
pub fn encode(frame: &Frame) -> Option<Bytes> {
    match rmp_serde::to_vec(frame) {
        Ok(bytes) => Some(bytes.into()),
        Err(error) => {
            log::error!(target: "link", error:% = error; "could not encode a frame");
            None
        }
    }
}

/// No reply arrived in time, or the connection failed before; the request may have been carried
/// out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no reply arrived, or the connection failed before it")]
pub struct NoReply;

/// Requests that have no reply yet.
#[derive(Default)]
struct Pending {
    replies: Map<SequenceNumber, (id::Process, oneshot::Sender<Reply>)>,
}

/// All connections that this process opens.
pub struct Connections {
    local: Peer,
    account: Arc<Account>,
    handler: std::sync::OnceLock<Arc<dyn Handler>>,
    peers: Mutex<Map<id::Process, Sender>>,
    /// The peers to which a connection is open now.
    connected: Mutex<Set<id::Process>>,
    pending: Mutex<Pending>,
    next_request: AtomicU64,
}

/// The number of the next connection of this process, in either direction.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

impl Connections {
    /// Creates a set without connections; `local` is what this process sends to introduce itself,
    /// and `account` counts what the connections hold.
    #[must_use]
    pub fn new(local: Peer, account: Arc<Account>) -> Arc<Self> {
        Arc::new(Self {
            local,
            account,
            handler: std::sync::OnceLock::new(),
            peers: Mutex::default(),
            connected: Mutex::default(),
            pending: Mutex::default(),
            next_request: AtomicU64::new(1),
        })
    }

    /// Sets the handler of events; only the first call counts.
    pub fn set_handler(&self, handler: Arc<dyn Handler>) {
        if self.handler.set(handler).is_err() {
            log::error!(target: "link", "ignored a second handler");
        }
    }

    /// Opens a connection to a peer, unless there is one, and reconnects whenever it fails.
    pub fn open(self: &Arc<Self>, peer: &id::Process) {
        let mut peers = lock(&self.peers);
        if *peer == self.local.process || peers.contains_key(peer) {
            return;
        }
        let (sender, frames) = queue::new(&self.account, peer, Overflow::Drop, 0);
        peers.insert(peer.clone(), sender);
        tokio::spawn(outgoing::run(self.clone(), peer.clone(), frames));
    }

    /// The account of what the connections hold.
    #[must_use]
    pub fn account(&self) -> &Arc<Account> {
        &self.account
    }

    /// Whether a connection to the peer is open now.
    pub fn is_connected(&self, peer: &id::Process) -> bool {
        lock(&self.connected).contains(peer)
    }

    /// Sends a frame to a peer, opening a connection if there is none.
    pub fn send(self: &Arc<Self>, peer: &id::Process, frame: &Frame) {
        if let Some(sender) = self.sender(peer) {
            sender.send(frame);
        }
    }

    /// Sends an encoded frame like [`send`](Self::send).
    pub fn send_encoded(self: &Arc<Self>, peer: &id::Process, frame: &Encoded) {
        if let Some(sender) = self.sender(peer) {
            sender.send_encoded(frame);
        }
    }

    fn sender(self: &Arc<Self>, peer: &id::Process) -> Option<Sender> {
        self.open(peer);
        lock(&self.peers).get(peer).cloned()
    }

    /// Sends a request to a peer and waits for the reply, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`NoReply`] if no reply arrived.
    pub async fn request(
        self: &Arc<Self>,
        peer: &id::Process,
        request: RpcRequest,
        timeout: Duration,
    ) -> Result<Reply, NoReply> {
        let number = self.next_request.fetch_add(1, Relaxed);
        let (sender, receiver) = oneshot::channel();
        lock(&self.pending)
            .replies
            .insert(number, (peer.clone(), sender));
        let frame = Encoded::new(&Frame::Request(number, request));
        let sender = self.sender(peer).zip(frame);
        let sent = sender.is_some_and(|(sender, frame)| sender.send_encoded(&frame));
        if !sent {
            lock(&self.pending).replies.remove(&number);
            return Err(NoReply);
        }
        let reply = tokio::time::timeout(timeout, receiver).await;
        lock(&self.pending).replies.remove(&number);
        reply.map_err(|_| NoReply)?.map_err(|_| NoReply)
    }

    /// Passes a reply to the caller that waits for it.
    fn deliver_reply(&self, number: SequenceNumber, reply: Reply) {
        if let Some((_, requester)) = lock(&self.pending).replies.remove(&number) {
            // The requester may have stopped waiting.
            let _ = requester.send(reply);
        }
    }

    /// Fails all pending requests to a peer whose connection is closed.
    fn fail_pending(&self, peer: &id::Process) {
        lock(&self.pending)
            .replies
            .retain(|_, (requested, _)| requested != peer);
    }
}

/// Locks a mutex, also if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Why a connection was closed.
#[derive(Debug, thiserror::Error)]
enum Disconnect {
    #[error("the peer closed the connection")]
    Closed,
    #[error("the peer was silent for {SILENCE_TIMEOUT:?}")]
    Silent,
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    #[error("a frame could not be read: {0}")]
    Frame(#[from] rmp_serde::decode::Error),
    #[error("the peer announced a frame of {0} bytes")]
    TooLong(usize),
    #[error("the peer read too slowly: there was no room for another frame")]
    Overflow,
    #[error("this process closed the connection")]
    Local,
}

/// The times at which a peer was heard from. They are kept in milliseconds, in an atomic number,
/// since one future writes them and another reads them.
#[derive(Debug)]
struct Contact(AtomicU64);

impl Contact {
    /// Stands for a peer whose frame this process does not read yet, so that its silence says nothing.
    const NOT_READING: u64 = u64::MAX;

    fn now() -> Self {
        Self(AtomicU64::new(clock::millis(clock::now())))
    }

    fn record(&self) {
        self.0.store(clock::millis(clock::now()), Relaxed);
    }

    fn suspend(&self) {
        self.0.store(Self::NOT_READING, Relaxed);
    }

    fn is_lost(&self) -> bool {
        let silence = clock::millis(clock::now()).saturating_sub(self.0.load(Relaxed));
        silence > clock::millis(SILENCE_TIMEOUT)
    }
}

/// Writes queued frames and pings, and passes received frames to `on_frame`, until the connection
/// is closed.
async fn run_connection(
    mut reader: receive::Reader,
    mut writer: Writer,
    queue: &mut queue::Receiver,
    on_frame: impl FnMut(Frame),
) -> Disconnect {
    let contact = Contact::now();
    let backlog = queue.backlog();
    tokio::select! {
        cause = reader.run(&contact, on_frame) => cause,
        cause = write_frames(&mut writer, queue, &contact) => cause,
        () = backlog.overflowed() => Disconnect::Overflow,
    }
}

type Writer = BufWriter<OwnedWriteHalf>;

/// Splits a connection into its two directions.
fn split(stream: TcpStream, account: &Arc<Account>) -> (receive::Reader, Writer) {
    // A failure only increases latency.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    (
        receive::Reader::new(reader, account.clone()),
        BufWriter::new(writer),
    )
}

/// Writes queued frames and pings until the connection fails or the peer is silent.
async fn write_frames(
    writer: &mut Writer,
    queue: &mut queue::Receiver,
    contact: &Contact,
) -> Disconnect {
    let Some(ping) = encode(&Frame::Ping) else {
        return Disconnect::Local;
    };
    let mut pings = tokio::time::interval(PING_INTERVAL);
    loop {
        let result = tokio::select! {
            frame = queue.recv() => match frame {
                Some(first) => write(writer, first.bytes(), queue).await,
                None => Err(Disconnect::Local),
            },
            _ = pings.tick() => {
                if contact.is_lost() {
                    Err(Disconnect::Silent)
                } else {
                    write(writer, &ping, queue).await
                }
            }
        };
        if let Err(cause) = result {
            return cause;
        }
    }
}

/// Writes `first` and all queued frames, then flushes once. A peer that does not accept a frame
/// within [`SILENCE_TIMEOUT`] counts as silent.
async fn write(
    writer: &mut Writer,
    first: &[u8],
    queue: &mut queue::Receiver,
) -> Result<(), Disconnect> {
    write_frame(writer, first).await?;
    while let Some(frame) = queue.try_recv() {
        write_frame(writer, frame.bytes()).await?;
    }
    in_time(writer.flush()).await
}

async fn write_frame(writer: &mut Writer, frame: &[u8]) -> Result<(), Disconnect> {
    let length = u32::try_from(frame.len()).map_err(std::io::Error::other)?;
    in_time(async {
        writer.write_u32(length).await?;
        writer.write_all(frame).await
    })
    .await
}

async fn in_time(writing: impl Future<Output = std::io::Result<()>>) -> Result<(), Disconnect> {
    match tokio::time::timeout(SILENCE_TIMEOUT, writing).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(Disconnect::Silent),
    }
}
