//! Rate limiting of calls before they are routed.

use std::time::Duration;

use celerycove_limit::{Request, owner::Entitlement};
use rand::RngExt;

use super::{Event, MIN_RETRY_AFTER, Replay};

impl Replay<'_> {
    /// Receives a program's next call. A call over its organisation's rate limit is refused, and
    /// its caller sends it again after the delay in the refusal.
    pub(super) fn receive_call(&mut self, program: usize) {
        match self.take_rate_token(program) {
            None => self.dispatch_call(program, Vec::new()),
            Some(retry_after) => {
                let sends_flood = self.trace.programs[program].organisation == "org-0";
                self.refused_others += u64::from(!sends_flood);
                // Callers lengthen the delay at random, so that they do not retry all at once.
                let jitter = self.rng.random_range(1.0..2.0);
                self.schedule(
                    retry_after.max(MIN_RETRY_AFTER).mul_f64(jitter),
                    Event::Receive(program),
                );
            }
        }
    }

    /// Takes one token from the bucket of the program's organisation. Returns `None` if it got one,
    /// otherwise the time after which to try again.
    fn take_rate_token(&mut self, program: usize) -> Option<Duration> {
        let organisation = &self.trace.programs[program].organisation;
        let rate_limit = self
            .trace
            .organisations
            .iter()
            .find(|candidate| candidate.id == *organisation)?;
        let entitlement = Entitlement {
            rate: rate_limit.rate,
            burst: rate_limit.burst,
        };
        let spent = std::mem::take(&mut self.spent_leases);
        let request = Request {
            organisation: organisation.as_str().into(),
            want: 1,
            open: Vec::new(),
            closed: spent
                .get(organisation)
                .map(|lease| (*lease, 0))
                .into_iter()
                .collect(),
            reserve: 0,
        };
        self.spent_leases = spent;
        let lease = self.rate_limiter.grant(self.now, &request, entitlement);
        if lease.tokens == 0 {
            return Some(lease.retry);
        }
        self.spent_leases.insert(organisation.clone(), lease.id);
        None
    }
}
