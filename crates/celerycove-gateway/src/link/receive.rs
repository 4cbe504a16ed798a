//! Frames that are received from a peer.

use std::sync::Arc;

use tokio::{
    io::{AsyncReadExt, BufReader},
    net::tcp::OwnedReadHalf,
};

use super::{Contact, Disconnect, MAX_FRAME_BYTES};
use crate::{
    memory::{Account, Grant, Part},
    message::Frame,
};

/// Frames up to this length are read without waiting for room, so that a large frame on one
/// connection delays no heartbeat on another.
const UNRESERVED_BYTES: usize = 16 << 10;
/// How many times its length a frame takes while it is decoded: the bytes and the message.
const DECODING_FACTOR: usize = 2;

/// Reads the frames of one connection.
pub(super) struct Reader {
    stream: BufReader<OwnedReadHalf>,
    account: Arc<Account>,
}

impl Reader {
    pub(super) fn new(stream: OwnedReadHalf, account: Arc<Account>) -> Self {
        Self {
            stream: BufReader::new(stream),
            account,
        }
    }

    /// Passes frames to `on_frame` until the connection fails.
    pub(super) async fn run(
        &mut self,
        contact: &Contact,
        mut on_frame: impl FnMut(Frame),
    ) -> Disconnect {
        loop {
            let frame = async {
                let length = self.length(MAX_FRAME_BYTES).await?;
                contact.suspend();
                let room = self.reserve(length).await;
                contact.record();
                let frame = self.frame(length).await?;
                contact.record();
                Ok((frame, room))
            };
            match frame.await {
                Ok((frame, _room)) => on_frame(frame),
                Err(cause) => return cause,
            }
        }
    }

    /// Reads the first frame of a connection, of at most `max_length` bytes.
    pub(super) async fn first(&mut self, max_length: usize) -> Result<Frame, Disconnect> {
        let length = self.length(max_length).await?;
        self.frame(length).await
    }

    async fn length(&mut self, max_length: usize) -> Result<usize, Disconnect> {
        let length = match self.stream.read_u32().await {
            Ok(length) => length as usize,
            Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => {
                return Err(Disconnect::Closed);
            }
            Err(error) => return Err(error.into()),
        };
        if length > max_length {
            return Err(Disconnect::TooLong(length));
        }
        Ok(length)
    }

    async fn frame(&mut self, length: usize) -> Result<Frame, Disconnect> {
        // The system provides the zeroed pages of a large buffer only as they are written.
        let mut bytes = vec![0; length];
        self.stream.read_exact(&mut bytes).await?;
        Ok(rmp_serde::from_slice(&bytes)?)
    }

    /// Waits for the room that a frame takes. Each frame that has room arrives within the time after
    /// which a peer counts as silent, so the wait ends.
    ///
    /// A frame that exceeds what all connections may hold is read alone, while also as many large
    /// requests of operators wait as make up for it. The members of a replicated log send no such
    /// frame, except those of earlier versions.
    async fn reserve(&self, length: usize) -> Vec<Grant> {
        if length <= UNRESERVED_BYTES {
            return Vec::new();
        }
        let needed = length * DECODING_FACTOR;
        let excess = needed.saturating_sub(self.account.limit(Part::ReceivedFrames));
        let mut room = Vec::new();
        if excess > 0 {
            room.push(self.account.reserve(Part::OperatorBodies, excess).await);
        }
        room.push(self.account.reserve(Part::ReceivedFrames, needed).await);
        room
    }
}
