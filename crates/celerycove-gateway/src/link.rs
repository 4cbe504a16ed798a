//! Connections between processes.
//!
//! A process holds one connection to each process that it speaks to first, opened again whenever it
//! fails. Frames are `MessagePack` with a length before them. Both sides speak at least once every
//! [`PING`]; a connection that is silent for [`SILENCE`] is given up, since a partition or a
//! suspended peer closes nothing.

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
use celerycove_types::{Map, id};
use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

pub use incoming::listen;

use crate::message::{Ask, Frame, Number, Peer, Reply};

/// How often a side that has nothing to say shows that it is there.
pub const PING: Duration = Duration::from_millis(500);
/// A connection that is silent for so long is given up: three pings.
pub const SILENCE: Duration = Duration::from_millis(1_600);
/// How long opening a connection may take: many round trips within a region.
const CONNECT: Duration = Duration::from_millis(400);
/// The pause before a failed connection is opened again.
const PAUSE: Duration = Duration::from_millis(150);
/// Frames that wait to be written to one peer; more are dropped, as on a broken connection.
const QUEUE: usize = 4_096;
/// The longest frame: a snapshot of the stores' log.
const LONGEST_FRAME: usize = 256 << 20;

/// Takes what peers say. Calls must not block.
pub trait Handler: Send + Sync + 'static {
    /// A peer has connected, or a connection to a peer is open; `back` speaks to it.
    fn opened(&self, peer: &id::Process, hello: Option<&Peer>, back: &Sender);

    /// A peer said something.
    fn take(&self, peer: &id::Process, frame: Frame, back: &Sender);

    /// The connection of this number is gone.
    fn closed(&self, peer: &id::Process, hello: Option<&Peer>, connection: u64);
}

/// Speaks to one peer.
#[derive(Debug, Clone)]
pub struct Sender {
    frames: mpsc::Sender<Bytes>,
    /// Tells connections apart.
    pub connection: u64,
}

impl Sender {
    /// Sends a frame, or drops it where too many wait already or the connection is gone: then
    /// whatever it says is told again, or asked again.
    pub fn send(&self, frame: &Frame) {
        if !self.try_send(frame) {
            log::debug!(target: "link", connection = self.connection; "a frame was dropped");
        }
    }

    /// Sends a frame and tells whether it waits to be written.
    fn try_send(&self, frame: &Frame) -> bool {
        match rmp_serde::to_vec(frame) {
            Ok(bytes) => self.frames.try_send(bytes.into()).is_ok(),
            Err(error) => {
                log::error!(target: "link", error:% = error; "could not encode a frame");
                false
            }
        }
    }

    /// Whether the connection is gone.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

/// The connection failed before an answer came; what was asked may have been done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the connection was lost before an answer came")]
pub struct Lost;

#[derive(Default)]
struct Waiting {
    replies: Map<Number, (id::Process, oneshot::Sender<Reply>)>,
}

/// All connections that a process opens.
pub struct Links {
    me: Peer,
    handler: std::sync::OnceLock<Arc<dyn Handler>>,
    peers: Mutex<Map<id::Process, Sender>>,
    waiting: Mutex<Waiting>,
    numbers: AtomicU64,
}

/// Names each connection of this process.
static CONNECTIONS: AtomicU64 = AtomicU64::new(1);

impl Links {
    /// Begins without connections.
    #[must_use]
    pub fn new(me: Peer) -> Arc<Self> {
        Arc::new(Self {
            me,
            handler: std::sync::OnceLock::new(),
            peers: Mutex::default(),
            waiting: Mutex::default(),
            numbers: AtomicU64::new(1),
        })
    }

    /// Names whoever takes what peers say; only the first call counts.
    pub fn handle(&self, handler: Arc<dyn Handler>) {
        if self.handler.set(handler).is_err() {
            log::error!(target: "link", "a second handler was ignored");
        }
    }

    /// Opens a connection to a peer and keeps it open, unless there is one.
    pub fn open(self: &Arc<Self>, peer: &id::Process) {
        let mut peers = lock(&self.peers);
        if *peer == self.me.process || peers.contains_key(peer) {
            return;
        }
        let (frames, queue) = mpsc::channel(QUEUE);
        let sender = Sender {
            frames,
            connection: 0,
        };
        peers.insert(peer.clone(), sender);
        tokio::spawn(outgoing::run(self.clone(), peer.clone(), queue));
    }

