//! Hedged requests: an extra attempt at another backend server for a request that waits for longer than
//! usual. The first response is passed on and the other attempt is cancelled.
//!
//! The decisions are made by [`celerycove_route::hedge`].

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use celerycove_log::limit::Limit;
use celerycove_route::{
    direct::{Outcome, Selection},
    hedge::{Attempt, Charge, Class, Hedges, Size, Work},
};
use celerycove_types::{Timestamp, id};

use super::{
    Entry,
    attempt::{AttemptOutcome, InFlight, InFlightGuard, Reply},
    exchange::{Dispatch, Exchange, MIN_TIME_LEFT},
};
use crate::{clock, link::lock};

/// Lines a second about extra attempts that started, ended or were withheld.
const LINES: u32 = 20;

/// The extra attempts of an entry.
pub(super) struct State {
    pub(super) hedges: Mutex<Hedges>,
    lines: Mutex<Limit>,
}

impl State {
    pub(super) fn new(max_share: Option<f64>) -> Self {
        Self {
            hedges: Mutex::new(Hedges::new(max_share.unwrap_or(0.0))),
            lines: Mutex::new(Limit::new(LINES)),
        }
    }
}

/// The first attempt of a request, as its time and work are recorded.
struct First {
    attempt: Attempt,
    sent_at: Timestamp,
    work: Work,
    was_late: bool,
}

/// The work of an extra attempt, which is recorded when this is dropped.
struct Extra {
    entry: Arc<Entry>,
    charge: Option<Charge>,
    is_prompt: bool,
    sent_at: Option<Timestamp>,
}

impl Drop for Extra {
    fn drop(&mut self) {
        let Some(charge) = self.charge.take() else {
            return;
        };
        let now = clock::now();
        let took = self.sent_at.map(|sent_at| now.saturating_sub(sent_at));
        let took = took.unwrap_or(Duration::ZERO);
        let work = lock(&self.entry.hedging.hedges).finish(now, charge, took);
        self.entry.metrics.record_hedge_work(self.is_prompt, work);
    }
}

impl First {
    /// Records the reply to the first attempt, if it says how long a response takes.
    fn record_reply(&self, entry: &Entry, reply: &Reply) {
        match reply {
            Some((Ok(response), _)) if response.status().is_server_error() => {}
            Some((Err(_), _)) => {}
            Some((Ok(_), _)) | None => self.record_end(entry),
        }
    }

    fn record_end(&self, entry: &Entry) {
        let now = clock::now();
        let took = now.saturating_sub(self.sent_at);
        let mut hedges = lock(&entry.hedging.hedges);
        hedges.record_attempt(now, &self.attempt, took, self.work, self.was_late);
    }
}

impl Dispatch {
    /// Waits for the response to the first attempt, and for that to an extra one if the first takes longer
    /// than usual.
    pub(super) async fn first_answer(
        &mut self,
        mut attempt: InFlight,
        last_event: Option<u64>,
    ) -> AttemptOutcome {
        let Some(mut first) = self.first(&attempt, last_event) else {
            let reply = self.reply(&mut attempt, &[]).await;
            return self.finish(attempt, reply);
        };
        let delay = lock(&self.entry.hedging.hedges).delay(attempt.sent_at, &first.attempt.class);
        let reply = match delay {
            Some(delay) => tokio::time::timeout(delay, &mut attempt.reply).await.ok(),
            None => Some(self.reply(&mut attempt, &[]).await),
        };
        if let Some(reply) = reply {
            first.record_reply(&self.entry, &reply);
            return self.finish(attempt, reply);
        }
        first.was_late = true;
        lock(&self.entry.hedging.hedges).record_late(clock::now(), &first.attempt.class);
        match self.choose_extra(&attempt, &first.attempt) {
            Ok((choice, extra)) => self.race(attempt, first, choice, extra).await,
            Err(reason) => {
                self.log_hedge(reason, &attempt.choice.backend);
                let reply = self.reply(&mut attempt, &[]).await;
                first.record_reply(&self.entry, &reply);
                self.finish(attempt, reply)
            }
        }
    }

