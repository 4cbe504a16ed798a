//! Reading of responses to their end.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::{StatusCode, body::Incoming, header, http::response::Parts};

use crate::memory::{Account, Part, Room};

/// Limit on a response that is buffered completely before it is forwarded.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// Why a response was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BufferError {
    /// It was interrupted, took too long, or exceeds the limit on one response.
    Interrupted,
    /// Other responses take the memory that it needs.
    NoRoom,
}

/// Bytes with the room that they take until the caller has received them.
struct Counted {
    bytes: BytesMut,
    _room: Room,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body to its end.
pub(super) async fn collect(body: Incoming, account: &Arc<Account>) -> Result<Bytes, BufferError> {
    let mut body = Limited::new(body, MAX_BUFFERED_BYTES);
    let mut bytes = BytesMut::new();
    let mut room = account.empty(Part::Responses);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BufferError::Interrupted)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if !room.try_extend(data.len()) {
            return Err(BufferError::NoRoom);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(Counted { bytes, _room: room }))
}

/// Returns whether a response is a stream of events.
pub(super) fn is_event_stream(head: &Parts) -> bool {
    let kind = head.headers.get(header::CONTENT_TYPE);
    let is_events = kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    is_events && head.status.is_success()
}

/// Returns whether a length or chunks mark the end of a response. Others end with their connection.
pub(super) fn is_delimited(head: &Parts) -> bool {
    let has_no_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    has_no_body
        || head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether the connection stays open after a response.
pub(super) fn keeps_alive(head: &Parts) -> bool {
    let mut options = head.headers.get_all(header::CONNECTION).iter();
    let is_closed = options.any(|value| {
        let value = value.to_str().unwrap_or("close");
        value.to_ascii_lowercase().contains("close")
    });
    !is_closed && is_delimited(head)
}
