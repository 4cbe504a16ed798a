//! Replication of the log from the leader to its followers.

use celerycove_types::{Timestamp, id};

use crate::{
    core::{Core, Progress},
    log::{Command, Entry, Index, Members, Term},
    message::{Body, Round},
    node::{Action, Answer, Proposed},
    storage::{Ballot, Snapshot},
};

/// How many entries one message carries.
const ENTRIES_PER_MESSAGE: usize = 256;
/// After so many heartbeats entries that were sent from where the logs may agree are sent again.
const PROBE_HEARTBEATS: u32 = 3;
/// How many unanswered rounds a leader remembers.
const REMEMBERED_ROUNDS: usize = 64;

impl Core {
    pub(crate) fn start_leading(&mut self) {
        self.leader = Some(self.me.clone());
        self.confirmed = None;
        self.confirmed_round = 0;
        self.rounds.clear();
        self.progress.clear();
        self.led_since = self.log.last_index() + 1;
        self.heard = Some(self.now);
        // An instance that is caught up by the log alone learns the members from it.
        self.append_commands(vec![Command::Members(self.members.clone())]);
        self.sync_progress();
        self.heartbeat();
    }

    pub(crate) fn stop_leading(&mut self) {
        self.led_since = Index::MAX;
        self.confirmed = None;
        self.outgoing = None;
        self.abandon_waiting();
        self.restart_election_timer();
    }

    pub(crate) fn propose(&mut self, proposed: Vec<Proposed>) {
        let mut commands = Vec::new();
        for Proposed { token, command } in proposed {
            if let Command::Members(members) = &command
                && !self.may_change_members(members)
            {
                let answer = Answer::Refused(
                    "another change of members is under way, or more than one instance would change",
                );
                self.actions.push(Action::Answer { token, answer });
                continue;
            }
            let index = self.log.last_index() + 1 + commands.len() as Index;
            self.waiting.insert(index, token);
            commands.push(command);
        }
        self.append_commands(commands);
        self.sync_progress();
        self.replicate();
        self.advance_commit();
    }

    /// Changes of members go one instance at a time, each committed before the next.
    fn may_change_members(&self, members: &Members) -> bool {
        let settled = self
            .log
            .iter()
            .filter(|entry| entry.index > self.commit)
            .all(|entry| !matches!(entry.command, Command::Members(_)));
        let changed = self.members.symmetric_difference(members).count();
        settled && self.commit >= self.led_since && changed == 1 && !members.is_empty()
    }

    fn append_commands(&mut self, commands: Vec<Command>) {
        let first = self.log.last_index() + 1;
        let term = self.ballot.term;
        let entries: Vec<Entry> = (first..)
            .zip(commands)
            .map(|(index, command)| Entry {
                term,
                index,
                command,
            })
            .collect();
        self.append(&entries);
    }

    /// Follows a change of members: starts on new ones, forgets removed ones.
    fn sync_progress(&mut self) {
        let next = self.log.last_index() + 1;
        let others = self.others();
        self.progress.retain(|peer, _| others.contains(peer));
        for peer in others {
            let sent = self.now;
            self.progress.entry(peer).or_insert(Progress {
                matched: 0,
                voter: false,
                next,
                round: 0,
                sent,
                probing: None,
                installing: None,
                valid_from: 0,
            });
        }
    }

    /// Starts a round: its answers show that the sender still led when it was sent.
    pub(crate) fn heartbeat(&mut self) {
        self.round += 1;
        self.rounds.insert(self.round, self.now);
        if self.rounds.len() > REMEMBERED_ROUNDS {
            self.rounds.pop_first();
        }
        self.heartbeat_due = self.now + self.options.heartbeat;
        self.replicate();
        self.confirm_round();
        self.advance_commit();
    }

    fn replicate(&mut self) {
        for peer in self.others() {
            self.replicate_to(&peer);
        }
    }

