//! Frames that wait to be written to a peer, bounded in bytes.

use std::sync::{
    Arc, Mutex, OnceLock,
    atomic::{
        AtomicBool, AtomicUsize,
        Ordering::{AcqRel, Acquire, Relaxed, Release},
    },
};

use bytes::Bytes;
use celerycove_log::limit::{Admitted, Limit};
use celerycove_types::id;
use tokio::sync::{Notify, mpsc};

use super::lock;
use crate::{
    clock,
    memory::{Account, Part, Room},
    message::Frame,
};

/// The most frames that wait for one peer.
const MAX_FRAMES: usize = 4_096;
/// The part of all queues' room that the queue of one peer may use.
const PEER_DIVISOR: usize = 2;
/// What may wait for a peer that is not connected: the requests and messages of one attempt to
/// connect, after which they are dropped.
const MAX_UNCONNECTED_BYTES: usize = 64 << 10;
/// A queue up to this size is not held against the room of all queues, so that frames of peers that
/// read are not dropped because other peers don't.
const ALWAYS_ADMITTED_BYTES: usize = 16 << 10;
/// Lines a second about one peer's queue.
const LINES_PER_SECOND: u32 = 1;

/// An encoded frame, to be sent to any number of peers. In the account it counts once, from the
/// first queue that it is in until the last one has written it.
#[derive(Debug, Clone)]
pub struct Encoded {
    bytes: Bytes,
    room: Arc<OnceLock<Room>>,
}

impl Encoded {
    /// Encodes a frame; returns `None`, with a log line, if it can't be encoded.
    #[must_use]
    pub fn new(frame: &Frame) -> Option<Self> {
        super::encode(frame).map(Self::from)
    }

    /// The size of the encoded frame in bytes.
    #[must_use]
    pub fn length(&self) -> usize {
        self.bytes.len()
    }
}

impl From<Bytes> for Encoded {
    fn from(bytes: Bytes) -> Self {
        Self {
            bytes,
            room: Arc::default(),
        }
    }
}

/// What happens when a frame finds no room in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Overflow {
    /// The frame is dropped. On connections that this process opens, all frames are repeated by
    /// their senders (messages of the replicated log, reports, requests for the state) or fail with
    /// [`NoReply`](super::NoReply) (requests); an acknowledgement is waited for briefly only.
    Drop,
    /// The connection is closed. On connections that peers open, they are sent updates. Those of the
    /// state would be repaired when a later one names a newer index, but not a notice that a backend
    /// server leaves; after reconnecting the peer gets the whole registry.
    Close,
}

/// Sends frames to one peer.
#[derive(Debug, Clone)]
pub struct Sender {
    frames: mpsc::Sender<Queued>,
    backlog: Arc<Backlog>,
    /// The number of the connection, unique in this process; 0 if the sender is not bound to one.
    pub connection: u64,
}

/// Creates the queue of a peer that is not connected yet.
pub(super) fn new(
    account: &Arc<Account>,
    peer: &id::Process,
    overflow: Overflow,
    connection: u64,
) -> (Sender, Receiver) {
    let (sender, frames) = mpsc::channel(MAX_FRAMES);
    let backlog = Arc::new(Backlog {
        account: account.clone(),
        peer: peer.clone(),
        overflow,
        bytes: AtomicUsize::new(0),
        connected: AtomicBool::new(false),
        overflowing: AtomicBool::new(false),
        must_close: Notify::new(),
        lines: Mutex::new(Limit::new(LINES_PER_SECOND)),
    });
    let sender = Sender {
        frames: sender,
        backlog: backlog.clone(),
        connection,
    };
    (sender, Receiver { frames, backlog })
}

impl Sender {
    /// Sends a frame. If there is no room for it, it is dropped or the connection is closed, so that
    /// what it carried is repeated.
    pub fn send(&self, frame: &Frame) {
        if let Some(encoded) = Encoded::new(frame) {
            self.send_encoded(&encoded);
        }
    }

    /// Sends an encoded frame like [`send`](Self::send), and returns whether it was queued.
    pub fn send_encoded(&self, frame: &Encoded) -> bool {
        // The frames of a closed connection are lost like those that it had not delivered.
        if self.is_closed() {
            return false;
        }
        let admitted = self.backlog.admit(frame);
        let is_queued = admitted.is_some_and(|queued| self.frames.try_send(queued).is_ok());
        self.backlog.record(is_queued, frame.bytes.len());
        is_queued
    }

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

/// Takes the frames out of a queue.
#[derive(Debug)]
pub(super) struct Receiver {
    frames: mpsc::Receiver<Queued>,
    backlog: Arc<Backlog>,
}

impl Receiver {
    /// Waits for the next frame; returns `None` if no sender is left.
    pub(super) async fn recv(&mut self) -> Option<Queued> {
        self.frames.recv().await
    }

