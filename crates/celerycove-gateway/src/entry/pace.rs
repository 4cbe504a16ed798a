//! How fast a backend server sends the events of a stream.

use std::time::Duration;

use celerycove_types::Timestamp;

/// Gap from which a caller that reads slowly holds up the stream, so that its times say little about
/// the engine.
const MAX_HOLD_UP: Duration = Duration::from_millis(5);

/// When the events of one backend server's stream arrived.
pub(super) struct Pace {
    sent_at: Timestamp,
    first_and_last: Option<(Timestamp, Timestamp)>,
    /// Whether the times say little about the engine: it resumed the stream of another one, or the
    /// caller held up the stream.
    is_unsuited: bool,
}

impl Pace {
    pub(super) fn new(sent_at: Timestamp, is_resumed: bool) -> Self {
        Self {
            sent_at,
            first_and_last: None,
            is_unsuited: is_resumed,
        }
    }

    pub(super) fn record_events(&mut self, received_at: Timestamp, forwarded_at: Timestamp) {
        let (first, _) = self.first_and_last.unwrap_or((received_at, received_at));
        self.first_and_last = Some((first, received_at));
        self.is_unsuited |= forwarded_at.saturating_sub(received_at) >= MAX_HOLD_UP;
    }

    /// Returns the times from sending the request to the first and to the last event, if they are
    /// suited.
    pub(super) fn times(&self) -> Option<(Duration, Duration)> {
        let (first, last) = self.first_and_last.filter(|_| !self.is_unsuited)?;
        let since_sent = |at: Timestamp| at.saturating_sub(self.sent_at);
        Some((since_sent(first), since_sent(last)))
    }
}