    fn replicate_to(&mut self, peer: &id::Process) {
        let Some(progress) = self.progress.get_mut(peer) else {
            return;
        };
        progress.sent = self.now;
        let late = self.options.heartbeat * PROBE_HEARTBEATS;
        let waits = progress
            .probing
            .is_some_and(|probed| self.now < probed + late);
        if progress.probing.is_some() && !waits {
            progress.probing = Some(self.now);
        }
        let probes = progress.probing.is_some();
        let previous = progress.next - 1;
        let body = match self.log.term_at(previous) {
            Some(previous_term) => {
                let limit = if waits { 0 } else { ENTRIES_PER_MESSAGE };
                let entries = self.log.slice(progress.next, limit);
                if !probes {
                    // Sending on before the answer keeps a slow link full; a refusal rewinds.
                    progress.next += entries.len() as Index;
                }
                Body::Append {
                    previous,
                    previous_term,
                    entries,
                    commit: self.commit,
                    round: self.round,
                    confirmed: self.confirmed_round,
                }
            }
            None if waits => self.heartbeat_body(),
            None => {
                progress.probing = Some(self.now);
                let Some(body) = self.install_body(peer) else {
                    return;
                };
                body
            }
        };
        self.send(peer, body);
    }

    /// Tells a follower whose log is being replaced that this instance still leads.
    fn heartbeat_body(&self) -> Body {
        Body::Append {
            previous: self.log.last_index(),
            previous_term: self.log.last_term(),
            entries: Vec::new(),
            commit: self.commit,
            round: self.round,
            confirmed: self.confirmed_round,
        }
    }

    pub(crate) fn take_reply(
        &mut self,
        from: &id::Process,
        matched: Option<Index>,
        last_index: Index,
        (round, voter): (Round, bool),
    ) {
        let next_index = self.log.last_index() + 1;
        let progress = self.progress.get_mut(from);
        let Some(progress) = progress.filter(|peer| round >= peer.valid_from) else {
            return;
        };
        progress.note(round, voter);
        match matched {
            Some(matched) => {
                progress.matched = progress.matched.max(matched);
                // A snapshot is done with once the follower holds more than the log's base.
                if matched >= self.log.base() {
                    progress.installing = None;
                }
                // While probing, answers to empty messages say nothing of what was sent.
                if matched >= progress.next || progress.next == next_index {
                    progress.probing = None;
                }
                progress.next = progress.next.max(matched + 1);
            }
            None if last_index < progress.matched => {
                // It held more before: its disk was lost, and what it acknowledged no longer counts.
                progress.matched = 0;
                progress.installing = None;
                progress.next = last_index + 1;
                progress.probing = None;
                progress.valid_from = self.round + 1;
                self.heartbeat();
                return;
            }
            None => {
                let back = (last_index + 1).max(progress.matched + 1).min(next_index);
                // What was sent ahead is refused as well; the first refusal says where to go on.
                if progress.probing.is_some() && back >= progress.next {
                    self.confirm_round();
                    return;
                }
                progress.next = back.min(progress.next);
                progress.probing = Some(self.now);
                self.confirm_round();
                self.probe(from);
                return;
            }
        }
        let more = progress.next < next_index;
        self.drop_outgoing();
        self.confirm_round();
        self.advance_commit();
        if more {
            self.replicate_to(from);
        }
    }

    /// Sends entries from where the logs may agree.
    fn probe(&mut self, peer: &id::Process) {
        let Some(progress) = self.progress.get_mut(peer) else {
            return;
        };
        progress.probing = None;
        let from = progress.next;
        self.replicate_to(peer);
        if let Some(progress) = self.progress.get_mut(peer) {
            progress.next = from;
            progress.probing = Some(self.now);
        }
    }

    /// Notes the start of the latest round that a quorum has answered.
    pub(crate) fn confirm_round(&mut self) {
        let voters = self.progress.values().filter(|peer| peer.voter);
        let mut rounds: Vec<Round> = voters.map(|peer| peer.round).collect();
        if self.is_member() {
            rounds.push(self.round);
        }
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let answered = rounds.get(self.quorum() - 1).copied().unwrap_or_default();
        self.confirmed_round = self.confirmed_round.max(answered);
        if let Some(started) = self.rounds.get(&answered) {
            self.confirmed = self.confirmed.max(Some(*started));
            self.heard = self.confirmed;
            self.rounds = self.rounds.split_off(&answered);
        }
    }

