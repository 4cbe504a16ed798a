//! The rate at the door of a replay.

use std::time::Duration;

use celerycove_limit::{Request, owner::Entitlement};
use rand::RngExt;

use super::{Event, RETRY_AFTER, Replay};

impl Replay<'_> {
    /// A program's next call comes in; over its organisation's rate it is refused, and its caller
    /// sends it again when it was told to.
    pub(super) fn arrive(&mut self, program: usize) {
        match self.admit(program) {
            None => self.call(program, Vec::new()),
            Some(wait) => {
                let flood = self.trace.programs[program].organisation == "org-0";
                self.refused_others += u64::from(!flood);
                // Callers round up, so that they do not come back together.
                let spread = self.rng.random_range(1.0..2.0);
                self.after(wait.max(RETRY_AFTER).mul_f64(spread), Event::Call(program));
            }
        }
    }

    /// Spends one token of the organisation's rate, or tells when there may be one.
    fn admit(&mut self, program: usize) -> Option<Duration> {
        let organisation = &self.trace.programs[program].organisation;
        let owed = self
            .trace
            .organisations
            .iter()
            .find(|o| o.id == *organisation)?;
        let entitlement = Entitlement {
            rate: owed.rate,
            burst: owed.burst,
        };
        let closed = std::mem::take(&mut self.spent);
        let ask = Request {
            organisation: organisation.as_str().into(),
            want: 1,
            open: Vec::new(),
            closed: closed
                .get(organisation)
                .map(|lease| (*lease, 0))
                .into_iter()
                .collect(),
            reserve: 0,
        };
        self.spent = closed;
        let lease = self.owner.grant(self.now, &ask, entitlement);
        if lease.tokens == 0 {
            return Some(lease.retry);
        }
        self.spent.insert(organisation.clone(), lease.id);
        None
    }
}
