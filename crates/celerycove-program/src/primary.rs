//! What the primary of a shard does.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use celerycove_types::{Timestamp, id};

use crate::{
    message::{Body, Position, Record},
    op::Op,
    request::{Request, Response},
    shard::{Action, Assignment, Shard, Token},
};

/// How often a primary looks for what is overdue.
const HOUSEKEEPING: Duration = Duration::from_secs(1);

/// What a primary knows of another replica.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// The last record that it is known to hold, once it is known to hold a prefix of ours.
    pub(crate) held: Option<Position>,
    /// When it was last sent something.
    asked: Timestamp,
    /// Whether it was asked what it holds and is sent what it lacks when it answers.
    probing: bool,
    learner: bool,
}

/// What only the primary has.
#[derive(Debug)]
pub(crate) struct Leading {
    pub(crate) peers: BTreeMap<id::Process, Peer>,
    waiting: VecDeque<(Position, Token, Response)>,
    reported: bool,
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
            learner,
        };
        let backups = assignment.backups.into_iter().map(|id| (id, peer(false)));
        let learners = assignment.learners.into_iter().map(|id| (id, peer(true)));
        let peers: BTreeMap<id::Process, Peer> = backups.chain(learners).collect();
        for id in peers.keys() {
            self.send(id, Body::Probe);
        }
        self.leading = Some(Leading {
            peers,
            waiting,
            reported: false,
        });
        self.respond_ready();
    }

    pub(crate) fn stop_leading(&mut self) {
        let Some(leading) = self.leading.take() else {
            return;
        };
        for (_, token, _) in leading.waiting {
            self.actions.push(Action::Respond {
                token,
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
        let (op, response) = self.state.judge(request);
        if let Some(op) = op {
            self.release_ended(&op);
            self.commit(vec![op]);
        }
        let position = self.last;
        if let Some(leading) = &mut self.leading {
            leading.waiting.push_back((position, token, response));
        }
        self.respond_ready();
    }

    pub(crate) fn end_orphans(&mut self, process: &id::Process) {
        if self.leading.is_some() {
            let ops = self.state.orphaned(process);
            self.commit(ops);
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

    pub(crate) fn note_held(&mut self, from: &id::Process, position: Position) {
        let known = self.knows(position);
        let last = self.last;
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(peer) = leading.peers.get_mut(from) else {
            return;
        };
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
        let reported = leading.reported;
        let held = leading
            .peers
            .values()
            .filter(|peer| !peer.learner || reported)
            .map(|peer| peer.held.unwrap_or_default())
            .chain([synced])
            .min()
            .unwrap_or_default();
        // A peer that has not answered in this epoch may hold what the primary must replace.
        let settled = leading
            .peers
            .values()
            .all(|peer| peer.learner || peer.held.is_some());
        while settled
            && let Some((position, _, _)) = leading.waiting.front()
            && *position <= held
        {
            if let Some((_, token, response)) = leading.waiting.pop_front() {
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
        let (now, last) = (self.now, self.last);
        let resend = self.options.resend;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let mut silent = Vec::new();
        for (id, peer) in &mut leading.peers {
            if peer.held != Some(last) && now >= peer.asked + resend {
                peer.asked = now;
                peer.probing = true;
                silent.push(id.clone());
            }
        }
        for id in silent {
            self.send(&id, Body::Probe);
        }
    }
}
