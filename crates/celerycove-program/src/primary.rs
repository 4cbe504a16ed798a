//! What the primary of a shard does.

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

/// How often a primary looks for what is overdue.
const HOUSEKEEPING: Duration = Duration::from_secs(1);

/// The round that begins with an epoch.
const FIRST_ROUND: Round = 1;
/// How many responses wait before more requests are turned away.
const MOST_WAITING: usize = 8192;

/// What a primary knows of another replica.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// The last record that it is known to hold, once it is known to hold a prefix of ours.
    pub(crate) held: Option<Position>,
    /// When it was last sent something.
    asked: Timestamp,
    /// Whether it was asked what it holds and is sent what it lacks when it answers.
    probing: bool,
    /// The latest round that it has answered.
    round: Round,
    learner: bool,
}

/// A response that waits until the replicas hold a record and have answered a round.
#[derive(Debug)]
struct Waiting {
    position: Position,
    round: Round,
    token: Token,
    response: Response,
}

/// What only the primary has.
#[derive(Debug)]
pub(crate) struct Leading {
    pub(crate) peers: BTreeMap<id::Process, Peer>,
    waiting: VecDeque<Waiting>,
    /// The latest round asked, and the latest that a response waits for.
    round: Round,
    wanted: Round,
    reported: bool,
}

impl Leading {
    /// The replicas without whose answer nothing is acknowledged.
    fn required(&self) -> impl Iterator<Item = &Peer> {
        let reported = self.reported;
        self.peers
            .values()
            .filter(move |peer| !peer.learner || reported)
    }
}

impl Shard {
    pub(crate) fn lead(&mut self, assignment: Assignment) {
        // Requests of the epoch before go on waiting: their records are replicated again.
        let waiting = self
            .leading
            .take()
            .map(|leading| leading.waiting)
            .unwrap_or_default();
        self.following = None;
        let now = self.now;
        let peer = |learner| Peer {
            held: None,
            asked: now,
            probing: true,
            round: 0,
            learner,
        };
        let backups = assignment.backups.into_iter().map(|id| (id, peer(false)));
        let learners = assignment.learners.into_iter().map(|id| (id, peer(true)));
        let peers: BTreeMap<id::Process, Peer> = backups.chain(learners).collect();
        for id in peers.keys() {
            self.send(id, Body::Probe(FIRST_ROUND));
        }
        self.leading = Some(Leading {
            peers,
            // The rounds of the epoch before count no more.
            waiting: waiting
                .into_iter()
                .map(|waiting: Waiting| Waiting {
                    round: waiting.round.min(FIRST_ROUND),
                    ..waiting
                })
                .collect(),
            round: FIRST_ROUND,
            wanted: FIRST_ROUND,
            reported: false,
        });
        self.respond_ready();
    }

    pub(crate) fn stop_leading(&mut self) {
        let Some(leading) = self.leading.take() else {
            return;
        };
        for waiting in leading.waiting {
            self.actions.push(Action::Respond {
                token: waiting.token,
                response: Response::NotPrimary,
            });
        }
    }

    pub(crate) fn request(&mut self, token: Token, request: &Request) {
        if self.leading.is_none() {
            let response = Response::NotPrimary;
            self.actions.push(Action::Respond { token, response });
            return;
        }
        if self
            .leading
            .as_ref()
            .is_some_and(|l| l.waiting.len() >= MOST_WAITING)
        {
            let response = Response::NotPrimary;
            self.actions.push(Action::Respond { token, response });
            return;
        }
        let (op, response) = self.state.judge(request);
        // A step is confirmed by its record, anything else by a round that begins now or later.
        let mut round = 0;
        match op {
            Some(op) => {
                self.release_ended(&op);
                self.commit(vec![op]);
            }
            None => round = self.next_round(),
        }
        let position = self.last;
        if let Some(leading) = &mut self.leading {
            leading.waiting.push_back(Waiting {
                position,
                round,
                token,
                response,
            });
        }
        self.respond_ready();
    }

    /// Gives the first round that begins from now on; one round at a time is under way.
    fn next_round(&mut self) -> Round {
        let Some(leading) = &mut self.leading else {
            return 0;
        };
        leading.wanted = leading.round + 1;
        let wanted = leading.wanted;
        self.begin_round();
        wanted
    }