    /// Sends a frame to a peer, opening a connection if there is none.
    pub fn send(self: &Arc<Self>, peer: &id::Process, frame: &Frame) {
        if let Some(sender) = self.sender(peer) {
            sender.send(frame);
        }
    }

    fn sender(self: &Arc<Self>, peer: &id::Process) -> Option<Sender> {
        self.open(peer);
        lock(&self.peers).get(peer).cloned()
    }

    /// Asks a peer and waits for its answer, not longer than `patience`.
    ///
    /// # Errors
    ///
    /// Returns [`Lost`] if no answer came.
    pub async fn ask(
        self: &Arc<Self>,
        peer: &id::Process,
        ask: Ask,
        patience: Duration,
    ) -> Result<Reply, Lost> {
        let number = self.numbers.fetch_add(1, Relaxed);
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting)
            .replies
            .insert(number, (peer.clone(), sender));
        let sent = self
            .sender(peer)
            .is_some_and(|sender| sender.try_send(&Frame::Ask(number, ask)));
        if !sent {
            lock(&self.waiting).replies.remove(&number);
            return Err(Lost);
        }
        let reply = tokio::time::timeout(patience, receiver).await;
        lock(&self.waiting).replies.remove(&number);
        reply.map_err(|_| Lost)?.map_err(|_| Lost)
    }

    fn deliver(&self, number: Number, reply: Reply) {
        if let Some((_, waiting)) = lock(&self.waiting).replies.remove(&number) {
            // Whoever asked may have left meanwhile.
            let _ = waiting.send(reply);
        }
    }

    /// Gives up all questions to a peer whose connection is gone.
    fn fail(&self, peer: &id::Process) {
        lock(&self.waiting)
            .replies
            .retain(|_, (asked, _)| asked != peer);
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type Wire = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Wire {
    // Only latency suffers where this fails.
    let _ = stream.set_nodelay(true);
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(LONGEST_FRAME);
    Framed::new(stream, codec)
}

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum Ended {
    #[error("the peer closed the connection")]
    Closed,
    #[error("the peer was silent for {SILENCE:?}")]
    Silent,
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    #[error("a frame could not be read: {0}")]
    Frame(#[from] rmp_serde::decode::Error),
    #[error("it was closed here")]
    Local,
}

/// Writes what waits and reads what comes, until the connection ends.
async fn converse(
    wire: &mut Wire,
    queue: &mut mpsc::Receiver<Bytes>,
    mut take: impl FnMut(Frame),
) -> Ended {
    let ping = match rmp_serde::to_vec(&Frame::Ping) {
        Ok(ping) => Bytes::from(ping),
        Err(error) => return std::io::Error::other(error).into(),
    };
    let mut pings = tokio::time::interval(PING);
    let mut heard = crate::clock::now();
    loop {
        let result = tokio::select! {
            frame = wire.next() => match frame {
                Some(Ok(bytes)) => {
                    heard = crate::clock::now();
                    decode(&bytes).map(&mut take)
                }
                Some(Err(error)) => Err(error.into()),
                None => Err(Ended::Closed),
            },
            frame = queue.recv() => match frame {
                Some(first) => write(wire, first, queue).await,
                None => Err(Ended::Local),
            },
            _ = pings.tick() => {
                if crate::clock::now().saturating_sub(heard) > SILENCE {
                    Err(Ended::Silent)
                } else {
                    write(wire, ping.clone(), queue).await
                }
            }
        };
        if let Err(ended) = result {
            return ended;
        }
    }
}

fn decode(bytes: &BytesMut) -> Result<Frame, Ended> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Writes all that waits together; a peer that takes nothing for long counts as silent.
async fn write(
    wire: &mut Wire,
    first: Bytes,
    queue: &mut mpsc::Receiver<Bytes>,
) -> Result<(), Ended> {
    let writing = async {
        wire.feed(first).await?;
        while let Ok(more) = queue.try_recv() {
            wire.feed(more).await?;
        }
        SinkExt::<Bytes>::flush(wire).await
    };
    match tokio::time::timeout(SILENCE, writing).await {
        Ok(written) => Ok(written?),
        Err(_) => Err(Ended::Silent),
    }
}
