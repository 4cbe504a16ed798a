//! Splits a stream of server-sent events into whole events.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

use crate::memory::{Account, Part, Room};

/// Limit on the length of an event; a longer one does not come from a model engine.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event, including the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Event {
    /// The event as received.
    pub(super) bytes: Bytes,
    /// The value of the last `id` field, if it is a number.
    pub(super) id: Option<u64>,
}

impl Event {
    /// Appends the event's data to `text`, with a line feed after each line.
    pub(super) fn append_data(&self, text: &mut BytesMut) {
        let mut lines = 0;
        for value in fields(&self.bytes, b"data") {
            if lines > 0 {
                text.extend_from_slice(b"\n");
            }
            text.extend_from_slice(value);
            lines += 1;
        }
        if lines > 0 {
            text.extend_from_slice(b"\n");
        }
    }
}

/// What a stream may hold without room in the account. Events of a sound engine are much shorter, so
/// that streams with very long ones can't take the memory from others.
const FREE_BYTES: usize = 4 << 10;
/// How much a buffer that grows takes for each byte that it holds, since its capacity is doubled.
const CAPACITY_FACTOR: usize = 2;

/// The room that a growing buffer of a stream takes.
#[derive(Debug)]
pub(super) struct Held(Room);

impl Held {
    pub(super) fn new(account: &Arc<Account>) -> Self {
        Self(account.empty(Part::Events))
    }

    /// Adjusts the room to a buffer of `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if other streams take the memory.
    pub(super) fn adjust(&mut self, length: usize) -> Result<(), NoRoom> {
        let bytes = length.saturating_sub(FREE_BYTES) * CAPACITY_FACTOR;
        if self.0.try_resize(bytes) {
            Ok(())
        } else {
            Err(NoRoom)
        }
    }
}

/// Long events of other streams take the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("there is no memory for a long event")]
pub(super) struct NoRoom;

/// Buffers bytes until they form whole events.
#[derive(Debug)]
pub(super) struct Splitter {
    buffer: BytesMut,
    held: Held,
    /// Bytes at the start of the buffer that are known to hold no end of an event.
    searched: usize,
}

/// An event exceeds [`MAX_EVENT_BYTES`], so the stream does not consist of events.
#[derive(Debug, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub(super) struct TooLong;

impl Splitter {
    pub(super) fn new(account: &Arc<Account>) -> Self {
        Self {
            buffer: BytesMut::new(),
            held: Held::new(account),
            searched: 0,
        }
    }

    /// Appends received bytes. Once the whole events are removed, [`hold_rest`](Self::hold_rest) must
    /// be called.
    ///
    /// # Errors
    ///
    /// Returns an error if the buffered event is too long.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok(())
    }

    /// Whether the buffer holds a whole event.
    pub(super) fn has_event(&mut self) -> bool {
        self.find_end().is_some()
    }

    /// Removes and returns the next whole event.
    pub(super) fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = fields(&bytes, b"id").last();
        let id = id.and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        Some(Event { bytes, id })
    }

    /// Takes room for the unfinished event in the buffer, or returns that of finished ones.
    ///
    /// # Errors
    ///
    /// Returns an error if other streams take the memory.
    pub(super) fn hold_rest(&mut self) -> Result<(), NoRoom> {
        if self.buffer.is_empty() {
            // An empty buffer would keep the memory of the events that were split from it.
            self.buffer = BytesMut::new();
        }
        self.held.adjust(self.buffer.len())
    }

    /// Returns what is left at the end of a stream if that is no part of an event: only whole comment
    /// lines and line breaks may follow the last event. `None` if the stream ended inside an event.
    pub(super) fn into_rest(self) -> Option<Bytes> {
        let is_between_events = self
            .buffer
            .split_inclusive(|byte| *byte == b'\n')
            .all(|line| {
                let content = line.strip_suffix(b"\n");
                let content = content.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
                content.is_some_and(|line| line.is_empty() || line.starts_with(b":"))
            });
        is_between_events.then(|| self.buffer.freeze())
    }

    /// Returns the offset after the empty line that ends the first event; accepts LF and CRLF line
    /// breaks.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let bytes = &self.buffer[from..];
        for (at, byte) in bytes.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let rest = &bytes[at + 1..];
            if rest.starts_with(b"\n") {
                return Some(from + at + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(from + at + 3);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Iterates over the values of a field in an event.
fn fields<'a>(event: &'a [u8], name: &'static [u8]) -> impl Iterator<Item = &'a [u8]> {
    event.split(|byte| *byte == b'\n').filter_map(move |line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}

#[cfg(test)]
#[path = "events_tests.rs"]
mod tests;
