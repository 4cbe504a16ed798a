//! Connections between processes.
//!
//! A process opens one connection to each process that it sends requests to, and reconnects
//! whenever it fails. Frames are `MessagePack` with a length prefix. Both sides send a frame at
//! least once every [`PING_INTERVAL`]; a connection on which nothing arrives for
//! [`SILENCE_TIMEOUT`] is closed, since a network partition or a suspended peer closes no
//! connection by itself.

mod incoming;
mod outgoing;

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use celerycove_types::{Map, Set, id};
use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

pub use incoming::listen;

use crate::message::{Frame, Peer, Reply, RpcRequest, SequenceNumber};

/// How often each side sends a ping.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// A connection on which nothing arrives for this long is closed: three ping intervals.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// How long opening a connection may take: many round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The delay before a failed connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// The most frames that wait to be written to one peer; further frames are dropped, as on a broken
/// connection.
const SEND_QUEUE_FRAMES: usize = 4_096;
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

/// Sends frames to one peer.
#[derive(Debug, Clone)]
pub struct Sender {
    queue: mpsc::Sender<Bytes>,
    /// The number of the connection, unique in this process; 0 if the sender is not bound to one.
    pub connection: u64,
}

impl Sender {
    /// Sends a frame, or drops it if the queue is full or the connection is closed: the protocol
    /// repeats or retries what a dropped frame carried.
    pub fn send(&self, frame: &Frame) {
        if let Some(encoded) = encode(frame) {
            self.send_encoded(encoded);
        }
    }

    /// Sends an encoded frame like [`send`](Self::send).
    pub fn send_encoded(&self, frame: Bytes) {
        if self.queue.try_send(frame).is_err() {
            log::debug!(target: "link", connection = self.connection;
                "dropped a frame: the send queue is full or closed");
        }
    }

    /// Queues a frame for writing and returns whether it was queued.
    fn try_send(&self, frame: &Frame) -> bool {
        encode(frame).is_some_and(|bytes| self.queue.try_send(bytes).is_ok())
    }

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Encodes a frame, to be sent to any number of peers.
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
    /// Creates a set without connections; `local` is what this process sends to introduce itself.
    #[must_use]
    pub fn new(local: Peer) -> Arc<Self> {
        Arc::new(Self {
            local,
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
        let (queue, frames) = mpsc::channel(SEND_QUEUE_FRAMES);
        let sender = Sender {
            queue,
            connection: 0,
        };
        peers.insert(peer.clone(), sender);
        tokio::spawn(outgoing::run(self.clone(), peer.clone(), frames));
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
    pub fn send_encoded(self: &Arc<Self>, peer: &id::Process, frame: Bytes) {
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
        let sent = self
            .sender(peer)
            .is_some_and(|sender| sender.try_send(&Frame::Request(number, request)));
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

type FrameStream = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> FrameStream {
    // A failure only increases latency.
    let _ = stream.set_nodelay(true);
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    Framed::new(stream, codec)
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
    #[error("this process closed the connection")]
    Local,
}

/// Writes queued frames and pings, and passes received frames to `on_frame`, until the connection
/// is closed.
async fn run_connection(
    stream: &mut FrameStream,
    queue: &mut mpsc::Receiver<Bytes>,
    mut on_frame: impl FnMut(Frame),
) -> Disconnect {
    let ping = match rmp_serde::to_vec(&Frame::Ping) {
        Ok(ping) => Bytes::from(ping),
        Err(error) => return std::io::Error::other(error).into(),
    };
    let mut pings = tokio::time::interval(PING_INTERVAL);
    let mut received_at = crate::clock::now();
    loop {
        let result = tokio::select! {
            frame = stream.next() => match frame {
                Some(Ok(bytes)) => {
                    received_at = crate::clock::now();
                    decode(&bytes).map(&mut on_frame)
                }
                Some(Err(error)) => Err(error.into()),
                None => Err(Disconnect::Closed),
            },
            frame = queue.recv() => match frame {
                Some(first) => write(stream, first, queue).await,
                None => Err(Disconnect::Local),
            },
            _ = pings.tick() => {
                if crate::clock::now().saturating_sub(received_at) > SILENCE_TIMEOUT {
                    Err(Disconnect::Silent)
                } else {
                    write(stream, ping.clone(), queue).await
                }
            }
        };
        if let Err(cause) = result {
            return cause;
        }
    }
}

fn decode(bytes: &BytesMut) -> Result<Frame, Disconnect> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Writes `first` and all queued frames, then flushes once. A peer that accepts no data for
/// [`SILENCE_TIMEOUT`] counts as silent.
async fn write(
    stream: &mut FrameStream,
    first: Bytes,
    queue: &mut mpsc::Receiver<Bytes>,
) -> Result<(), Disconnect> {
    let writing = async {
        stream.feed(first).await?;
        while let Ok(frame) = queue.try_recv() {
            stream.feed(frame).await?;
        }
        SinkExt::<Bytes>::flush(stream).await
    };
    match tokio::time::timeout(SILENCE_TIMEOUT, writing).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(Disconnect::Silent),
    }
}
