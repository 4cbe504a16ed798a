//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

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

/// Buffers bytes until they form whole events.
#[derive(Debug, Default)]
pub(super) struct Splitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that are known to hold no end of an event.
    searched: usize,
}

/// An event exceeds [`MAX_EVENT_BYTES`], so the stream does not consist of events.
#[derive(Debug, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub(super) struct TooLong;

impl Splitter {
    /// Appends received bytes.
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

    /// Removes and returns the next whole event.
    pub(super) fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = fields(&bytes, b"id").last();
        let id = id.and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        Some(Event { bytes, id })
    }

    /// Returns whether no part of an event is left in the buffer.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
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
