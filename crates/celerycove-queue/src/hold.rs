//! Leases on engine memory, which keep a program's cached state between its requests.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::{Timestamp, id};

/// The lease of one program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Hold {
    expires_at: Timestamp,
    running: u32,
}

/// The programs that the engine holds memory for. A hold ends by release or expiry.
#[derive(Debug, Default)]
pub struct Holds {
    by_program: BTreeMap<id::Program, Hold>,
}

impl Holds {
    /// Records that a request of the program has started.
    pub fn start_request(&mut self, program: &id::Program, now: Timestamp) {
        let hold = self.by_program.entry(program.clone()).or_insert(Hold {
            expires_at: now,
            running: 0,
        });
        hold.running += 1;
    }

    /// Records that a request of the program has ended, and extends the hold by `lease` from now.
    pub fn end_request(&mut self, program: &id::Program, now: Timestamp, lease: Duration) {
        if let Some(hold) = self.by_program.get_mut(program) {
            hold.running = hold.running.saturating_sub(1);
            hold.expires_at = hold.expires_at.max(now + lease);
        }
    }

    /// Renews the lease of a program; does nothing for a program without a hold.
    pub fn renew(&mut self, program: &id::Program, now: Timestamp, lease: Duration) {
        if let Some(hold) = self.by_program.get_mut(program) {
            hold.expires_at = hold.expires_at.max(now + lease);
        }
    }

    /// Ends a program's hold and returns whether its memory can be released now.
    ///
    /// While requests of the program run, the hold stays, with its lease expired.
    pub fn release(&mut self, program: &id::Program) -> bool {
        let Some(hold) = self.by_program.get_mut(program) else {
            return false;
        };
        hold.expires_at = Timestamp::ZERO;
        if hold.running > 0 {
            return false;
        }
        self.by_program.remove(program);
        true
    }

    /// Removes and returns the programs whose lease has expired and that have no running request.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<id::Program> {
        let expired: Vec<id::Program> = self
            .by_program
            .iter()
            .filter(|(_, hold)| hold.running == 0 && hold.expires_at <= now)
            .map(|(program, _)| program.clone())
            .collect();
        for program in &expired {
            self.by_program.remove(program);
        }
        expired
    }

    /// Drops the holds of programs without running requests, after the engine has lost its memory.
    pub fn clear(&mut self) {
        self.by_program.retain(|_, hold| hold.running > 0);
    }

    /// Returns the number of programs with a hold.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_program.len()
    }

    /// Returns whether no program has a hold.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_program.is_empty()
    }

    /// Returns the programs whose lease expired before `now` and that have not been removed yet,
    /// for invariant checks.
    pub fn overdue(&self, now: Timestamp) -> impl Iterator<Item = &id::Program> {
        self.by_program
            .iter()
            .filter(move |(_, hold)| hold.running == 0 && hold.expires_at < now)
            .map(|(program, _)| program)
    }
}