    /// Returns what is recorded of the first attempt, if the request may get an extra one.
    fn first(&self, attempt: &InFlight, last_event: Option<u64>) -> Option<First> {
        let is_first = self.sent == 0 && last_event.is_none();
        let may_repeat = self.route.is_repeatable() && !self.route.stores_turns && !self.is_trial;
        let is_call = self.route.kind == celerycove_fleet::config::Kind::Idempotent;
        let has_prompt = !self.call.prompt.is_empty();
        if !is_first
            || !may_repeat
            || (is_call && has_prompt)
            || !lock(&self.entry.hedging.hedges).is_on()
        {
            return None;
        }
        let prompt = self.call.prompt.iter().map(|part| part.tokens).sum();
        Some(First {
            attempt: Attempt {
                class: Class {
                    service: self.service.clone(),
                    route: self.route.name.clone(),
                    size: Size::new(prompt, self.caller_body.len()),
                },
                organisation: self.organisation.clone().unwrap_or_else(|| "".into()),
            },
            sent_at: attempt.sent_at,
            work: self.uncached_tokens(&attempt.choice),
            was_late: false,
        })
    }

    /// Selects the backend server of an extra attempt and charges its work.
    ///
    /// # Errors
    ///
    /// Returns the reason for the log if no extra attempt may start.
    fn choose_extra(
        &mut self,
        first: &InFlight,
        attempt: &Attempt,
    ) -> Result<(Selection, Extra), &'static str> {
        if self.entry.stop.get().is_some() {
            return Err("stopping");
        }
        let now = clock::now();
        let has_time = self.deadline.saturating_sub(now) > MIN_TIME_LEFT;
        if self.sent + 1 >= self.route.max_attempts.max(1) || !has_time {
            return Err("attempts");
        }
        if self.check_quarantine().is_err() || self.is_trial {
            return Err("quarantined");
        }
        if self.entry.rollouts.is_running(&self.service) {
            return Err("rollout");
        }
        self.excluded.push(first.choice.backend.clone());
        let chosen = self.choose_spare(now, attempt);
        self.excluded.pop();
        chosen
    }

    fn choose_spare(
        &mut self,
        now: Timestamp,
        attempt: &Attempt,
    ) -> Result<(Selection, Extra), &'static str> {
        let forecast = self.forecast_backend(now, &self.excluded);
        let (candidate, assessment) = forecast.ok_or("no_server")?;
        let is_usable = |backend: &id::Backend| self.entry.is_warm(now, backend);
        if assessment.is_suspect || !is_usable(&candidate) {
            return Err("no_server");
        }
        let is_short = assessment.is_full || self.entry.intakes.is_limited(&self.service);
        let prompt: id::Tokens = self.call.prompt.iter().map(|part| part.tokens).sum();
        let work = prompt.saturating_sub(assessment.cached_tokens);
        let mut hedges = lock(&self.entry.hedging.hedges);
        let charge = hedges.start(now, &mut self.hedge_permit, attempt, work, is_short);
        drop(hedges);
        let extra = Extra {
            entry: self.entry.clone(),
            charge: Some(charge.map_err(celerycove_route::hedge::Refusal::name)?),
            is_prompt: prompt > 0,
            sent_at: None,
        };
        let choice = self.choose_backend(now).ok_or("no_server")?;
        if choice.backend != candidate || choice.is_full {
            self.record_attempt(&choice, Outcome::Abandoned, "not sent", &"no spare server");
            return Err("no_server");
        }
        Ok((choice, extra))
    }

    /// Sends the extra attempt and returns the outcome of the attempt that is answered first, or of the
    /// other one if that fails.
    async fn race(
        &mut self,
        mut attempt: InFlight,
        first: First,
        choice: Selection,
        mut extra: Extra,
    ) -> AttemptOutcome {
        let guard = InFlightGuard::new(self, &choice);
        let (pool, key) = (
            self.entry.pool.clone(),
            (choice.backend.clone(), choice.incarnation),
        );
        let connection = tokio::select! {
            biased;
            reply = &mut attempt.reply => {
                drop(guard);
                self.log_hedge("unsent", &choice.backend);
                first.record_reply(&self.entry, &reply);
                return self.finish(attempt, reply);
            }
            connection = pool.acquire(key, choice.address) => connection,
        };
        guard.disarm();
        self.log_choice(&choice);
        self.tries += 1;
        let Ok(mut other) = self.send(choice, connection, None) else {
            drop(extra);
            self.log_hedge("unsent", &attempt.choice.backend);
            let reply = self.reply(&mut attempt, &[]).await;
            first.record_reply(&self.entry, &reply);
            return self.finish(attempt, reply);
        };
        extra.sent_at = Some(other.sent_at);
        let tried = [other.choice.backend.clone()];
        let (is_extra, reply) = tokio::select! {
            biased;
            reply = self.reply(&mut attempt, &tried) => (false, reply),
            reply = &mut other.reply => (true, reply),
        };
        let (ended, mut running) = if is_extra {
            (other, attempt)
        } else {
            first.record_reply(&self.entry, &reply);
            (attempt, other)
        };
        let backend = ended.choice.backend.clone();
        let outcome = self.finish(ended, reply);
        if is_answer(&outcome) {
            if is_extra {
                first.record_end(&self.entry);
            }
            self.cancel(running);
            self.log_hedge(if is_extra { "won" } else { "lost" }, &backend);
            return outcome;
        }
        self.log_hedge(if is_extra { "failed" } else { "needed" }, &backend);
        let failed = match outcome {
            AttemptOutcome::Responded(exchange) => Ok((self.guard_error(&exchange), exchange)),
            outcome => Err(outcome),
        };
        let reply = self.reply(&mut running, &[]).await;
        if is_extra {
            first.record_reply(&self.entry, &reply);
        }
        let outcome = self.finish(running, reply);
        match failed {
            Ok((guard, error)) => {
                guard.disarm();
                self.prefer(error, outcome)
            }
            Err(failed) => match outcome {
                // Either backend server may have run the request.
                AttemptOutcome::NotRun => failed,
                outcome => outcome,
            },
        }
    }

    /// Keeps an answer with an error counted as in flight until it is used or dropped.
    fn guard_error(&self, error: &Exchange) -> InFlightGuard {
        InFlightGuard::new(self, &error.choice)
    }

    /// Returns the response to pass on of an error and what came later.
    fn prefer(&mut self, error: Box<Exchange>, outcome: AttemptOutcome) -> AttemptOutcome {
        let (kept, dropped) = match outcome {
            AttemptOutcome::Responded(exchange) if exchange.head.status.is_server_error() => {
                (error, exchange)
            }
            AttemptOutcome::Responded(exchange) => (exchange, error),
            _ => return AttemptOutcome::Responded(error),
        };
        let status = dropped.head.status;
        let label = "answered with an error";
        self.record_attempt(&dropped.choice, Outcome::Erred, label, &status);
        self.excluded.push(dropped.choice.backend.clone());
        AttemptOutcome::Responded(kept)
    }

    /// Cancels an attempt whose request another backend server has answered.
    fn cancel(&mut self, attempt: InFlight) {
        self.log_attempt(&attempt.choice, "cancelled", &"answered elsewhere");
        self.exclude_after_send(attempt.choice.clone());
        drop(attempt);
    }

    fn log_hedge(&self, outcome: &'static str, backend: &id::Backend) {
        self.entry.metrics.record_hedge(outcome);
        if let Some(admitted) = lock(&self.entry.hedging.lines).admit(clock::now()) {
            log::info!(target: "hedge", request:% = self.request, service:% = self.service,
                route:% = self.route.name, organisation:? = self.organisation, backend:% = backend,
                waited_ms = clock::millis(clock::now().saturating_sub(self.started)),
                sent = self.sent, held_back = admitted.held_back; "{outcome}");
        }
    }
}

/// Whether the caller gets this response. A server error is passed on only if the other attempt fails.
fn is_answer(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Responded(exchange) => !exchange.head.status.is_server_error(),
        AttemptOutcome::NotRun | AttemptOutcome::MayHaveRun(_) => false,
    }
}
