//! Splits a stream into whole events.

use bytes::{Bytes, BytesMut};

/// The longest event; a longer one is no event of a model engine.
const LONGEST: usize = 1 << 20;

/// One whole event, with the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Event {
    /// The event as it came.
    pub(super) bytes: Bytes,
    /// Its id.
    pub(super) id: Option<u64>,
}

impl Event {
    /// The event's data, each line of it followed by a line feed.
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

/// Collects bytes until they make whole events.
#[derive(Debug, Default)]
pub(super) struct Splitter {
    buffer: BytesMut,
    /// Up to here the buffer holds no end of an event.
    searched: usize,
}

/// A stream that is not made of events.
#[derive(Debug, thiserror::Error)]
#[error("an event is longer than {LONGEST} bytes")]
pub(super) struct TooLong;

impl Splitter {
    /// Takes bytes in.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > LONGEST {
            return Err(TooLong);
        }
        Ok(())
    }

    /// The next whole event.
    pub(super) fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = fields(&bytes, b"id").last();
        let id = id.and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        Some(Event { bytes, id })
    }

    /// Whether part of an event is left.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Finds the empty line that ends an event, with either kind of line break.
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

/// The values of a field in an event.
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