    /// Commits what a quorum holds, once an entry of the own term is among it.
    fn advance_commit(&mut self) {
        let voters = self.progress.values().filter(|peer| peer.voter);
        let mut matched: Vec<Index> = voters.map(|peer| peer.matched).collect();
        if self.is_member() {
            matched.push(self.log.last_index());
        }
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let index = matched.get(self.quorum() - 1).copied().unwrap_or_default();
        let own_term = self.log.term_at(index) == Some(self.ballot.term);
        if own_term && index > self.commit && self.failed.is_none() {
            self.commit_to(index);
        }
    }

    /// Tells whether no quorum has answered for an election timeout.
    pub(crate) fn has_lost_quorum(&self) -> bool {
        self.heard
            .is_none_or(|heard| self.now >= heard + self.options.election * 2)
    }

    /// Tells whether the members no longer include this instance, and a quorum knows it.
    pub(crate) fn is_removed(&self) -> bool {
        !self.is_member() && self.commit == self.log.last_index()
    }

    pub(crate) fn take_append(
        &mut self,
        from: &id::Process,
        previous: Index,
        previous_term: Term,
        entries: &[Entry],
        commit: Index,
        (round, confirmed): (Round, Round),
    ) {
        self.follow(from);
        self.hear_round(round);
        let agrees =
            previous < self.log.base() || self.log.term_at(previous) == Some(previous_term);
        if !agrees {
            let before = previous.saturating_sub(1).min(self.log.last_index());
            self.reply(from, None, before, round);
            return;
        }
        let fresh = entries.iter().position(|entry| {
            self.log.term_at(entry.index) != Some(entry.term) && entry.index > self.log.base()
        });
        if let Some(fresh) = fresh {
            self.append(&entries[fresh..]);
        }
        let matched = previous + entries.len() as Index;
        self.commit_to(commit.min(matched));
        self.become_voter(commit, confirmed);
        self.reply(from, Some(matched), matched, round);
    }

    pub(crate) fn take_snapshot(
        &mut self,
        from: &id::Process,
        snapshot: Snapshot,
        (round, confirmed): (Round, Round),
    ) {
        let index = snapshot.index;
        self.install(snapshot);
        self.become_voter(index, confirmed);
        let matched = self.commit.max(index);
        self.reply(from, Some(matched), matched, round);
    }

    pub(crate) fn follow(&mut self, leader: &id::Process) {
        self.leader = Some(leader.clone());
        self.heard = Some(self.now);
        self.restart_election_timer();
    }

    /// Notes the first round heard of the leader of a term.
    pub(crate) fn hear_round(&mut self, round: Round) {
        let term = self.ballot.term;
        if self.first_heard.is_none_or(|(of, _)| of != term) {
            self.first_heard = Some((term, round));
        }
    }

    /// An instance that began with an empty disk may vote again once it holds all that its leader
    /// knows to be committed, and a quorum of voters has answered a round that began after it was heard
    /// here: a leader that was replaced with this instance's forgotten vote has no such quorum. It never
    /// votes again in the leader's own term.
    fn become_voter(&mut self, leader_commit: Index, confirmed: Round) {
        if self.ballot.voter || self.commit < leader_commit || !self.is_member() {
            return;
        }
        let first = self
            .first_heard
            .filter(|(term, _)| *term == self.ballot.term);
        if first.is_none_or(|(_, first)| confirmed < first) {
            return;
        }
        let ballot = Ballot {
            term: self.ballot.term,
            vote: self.leader.clone(),
            voter: true,
        };
        self.save_ballot(ballot);
    }

    pub(crate) fn reply(
        &mut self,
        to: &id::Process,
        matched: Option<Index>,
        last_index: Index,
        round: Round,
    ) {
        self.send(
            to,
            Body::AppendReply {
                matched,
                last_index,
                round,
                voter: self.ballot.voter,
            },
        );
    }

    /// The age of the statement that this instance leads and its state is the newest.
    pub(crate) fn freshness(&self) -> Option<Timestamp> {
        let caught_up = self.commit >= self.led_since && self.applied == self.commit;
        let confirmed = self.confirmed.filter(|_| caught_up)?;
        self.now.checked_sub(confirmed)
    }
}
