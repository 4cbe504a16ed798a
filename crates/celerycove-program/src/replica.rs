//! Message handling on backups and learners.

use celerycove_types::id;

use crate::{
    message::{Body, Position, Record, Round, Snapshot},
    shard::{Action, Shard},
};

/// Number of records kept in memory to bring a lagging replica up to date without a snapshot.
const MAX_RECENT_RECORDS: usize = 512;

impl Shard {
    pub(crate) fn handle_probe(&mut self, from: &id::Process, round: Round) {
        if self.leadership.is_some() {
            return;
        }
        self.primary = Some(from.clone());
        self.latest_round = self.latest_round.max(round);
        self.acknowledge();
    }

    pub(crate) fn handle_append(
        &mut self,
        from: &id::Process,
        previous: Position,
        records: Vec<Record>,
    ) {
        if self.leadership.is_some() {
            return;
        }
        self.primary = Some(from.clone());
        let new_records: Vec<Record> = if previous == self.last {
            records
        } else {
            // The records were sent again and may overlap with those already held.
            let overlap_end = records.iter().position(|r| r.position == self.last);
            match overlap_end {
                Some(index) => records[index + 1..].to_vec(),
                None => Vec::new(),
            }
        };
        if new_records.is_empty() {
            self.acknowledge();
            return;
        }
        self.adopted_epoch = self.epoch;
        for record in &new_records {
            self.state.apply(record.at, &record.op);
            self.push_recent(record.clone());
        }
        self.persist(new_records);
        self.acknowledge();
    }

    pub(crate) fn handle_install(&mut self, from: &id::Process, snapshot: Snapshot) {
        if self.leadership.is_some() {
            return;
        }
        self.primary = Some(from.clone());
        if self.adopted_epoch == self.epoch && snapshot.last < self.last {
            // A delayed snapshot, older than the records of this epoch that are already held.
            self.acknowledge();
            return;
        }
        self.adopted_epoch = self.epoch;
        self.last = snapshot.last;
        self.state = snapshot.state.clone();
        self.recent.clear();
        self.recent_base = snapshot.last;
        if self.options.durable {
            self.synced = Position::default();
            self.actions.push(Action::Replace(Box::new(snapshot)));
        } else {
            self.synced = snapshot.last;
        }
        self.acknowledge();
    }

    /// Reports the last position held to the primary, once everything held is durable.
    pub(crate) fn acknowledge(&mut self) {
        if self.synced != self.last {
            return;
        }
        if let Some(primary) = self.primary.clone() {
            let (last, round) = (self.last, self.latest_round);
            self.send(&primary, Body::Held { last, round });
        }
    }

    /// Appends a record to the recent records and drops the oldest one beyond the limit.
    pub(crate) fn push_recent(&mut self, record: Record) {
        self.last = record.position;
        self.recent.push_back(record);
        if self.recent.len() > MAX_RECENT_RECORDS
            && let Some(oldest) = self.recent.pop_front()
        {
            self.recent_base = oldest.position;
        }
    }

    /// Requests a sync of records that were just applied.
    pub(crate) fn persist(&mut self, records: Vec<Record>) {
        if self.options.durable {
            self.actions.push(Action::Persist(records));
        } else {
            self.synced = self.last;
        }
    }
}
