//! Decides when a process requests the whole committed state.

use std::time::Duration;

use celerycove_types::Timestamp;

/// How long a process may hold an older state than a control instance has before it requests the
/// whole state. The step that leads on from its own state usually arrives within this time.
const PATIENCE: Duration = Duration::from_millis(150);

/// How long this process has held the same state although control instances have a newer one.
#[derive(Debug, Default)]
pub(super) struct Lag {
    /// The index of the held state, and when its lag was first observed or the newer state was last
    /// requested.
    since: Option<(Option<u64>, Timestamp)>,
}

impl Lag {
    /// Records that a control instance has the state of index `offered` while this process holds the
    /// one of index `known`. Returns whether to request the whole state: at once if this process has
    /// none, after [`PATIENCE`] otherwise, and again whenever that time has passed.
    pub(super) fn observe(&mut self, now: Timestamp, known: Option<u64>, offered: u64) -> bool {
        if offered <= known.unwrap_or_default() {
            return false;
        }
        match self.since {
            Some((index, since)) if index == known => {
                let is_due = now >= since + PATIENCE;
                if is_due {
                    self.since = Some((known, now));
                }
                is_due
            }
            _ => {
                self.since = Some((known, now));
                known.is_none()
            }
        }
    }
}