    /// Takes a frame that is queued already.
    pub(super) fn try_recv(&mut self) -> Option<Queued> {
        self.frames.try_recv().ok()
    }

    /// Drops all queued frames.
    pub(super) fn clear(&mut self) {
        while self.frames.try_recv().is_ok() {}
    }

    /// Records whether the peer is connected; see [`MAX_UNCONNECTED_BYTES`].
    pub(super) fn set_connected(&self, connected: bool) {
        self.backlog.connected.store(connected, Relaxed);
    }

    /// Whether no sender is left.
    pub(super) fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    /// The queue's state, to wait for an overflow while frames are taken.
    pub(super) fn backlog(&self) -> Arc<Backlog> {
        self.backlog.clone()
    }
}

/// A queued frame. It counts as queued until it is dropped, after it was written.
#[derive(Debug)]
pub(super) struct Queued {
    frame: Encoded,
    backlog: Arc<Backlog>,
}

impl Queued {
    pub(super) fn bytes(&self) -> &[u8] {
        &self.frame.bytes
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        let length = self.frame.bytes.len();
        self.backlog.bytes.fetch_sub(length, AcqRel);
    }
}

/// What waits for one peer.
#[derive(Debug)]
pub(super) struct Backlog {
    account: Arc<Account>,
    peer: id::Process,
    overflow: Overflow,
    bytes: AtomicUsize,
    connected: AtomicBool,
    /// Whether the last frame found no room.
    overflowing: AtomicBool,
    /// Notified when the connection must be closed.
    must_close: Notify,
    lines: Mutex<Limit>,
}

impl Backlog {
    /// Waits until the connection must be closed because a frame found no room.
    pub(super) async fn overflowed(&self) {
        self.must_close.notified().await;
    }

    fn limit(&self) -> usize {
        if self.connected.load(Relaxed) {
            self.account.limit(Part::SendQueues) / PEER_DIVISOR
        } else {
            MAX_UNCONNECTED_BYTES
        }
    }

    /// Counts a frame as queued if there is room for it. An empty queue has room for a frame of any
    /// size, so that no frame is unsendable.
    fn admit(self: &Arc<Self>, frame: &Encoded) -> Option<Queued> {
        let length = frame.bytes.len();
        let before = self.bytes.fetch_add(length, AcqRel);
        // Counts the frame back if it is not admitted.
        let queued = Queued {
            frame: frame.clone(),
            backlog: self.clone(),
        };
        let has_room = before == 0 || before + length <= self.limit();
        let is_admitted = has_room && (frame.room.get().is_some() || self.reserve(frame, before));
        is_admitted.then_some(queued)
    }

    /// Reserves room for a frame in all queues together. While less than half is in use, a frame of
    /// any size is admitted: the largest hold one configuration, and the room of the operator's
    /// request counts for that.
    fn reserve(&self, frame: &Encoded, before: usize) -> bool {
        let length = frame.bytes.len();
        let part = Part::SendQueues;
        let is_half_free = self.account.used(part) <= self.account.limit(part) / 2;
        let room = if is_half_free || before + length <= ALWAYS_ADMITTED_BYTES {
            self.account.reserve_over_limit(part, length)
        } else if let Some(room) = self.account.try_reserve(part, length) {
            room
        } else {
            return false;
        };
        // Another thread may have reserved room for the same frame just now.
        let _ = frame.room.set(room);
        true
    }

    /// Logs the start of an overflow, and requests that the connection is closed where frames must
    /// not be dropped.
    fn record(&self, is_queued: bool, length: usize) {
        if is_queued {
            if self.overflowing.load(Relaxed) {
                self.overflowing.store(false, Release);
            }
            return;
        }
        if self.overflow == Overflow::Close {
            self.must_close.notify_one();
        }
        if self.overflowing.swap(true, Acquire) {
            return;
        }
        let Some(Admitted { held_back }) = lock(&self.lines).admit(clock::now()) else {
            return;
        };
        let part = Part::SendQueues;
        log::warn!(target: "link", peer:% = self.peer, frame = length, queued = self.bytes.load(Relaxed),
            limit = self.limit(), queued_for_all = self.account.used(part),
            limit_for_all = self.account.limit(part), action:? = self.overflow,
            connected = self.connected.load(Relaxed), held_back;
            "no room in the send queue of a peer");
    }
}
