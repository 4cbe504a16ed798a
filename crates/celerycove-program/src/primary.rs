//! Request handling and replication on the primary.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use celerycove_types::{Timestamp, id};

use crate::{
    message::{Body, Position, Record, Round},
    op::Op,
    request::{Request, Response},
    shard::{Action, Assignment, Shard, Token},
};

/// Interval at which a primary looks for expired programs, records and calls.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// The round that a primary starts with at the beginning of its epoch.
const FIRST_ROUND: Round = 1;
/// Maximum number of responses that wait for replicas; further requests are rejected.
const MAX_WAITERS: usize = 8192;

/// The progress of another replica, as known to the primary.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// The last record that it has acknowledged; `None` until its log is known to be a prefix of
    /// this replica's log.
    pub(crate) acked: Option<Position>,
    /// When a message was last sent to it.
    last_sent: Timestamp,
    /// Whether a probe is outstanding; its answer leads to the missing records being sent.
    probing: bool,
    /// The latest round that it has answered.
    acked_round: Round,
    learner: bool,
}

/// A response that waits until the replicas hold a record and have answered a round of probes.
#[derive(Debug)]
struct Waiter {
    position: Position,
    round: Round,
    token: Token,
    response: Response,
}

/// State that only the primary has.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) peers: BTreeMap<id::Process, Peer>,
    waiters: VecDeque<Waiter>,
    /// The latest round of probes that was started.
    round: Round,
    /// The latest round that a response waits for: `round` or the one after it.
    requested_round: Round,
    /// Whether [`Action::LearnersCaughtUp`] was emitted in this epoch.
    learners_caught_up: bool,
}

impl Leadership {
    /// Returns the replicas that must confirm a record or round before a response is sent.
    fn required(&self) -> impl Iterator<Item = &Peer> {
        let learners_caught_up = self.learners_caught_up;
        self.peers
            .values()
            .filter(move |peer| !peer.learner || learners_caught_up)
    }
}

impl Shard {
    pub(crate) fn become_primary(&mut self, assignment: Assignment) {
        // Requests of the previous epoch keep waiting: their records are replicated again.
        let waiters = self
            .leadership
            .take()
            .map(|leadership| leadership.waiters)
            .unwrap_or_default();
        self.primary = None;
        let now = self.now;
        let peer = |learner| Peer {
            acked: None,
            last_sent: now,
            probing: true,
            acked_round: 0,
            learner,
        };
        let backups = assignment.backups.into_iter().map(|id| (id, peer(false)));
        let learners = assignment.learners.into_iter().map(|id| (id, peer(true)));
        let peers: BTreeMap<id::Process, Peer> = backups.chain(learners).collect();
        for id in peers.keys() {
            self.send(id, Body::Probe(FIRST_ROUND));
        }
        self.leadership = Some(Leadership {
            peers,
            // Rounds of the previous epoch are void; the first round of this epoch replaces them.
            waiters: waiters
                .into_iter()
                .map(|waiter: Waiter| Waiter {
                    round: waiter.round.min(FIRST_ROUND),
                    ..waiter
                })
                .collect(),
            round: FIRST_ROUND,
            requested_round: FIRST_ROUND,
            learners_caught_up: false,
        });
        self.send_ready_responses();
    }

    pub(crate) fn step_down(&mut self) {
        let Some(leadership) = self.leadership.take() else {
            return;
        };
        for waiter in leadership.waiters {
            self.actions.push(Action::Respond {
                token: waiter.token,
                response: Response::NotPrimary,
            });
        }
    }

    pub(crate) fn handle_request(&mut self, token: Token, request: &Request) {
        if self.leadership.is_none() {
            let response = Response::NotPrimary;
            self.actions.push(Action::Respond { token, response });
            return;
        }
        if self
            .leadership
            .as_ref()
            .is_some_and(|l| l.waiters.len() >= MAX_WAITERS)
        {
            let response = Response::NotPrimary;
            self.actions.push(Action::Respond { token, response });
            return;
        }
        let (op, response) = self.state.decide(request);
        // A response that comes with an operation is confirmed once its record is replicated. Any
        // other response is confirmed by a round of probes that starts after this point: if all
        // replicas answer it, this primary had not been replaced when it read the state.
        let mut round = 0;
        match op {
            Some(op) => {
                self.release_backends(&op);
                self.replicate(vec![op]);
            }
            None => round = self.request_round(),
        }
        let position = self.last;
        if let Some(leadership) = &mut self.leadership {
            leadership.waiters.push_back(Waiter {
                position,
                round,
                token,
                response,
            });
        }
        self.send_ready_responses();
    }

