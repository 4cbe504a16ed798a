//! The data of an event stream that waits for its caller, bounded in bytes.

use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering::{AcqRel, Acquire},
    },
};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::{Notify, mpsc};

use crate::{
    http::{Body, BoxError},
    memory::{Account, Part, Room},
};

/// The most chunks that wait for a slow caller.
const MAX_CHUNKS: usize = 32;
/// The most bytes that wait for a slow caller: many events.
const MAX_STREAM_BYTES: usize = 256 << 10;

type Chunk = Result<Frame<Bytes>, BoxError>;

/// The caller has closed the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Closed;

/// Sends the data of one stream to its caller.
pub(super) struct Sender {
    chunks: mpsc::Sender<Chunk>,
    queued: Arc<Queued>,
    account: Arc<Account>,
}

/// What the caller has not received yet.
#[derive(Debug, Default)]
struct Queued {
    bytes: AtomicUsize,
    /// Notified when the caller has received a chunk.
    received: Notify,
}

/// A chunk that counts as queued until it is dropped, after it was written to the caller.
struct Counted {
    bytes: Bytes,
    queued: Arc<Queued>,
    _room: Room,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.queued.bytes.fetch_sub(self.bytes.len(), AcqRel);
        self.queued.received.notify_one();
    }
}

/// Creates a stream's sender and the body that its caller reads.
pub(super) fn new(account: Arc<Account>) -> (Sender, Body) {
    let (chunks, receiver) = mpsc::channel::<Chunk>(MAX_CHUNKS);
    let body = stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|chunk| (chunk, receiver))
    });
    let sender = Sender {
        chunks,
        queued: Arc::default(),
        account,
    };
    (sender, StreamBody::new(body).boxed_unsync())
}

impl Sender {
    /// Waits until the caller closes the connection.
    pub(super) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Sends data as soon as there is room for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has closed the connection.
    pub(super) async fn send(&self, bytes: Bytes) -> Result<(), Closed> {
        let room = self.reserve(bytes.len()).await;
        self.queued.bytes.fetch_add(bytes.len(), AcqRel);
        let counted = Counted {
            bytes,
            queued: self.queued.clone(),
            _room: room,
        };
        let frame = Frame::data(Bytes::from_owner(counted));
        self.chunks.send(Ok(frame)).await.map_err(|_| Closed)
    }

    /// Ends the stream with an error.
    pub(super) async fn fail(&self, error: BoxError) {
        // The caller may have closed the connection.
        let _ = self.chunks.send(Err(error)).await;
    }

    /// Waits until this stream may hold `length` bytes more. A caller that has received everything
    /// waits for no other: slow callers may hold all the room, but none delays one that reads.
    async fn reserve(&self, length: usize) -> Room {
        loop {
            let queued = self.queued.bytes.load(Acquire);
            if queued == 0 {
                return self.account.reserve_over_limit(Part::Streams, length);
            }
            if queued + length <= MAX_STREAM_BYTES
                && let Some(room) = self.account.try_reserve(Part::Streams, length)
            {
                return room;
            }
            self.queued.received.notified().await;
        }
    }
}

#[cfg(test)]
#[path = "outbox_tests.rs"]
mod tests;
