//! Backend servers that have said in their responses that they leave.

use std::time::Duration;

use celerycove_types::{Map, Timestamp, id};

/// How long it is remembered that a backend server leaves: longer than a late heartbeat or an old state
/// of the fleet can register it again.
const RETENTION: Duration = Duration::from_hours(1);

/// The incarnations of backend servers that leave, and when each was noted last. They don't come back:
/// a backend server that starts again has another incarnation.
#[derive(Debug, Clone, Default)]
pub(super) struct Departures(Map<(id::Backend, id::Incarnation), Timestamp>);

impl Departures {
    /// Returns whether it was not noted before.
    pub(super) fn insert(
        &mut self,
        now: Timestamp,
        backend: id::Backend,
        incarnation: id::Incarnation,
    ) -> bool {
        let is_new = self.0.insert((backend, incarnation), now).is_none();
        if is_new {
            self.0
                .retain(|_, noted_at| now.saturating_sub(*noted_at) < RETENTION);
        }
        is_new
    }

    pub(super) fn contains(&self, server: &(id::Backend, id::Incarnation)) -> bool {
        self.0.contains_key(server)
    }
}
