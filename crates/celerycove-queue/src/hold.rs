//! Leases on engine memory for programs that pause.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::{Timestamp, id};

/// What is held for one program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Hold {
    until: Timestamp,
    running: u32,
}

/// Programs that the engine holds memory for. A hold ends by release or expiry.
#[derive(Debug, Default)]
pub struct Holds {
    holds: BTreeMap<id::Program, Hold>,
}

impl Holds {
    /// A request of the program runs now.
    pub fn begin(&mut self, program: &id::Program, now: Timestamp) {
        let hold = self.holds.entry(program.clone()).or_insert(Hold {
            until: now,
            running: 0,
        });
        hold.running += 1;
    }

    /// A request of the program ended; what it left is held for `lease` unless renewed.
    pub fn end(&mut self, program: &id::Program, now: Timestamp, lease: Duration) {
        if let Some(hold) = self.holds.get_mut(program) {
            hold.running = hold.running.saturating_sub(1);
            hold.until = hold.until.max(now + lease);
        }
    }

    /// Renews the lease of a program that is held; one that is not held stays so.
    pub fn renew(&mut self, program: &id::Program, now: Timestamp, lease: Duration) {
        if let Some(hold) = self.holds.get_mut(program) {
            hold.until = hold.until.max(now + lease);
        }
    }

    /// Ends a program's hold; what still runs is released when it ends.
    pub fn release(&mut self, program: &id::Program) -> bool {
        let Some(hold) = self.holds.get_mut(program) else {
            return false;
        };
        hold.until = Timestamp::ZERO;
        if hold.running > 0 {
            return false;
        }
        self.holds.remove(program);
        true
    }

    /// Gives the programs whose lease has run out, and forgets them.
    pub fn expired(&mut self, now: Timestamp) -> Vec<id::Program> {
        let expired: Vec<id::Program> = self
            .holds
            .iter()
            .filter(|(_, hold)| hold.running == 0 && hold.until <= now)
            .map(|(program, _)| program.clone())
            .collect();
        for program in &expired {
            self.holds.remove(program);
        }
        expired
    }

    /// Forgets everything, because the engine lost it.
    pub fn clear(&mut self) {
        self.holds.retain(|_, hold| hold.running > 0);
    }

    /// How many programs are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holds.len()
    }

    /// Whether none is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }

    /// The programs held whose lease has run out by `now`, for checks.
    pub fn overdue(&self, now: Timestamp) -> impl Iterator<Item = &id::Program> {
        self.holds
            .iter()
            .filter(move |(_, hold)| hold.running == 0 && hold.until < now)
            .map(|(program, _)| program)
    }
}