    /// Requests a round of probes that starts after this point and returns its number. Only one
    /// round runs at a time, so requests that arrive meanwhile share the next one.
    fn request_round(&mut self) -> Round {
        let Some(leadership) = &mut self.leadership else {
            return 0;
        };
        leadership.requested_round = leadership.round + 1;
        let requested_round = leadership.requested_round;
        self.start_requested_round();
        requested_round
    }

    /// Starts the requested round once all required replicas have answered the current one.
    fn start_requested_round(&mut self) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let all_answered = leadership
            .required()
            .all(|peer| peer.acked_round >= leadership.round);
        if leadership.requested_round <= leadership.round || !all_answered {
            return;
        }
        leadership.round = leadership.requested_round;
        let round = leadership.round;
        let peers: Vec<id::Process> = leadership.peers.keys().cloned().collect();
        for peer in peers {
            self.send(&peer, Body::Probe(round));
        }
    }

    /// Ends the abandoned calls in flight with an unknown outcome.
    pub(crate) fn end_calls(&mut self, is_abandoned: impl Fn(&id::Request, &id::Process) -> bool) {
        if self.leadership.is_some() {
            let ops = self
                .state
                .ops_ending_as_unknown(|call| is_abandoned(call.request, call.dispatcher));
            self.replicate(ops);
        }
    }

    /// Asks dispatchers about calls that have been in flight for long. The request may have arrived
    /// so late that its sender no longer waited for the grant; such a call is never dispatched or
    /// settled.
    fn confirm_in_flight(&mut self) {
        let before = self.state.at.saturating_sub(self.options.confirm_interval);
        for (dispatcher, requests) in self.state.in_flight_since(before) {
            self.actions.push(Action::ConfirmCalls {
                dispatcher,
                requests,
            });
        }
    }

    /// Releases the backend servers that served calls of a program, if `op` ends it.
    fn release_backends(&mut self, op: &Op) {
        let Op::End { program } = op else {
            return;
        };
        let Some(ended_program) = self.state.programs.get(program) else {
            return;
        };
        let backends: BTreeSet<id::Backend> = ended_program
            .chains
            .values()
            .flat_map(|chain| chain.calls.iter().map(|c| c.answer.backend.clone()))
            .collect();
        self.actions.push(Action::Release {
            program: program.clone(),
            backends: backends.into_iter().collect(),
        });
    }

    /// Applies operations to the local state, then sends their records to disk and replicas.
    fn replicate(&mut self, ops: Vec<Op>) {
        if ops.is_empty() {
            return;
        }
        let previous = self.last;
        let at = self.state.at;
        let mut records = Vec::new();
        for op in ops {
            let position = Position {
                epoch: self.epoch,
                sequence: self.last.sequence + 1,
            };
            self.state.apply(at, &op);
            let record = Record { position, at, op };
            self.push_recent(record.clone());
            records.push(record);
        }
        self.persist(records.clone());
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let mut receivers = Vec::new();
        for (id, peer) in &mut leadership.peers {
            if peer.acked.is_some() {
                peer.last_sent = self.now;
                receivers.push(id.clone());
            }
        }
        for id in receivers {
            let records = records.clone();
            self.send(&id, Body::Append { previous, records });
        }
    }

    pub(crate) fn handle_held(&mut self, from: &id::Process, position: Position, round: Round) {
        let is_in_log = self.has_record(position);
        let last = self.last;
        let now = self.now;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(peer) = leadership.peers.get_mut(from) else {
            return;
        };
        peer.acked_round = peer.acked_round.max(round);
        if is_in_log {
            peer.acked = peer.acked.max(Some(position));
        }
        // Only the answer to a probe triggers a resend: an acknowledgement of an older append may
        // arrive while later records are still in transit.
        if peer.probing {
            peer.probing = false;
            peer.last_sent = now;
            if position != last {
                self.catch_up(from, position);
            }
        }
        self.report_learners_caught_up();
        self.start_requested_round();
        self.send_ready_responses();
    }

    /// Sends a replica what it is missing: the records after `held` if the log kept in memory
    /// contains that position, otherwise a snapshot.
    fn catch_up(&mut self, to: &id::Process, held: Position) {
        if !self.has_record(held) {
            let snapshot = Box::new(self.snapshot());
            self.send(to, Body::Install(snapshot));
            return;
        }
        let records: Vec<Record> = self
            .recent
            .iter()
            .filter(|record| record.position.sequence > held.sequence)
            .cloned()
            .collect();
        self.send(
            to,
            Body::Append {
                previous: held,
                records,
            },
        );
    }

    /// Returns whether a record is in the part of this replica's log that is kept in memory.
    fn has_record(&self, position: Position) -> bool {
        position == self.recent_base || self.recent.iter().any(|r| r.position == position)
    }

    /// Reports to the control plane, once per epoch, that all learners hold all records. From then
    /// on their acknowledgements are required too.
    fn report_learners_caught_up(&mut self) {
        let last = self.last;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let mut learners = leadership.peers.values().filter(|peer| peer.learner);
        let has_learners = learners.clone().next().is_some();
        if has_learners
            && !leadership.learners_caught_up
            && learners.all(|peer| peer.acked == Some(last))
        {
            leadership.learners_caught_up = true;
            self.actions.push(Action::LearnersCaughtUp(self.epoch));
        }
    }

    pub(crate) fn handle_synced(&mut self, position: Position) {
        // The sync may concern records that a snapshot has since replaced.
        if self.has_record(position) {
            self.synced = self.synced.max(position);
        }
        self.acknowledge();
        self.send_ready_responses();
    }

    /// Sends the responses whose record is durable on all required replicas and whose round they
    /// have answered.
    fn send_ready_responses(&mut self) {
        let synced = self.synced;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let held_by_all = leadership
            .required()
            .map(|peer| peer.acked.unwrap_or_default())
            .chain([synced])
            .min()
            .unwrap_or_default();
        let answered_by_all = leadership
            .required()
            .map(|peer| peer.acked_round)
            .min()
            .unwrap_or(Round::MAX);
        // Until a backup has acknowledged a record of this log in this epoch, it may hold diverging
        // records that have to be replaced first.
        let all_backups_match = leadership
            .peers
            .values()
            .all(|peer| peer.learner || peer.acked.is_some());
        while all_backups_match
            && let Some(first) = leadership.waiters.front()
            && first.position <= held_by_all
            && first.round <= answered_by_all
        {
            if let Some(Waiter {
                token, response, ..
            }) = leadership.waiters.pop_front()
            {
                self.actions.push(Action::Respond { token, response });
            }
        }
    }

    pub(crate) fn handle_tick(&mut self) {
        if self.leadership.is_none() {
            return;
        }
        if self.now >= self.housekeeping_due {
            self.housekeeping_due = self.now + HOUSEKEEPING_INTERVAL;
            let ops = self.state.cleanup_ops(self.options.retention);
            self.replicate(ops);
        }
        if self.now >= self.confirm_due {
            self.confirm_due = self.now + self.options.confirm_interval;
            self.confirm_in_flight();
        }
        let (now, last) = (self.now, self.last);
        let resend = self.options.resend_interval;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let mut unresponsive = Vec::new();
        for (id, peer) in &mut leadership.peers {
            let is_behind = peer.acked != Some(last) || peer.acked_round < leadership.round;
            if is_behind && now >= peer.last_sent + resend {
                peer.last_sent = now;
                peer.probing = true;
                unresponsive.push(id.clone());
            }
        }
        let round = leadership.round;
        for id in unresponsive {
            self.send(&id, Body::Probe(round));
        }
    }
}