    /// Begins the round that is waited for, once all have answered the one before.
    fn begin_round(&mut self) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let answered = leading.required().all(|peer| peer.round >= leading.round);
        if leading.wanted <= leading.round || !answered {
            return;
        }
        leading.round = leading.wanted;
        let round = leading.round;
        let peers: Vec<id::Process> = leading.peers.keys().cloned().collect();
        for peer in peers {
            self.send(&peer, Body::Probe(round));
        }
    }

    pub(crate) fn end_lost(&mut self, is_lost: impl Fn(&id::Request, &id::Process) -> bool) {
        if self.leading.is_some() {
            let ops = self
                .state
                .unresolved(|call| is_lost(call.request, call.dispatcher));
            self.commit(ops);
        }
    }

    /// Asks about calls that have been under way for long: their question may have come so late
    /// that nobody waits for the leave given.
    fn confirm(&mut self) {
        let since = self.state.at.saturating_sub(self.options.confirm);
        for (dispatcher, requests) in self.state.under_way(since) {
            self.actions.push(Action::Confirm {
                dispatcher,
                requests,
            });
        }
    }

    fn release_ended(&mut self, op: &Op) {
        let Op::End { program } = op else {
            return;
        };
        let Some(found) = self.state.programs.get(program) else {
            return;
        };
        let backends: BTreeSet<id::Backend> = found
            .chains
            .values()
            .flat_map(|chain| chain.calls.iter().map(|c| c.answer.backend.clone()))
            .collect();
        self.actions.push(Action::Release {
            program: program.clone(),
            backends: backends.into_iter().collect(),
        });
    }

    /// Applies steps, then sends them to the disk and the other replicas.
    fn commit(&mut self, ops: Vec<Op>) {
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
            self.remember(record.clone());
            records.push(record);
        }
        self.persist(records.clone());
        let Some(leading) = &mut self.leading else {
            return;
        };
        let mut ready = Vec::new();
        for (id, peer) in &mut leading.peers {
            if peer.held.is_some() {
                peer.asked = self.now;
                ready.push(id.clone());
            }
        }
        for id in ready {
            let records = records.clone();
            self.send(&id, Body::Append { previous, records });
        }
    }

    pub(crate) fn note_held(&mut self, from: &id::Process, position: Position, round: Round) {
        let known = self.knows(position);
        let last = self.last;
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(peer) = leading.peers.get_mut(from) else {
            return;
        };
        peer.round = peer.round.max(round);
        if known {
            peer.held = peer.held.max(Some(position));
        }
        // An answer to an older append is no reason to send again what is on its way.
        if peer.probing {
            peer.probing = false;
            peer.asked = now;
            if position != last {
                self.catch_up(from, position);
            }
        }
        self.report_learned();
        self.begin_round();
        self.respond_ready();
    }

    /// Sends a replica what it lacks: the records after `held` if they are still known here and
    /// follow from it, otherwise everything.
    fn catch_up(&mut self, to: &id::Process, held: Position) {
        if !self.knows(held) {
            let image = Box::new(self.image());
            self.send(to, Body::Install(image));
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

    /// Tells whether a record is part of this replica's log, as far as it is remembered.
    fn knows(&self, position: Position) -> bool {
        position == self.recent_base || self.recent.iter().any(|r| r.position == position)
    }

    /// Tells control once all learners hold everything; from then on they must acknowledge too.
    fn report_learned(&mut self) {
        let last = self.last;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let mut learners = leading.peers.values().filter(|peer| peer.learner);
        let any = learners.clone().next().is_some();
        if any && !leading.reported && learners.all(|peer| peer.held == Some(last)) {
            leading.reported = true;
            self.actions.push(Action::Learned(self.epoch));
        }
    }

    pub(crate) fn note_synced(&mut self, position: Position) {
        // The disk may report records that an image has replaced since.
        if self.knows(position) {
            self.synced = self.synced.max(position);
        }
        self.tell_held();
        self.respond_ready();
    }

    /// Answers the requests whose records all replicas that count hold.
    fn respond_ready(&mut self) {
        let synced = self.synced;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let held = leading
            .required()
            .map(|peer| peer.held.unwrap_or_default())
            .chain([synced])
            .min()
            .unwrap_or_default();
        let round = leading
            .required()
            .map(|peer| peer.round)
            .min()
            .unwrap_or(Round::MAX);
        // A peer that has not answered in this epoch may hold what the primary must replace.
        let settled = leading
            .peers
            .values()
            .all(|peer| peer.learner || peer.held.is_some());
        while settled
            && let Some(first) = leading.waiting.front()
            && first.position <= held
            && first.round <= round
        {
            if let Some(Waiting {
                token, response, ..
            }) = leading.waiting.pop_front()
            {
                self.actions.push(Action::Respond { token, response });
            }
        }
    }

    pub(crate) fn tick(&mut self) {
        if self.leading.is_none() {
            return;
        }
        if self.now >= self.housekeeping_due {
            self.housekeeping_due = self.now + HOUSEKEEPING;
            let ops = self.state.overdue(self.options.retention);
            self.commit(ops);
        }
        if self.now >= self.confirm_due {
            self.confirm_due = self.now + self.options.confirm;
            self.confirm();
        }
        let (now, last) = (self.now, self.last);
        let resend = self.options.resend;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let mut silent = Vec::new();
        for (id, peer) in &mut leading.peers {
            let behind = peer.held != Some(last) || peer.round < leading.round;
            if behind && now >= peer.asked + resend {
                peer.asked = now;
                peer.probing = true;
                silent.push(id.clone());
            }
        }
        let round = leading.round;
        for id in silent {
            self.send(&id, Body::Probe(round));
        }
    }
}
