//! Replication of the log from the leader to its followers.

use celerycove_types::{Timestamp, id};

use crate::{
    log::{Command, Entry, Index, Log, Members, Term},
    message::{Body, Round},
    node::{Action, Answer, NOT_CAUGHT_UP, Options, Proposed},
    raft::{Progress, Raft},
    storage::{Ballot, Snapshot},
};

/// The maximum number of entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;
/// The maximum size of the entries in one message in bytes, unless a single one is larger. At
/// 100 Mbit/s it takes 40 ms, half of a heartbeat interval.
const MAX_MESSAGE_BYTES: u64 = 512 << 10;
/// A follower is sent no further entries while those that it has not acknowledged take up this part
/// of the largest log.
const UNACKNOWLEDGED_DIVISOR: u64 = 8;
/// The number of heartbeat intervals after which a probe that is lost is sent again.
const PROBE_TIMEOUT_HEARTBEATS: u32 = 3;
/// The maximum number of unacknowledged rounds whose start times a leader keeps.
const MAX_PENDING_ROUNDS: usize = 64;
/// An instance that has acknowledged none of this many rounds may have lost its disk, and with it its
/// vote, in the meantime. Replies that take a few heartbeat intervals still count.
const RECENT_ROUNDS: Round = 5;

impl Raft {
    /// Resets the leader's state after an election and commits a first entry of the new term.
    pub(crate) fn start_leading(&mut self) {
        self.leader = Some(self.own_id.clone());
        self.quorum_confirmed_at = None;
        self.confirmed_round = 0;
        self.round_starts.clear();
        self.progress.clear();
        self.learner = None;
        self.own_term_start = self.log.last_index() + 1;
        self.last_contact = Some(self.now);
        // An instance that catches up from the log, without a snapshot, gets the members from this
        // entry.
        self.append_commands(vec![Command::Members(self.members.clone())]);
        self.refresh_progress();
        self.start_heartbeat_round();
    }

    /// Clears the leader's state; the outcome of pending proposals is unknown from now on.
    pub(crate) fn stop_leading(&mut self) {
        self.own_term_start = Index::MAX;
        self.quorum_confirmed_at = None;
        self.outgoing_snapshot = None;
        self.learner = None;
        self.abandon_pending_proposals();
        self.restart_election_timer();
    }

    /// Appends the proposed commands and replicates them, refusing invalid changes of the members.
    ///
    /// Refuses commands, except changes of the members, while the entries that are not committed take
    /// up a quarter of the largest log, so that a leader without a majority keeps no more than that.
    pub(crate) fn propose(&mut self, proposed: Vec<Proposed>) {
        let mut commands = Vec::new();
        let mut uncommitted = self.log.bytes_in(self.commit_index, self.log.last_index());
        for Proposed { token, command } in proposed {
            let is_change_of_members = matches!(command, Command::Members(_));
            if !is_change_of_members && uncommitted >= self.options.max_log_bytes / 4 {
                let answer = Answer::Refused("too many entries are not committed yet");
                self.actions.push(Action::Answer { token, answer });
                continue;
            }
            if let Command::Members(members) = &command
                && let Err(reason) = self.check_member_change(members)
            {
                let answer = Answer::Refused(reason);
                self.actions.push(Action::Answer { token, answer });
                continue;
            }
            let index = self.log.last_index() + 1 + commands.len() as Index;
            self.pending_proposals.insert(index, token);
            uncommitted += command.encoded_bytes();
            commands.push(command);
        }
        self.append_commands(commands);
        self.refresh_progress();
        self.replicate();
        self.advance_commit_index();
    }

    /// Checks that a change adds or removes a single member, that the previous change is committed, and
    /// that an added member can vote at once: until it can, the loss of a disk could leave too few votes.
    fn check_member_change(&self, members: &Members) -> Result<(), &'static str> {
        let no_pending_change = self
            .log
            .iter()
            .filter(|entry| entry.index > self.commit_index)
            .all(|entry| !matches!(entry.command, Command::Members(_)));
        let changed = self.members.symmetric_difference(members).count();
        let is_allowed = no_pending_change
            && self.commit_index >= self.own_term_start
            && changed == 1
            && !members.is_empty();
        if !is_allowed {
            return Err(
                "another change of members is under way, or more than one instance would change",
            );
        }
        let mut added = members.difference(&self.members);
        if added.all(|member| self.has_caught_up(member)) {
            Ok(())
        } else {
            Err(NOT_CAUGHT_UP)
        }
    }

    /// Returns to the committed members if this leader has changed them and the change is not
    /// committed, so that the next election depends on no vote of an added member and a removed one
    /// can vote in it.
    ///
    /// Majorities of the members with and without the changed one overlap, so a log that ends with
    /// the change can't win against this one unnoticed.
    pub(crate) fn revoke_pending_change(&mut self) {
        let committed = self.members_at(self.commit_index);
        let is_own_change = self.commit_index >= self.own_term_start;
        if is_own_change && self.members != committed {
            self.append_commands(vec![Command::Members(committed)]);
        }
    }

    /// Begins to bring an instance that is not a member up to date, in place of an earlier one.
    pub(crate) fn set_learner(&mut self, learner: Option<id::Process>) {
        let learner = learner.filter(|name| !self.members.contains(name) && *name != self.own_id);
        if self.learner == learner {
            return;
        }
        self.learner = learner;
        self.refresh_progress();
        self.release_outgoing_snapshot();
        self.start_heartbeat_round();
    }

    /// Whether an instance may vote, and what it lacks of the log fits into one message.
    pub(crate) fn has_caught_up(&self, process: &id::Process) -> bool {
        let Some(progress) = self.progress.get(process) else {
            return false;
        };
        let missing = self
            .log
            .bytes_in(progress.match_index, self.log.last_index());
        self.is_recent_voter(progress)
            && progress.match_index >= self.log.snapshot_index()
            && missing <= MAX_MESSAGE_BYTES
    }

    /// Whether an instance stated in one of the last rounds that it may vote.
    pub(crate) fn is_recent_voter(&self, peer: &Progress) -> bool {
        peer.voter && peer.acked_round >= self.round.saturating_sub(RECENT_ROUNDS)
    }

    /// Returns the progress of the other members that may vote.
    fn voting_members(&self) -> impl Iterator<Item = &Progress> {
        let peers = self.progress.iter();
        peers
            .filter(|(name, peer)| peer.voter && self.members.contains(*name))
            .map(|(_, peer)| peer)
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

    /// Starts to track the progress of added members and of the learner, and drops that of removed ones.
    fn refresh_progress(&mut self) {
        let next_index = self.log.last_index() + 1;
        let members = &self.members;
        self.learner.take_if(|learner| members.contains(learner));
        let mut peers = self.peers();
        peers.extend(self.learner.clone());
        self.progress.retain(|peer, _| peers.contains(peer));
        for peer in peers {
            let (last_sent_at, replied_at) = (self.now, self.now);
            self.progress.entry(peer).or_insert(Progress {
                match_index: 0,
                voter: false,
                next_index,
                acked_round: 0,
                replied_at,
                last_sent_at,
                probe_sent_at: None,
                probe_round: 0,
                snapshot_position: None,
                // Earlier replies may be from before the instance lost its disk.
                min_valid_round: self.round + 1,
            });
        }
    }

    /// Starts a heartbeat round. Once a quorum has acknowledged it, this instance is known to have
    /// been the leader at the start of the round.
    pub(crate) fn start_heartbeat_round(&mut self) {
        self.round += 1;
        self.round_starts.insert(self.round, self.now);
        if self.round_starts.len() > MAX_PENDING_ROUNDS {
            self.round_starts.pop_first();
        }
        self.next_heartbeat = self.now + self.options.heartbeat_interval;
        self.replicate();
        self.update_confirmed_round();
        self.advance_commit_index();
    }

    fn replicate(&mut self) {
        let peers: Vec<id::Process> = self.progress.keys().cloned().collect();
        for peer in peers {
            self.replicate_to(&peer);
        }
    }

    /// Sends a follower the next entries, a snapshot chunk, or a heartbeat while a probe is
    /// unanswered.
    fn replicate_to(&mut self, peer: &id::Process) {
        self.send_next(peer, false);
    }

    /// Sends like [`replicate_to`](Self::replicate_to); entries that begin a probe are sent however many
    /// are not acknowledged.
    fn send_next(&mut self, peer: &id::Process, begins_probe: bool) {
        let Some(progress) = self.progress.get_mut(peer) else {
            return;
        };
        progress.last_sent_at = self.now;
        let probe_timeout = self.options.heartbeat_interval * PROBE_TIMEOUT_HEARTBEATS;
        // A probe that may still be on its way is not sent again: a link that takes long to transmit
        // it would only take longer.
        let awaits_probe_reply = progress.probe_sent_at.is_some_and(|sent_at| {
            self.now < sent_at + probe_timeout || progress.acked_round <= progress.probe_round
        });
        if progress.probe_sent_at.is_some() && !awaits_probe_reply {
            progress.begin_probe(self.now, self.round);
        }
        let is_probing = progress.probe_sent_at.is_some();
        let previous = progress.next_index - 1;
        let is_window_full =
            !is_probing && !begins_probe && is_window_full(&self.log, progress, &self.options);
        let body = match self.log.term_at(previous) {
            Some(previous_term) => {
                let limit = if awaits_probe_reply || is_window_full {
                    0
                } else {
                    MAX_ENTRIES_PER_MESSAGE
                };
                let entries = self
                    .log
                    .slice(progress.next_index, limit, MAX_MESSAGE_BYTES);
                if !is_probing {
                    // Pipelining keeps a slow link busy; a rejection resets `next_index`.
                    progress.next_index += entries.len() as Index;
                }
                Body::Append {
                    previous,
                    previous_term,
                    entries,
                    commit: self.commit_index,
                    round: self.round,
                    confirmed: self.confirmed_round,
                }
            }
            None if awaits_probe_reply => self.keepalive_append(),
            None => {
                progress.begin_probe(self.now, self.round);
                let Some(body) = self.next_install(peer) else {
                    return;
                };
                body
            }
        };
        self.send(peer, body);
    }

    /// Returns a heartbeat for a follower that is receiving a snapshot.
    fn keepalive_append(&self) -> Body {
        Body::Append {
            previous: self.log.last_index(),
            previous_term: self.log.last_term(),
            entries: Vec::new(),
            commit: self.commit_index,
            round: self.round,
            confirmed: self.confirmed_round,
        }
    }

    /// Updates a follower's progress from its reply and sends what it needs next.
    pub(crate) fn handle_append_reply(
        &mut self,
        from: &id::Process,
        matched: Option<Index>,
        last_index: Index,
        (round, voter): (Round, bool),
    ) {
        let log_end = self.log.last_index() + 1;
        let progress = self.progress.get_mut(from);
        let Some(progress) = progress.filter(|peer| round >= peer.min_valid_round) else {
            return;
        };
        progress.record_reply(self.now, round, voter);
        match matched {
            Some(matched) => {
                progress.match_index = progress.match_index.max(matched);
                // The snapshot transfer is complete once the log's remaining entries can follow.
                if matched >= self.log.snapshot_index() {
                    progress.snapshot_position = None;
                }
                // Replies to heartbeats don't answer a probe.
                if matched >= progress.next_index || progress.next_index == log_end {
                    progress.probe_sent_at = None;
                }
                progress.next_index = progress.next_index.max(matched + 1);
            }
            None if last_index < progress.match_index => {
                // The follower's log got shorter: it lost its disk, so its earlier replies are
                // void.
                progress.match_index = 0;
                progress.snapshot_position = None;
                progress.next_index = last_index + 1;
                progress.probe_sent_at = None;
                progress.min_valid_round = self.round + 1;
                self.start_heartbeat_round();
                return;
            }
            None => {
                let retry_index = (last_index + 1).max(progress.match_index + 1).min(log_end);
                // Pipelined messages are rejected as well; only the first rejection moves
                // `next_index` back.
                if progress.probe_sent_at.is_some() && retry_index >= progress.next_index {
                    self.update_confirmed_round();
                    return;
                }
                progress.next_index = retry_index.min(progress.next_index);
                self.update_confirmed_round();
                self.probe(from);
                return;
            }
        }
        // An answered probe or heartbeat makes way for entries, unless others are on their way still.
        let has_more = progress.next_index < log_end
            && progress.probe_sent_at.is_none()
            && !is_window_full(&self.log, progress, &self.options);
        self.release_outgoing_snapshot();
        self.update_confirmed_round();
        self.advance_commit_index();
        if has_more {
            self.replicate_to(from);
        }
    }

    /// Sends entries from the presumed match point, without advancing `next_index`.
    fn probe(&mut self, peer: &id::Process) {
        let Some(progress) = self.progress.get_mut(peer) else {
            return;
        };
        progress.probe_sent_at = None;
        let probe_index = progress.next_index;
        self.send_next(peer, true);
        if let Some(progress) = self.progress.get_mut(peer) {
            progress.next_index = probe_index;
            progress.begin_probe(self.now, self.round);
        }
    }

    /// Records the latest round that a quorum has acknowledged, and when it started.
    pub(crate) fn update_confirmed_round(&mut self) {
        let mut rounds: Vec<Round> = self.voting_members().map(|peer| peer.acked_round).collect();
        if self.is_member() {
            rounds.push(self.round);
        }
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let acked = rounds.get(self.quorum() - 1).copied().unwrap_or_default();
        self.confirmed_round = self.confirmed_round.max(acked);
        if let Some(started_at) = self.round_starts.get(&acked) {
            self.quorum_confirmed_at = self.quorum_confirmed_at.max(Some(*started_at));
            self.last_contact = self.quorum_confirmed_at;
            self.round_starts = self.round_starts.split_off(&acked);
        }
    }

    /// Commits the entries that a quorum holds, provided that the last of them is of the leader's
    /// own term.
    fn advance_commit_index(&mut self) {
        let voters = self.voting_members();
        let mut match_indexes: Vec<Index> = voters.map(|peer| peer.match_index).collect();
        if self.is_member() {
            match_indexes.push(self.log.last_index());
        }
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let index = match_indexes
            .get(self.quorum() - 1)
            .copied()
            .unwrap_or_default();
        let is_own_term = self.log.term_at(index) == Some(self.ballot.term);
        if is_own_term && index > self.commit_index && self.fatal_error.is_none() {
            self.commit_to(index);
        }
    }

    /// Whether no quorum has acknowledged a round for the longest election timeout.
    pub(crate) fn has_quorum_timed_out(&self) -> bool {
        self.last_contact
            .is_none_or(|at| self.now >= at + self.options.election_timeout * 2)
    }

    /// Whether this instance is no longer a member and the change that removed it is committed.
    pub(crate) fn is_removed(&self) -> bool {
        !self.is_member() && self.commit_index == self.log.last_index()
    }

    /// Appends and commits the leader's entries if the log matches at the position before them.
    pub(crate) fn handle_append(
        &mut self,
        from: &id::Process,
        previous: Index,
        previous_term: Term,
        entries: &[Entry],
        commit: Index,
        (round, confirmed): (Round, Round),
    ) {
        self.follow_leader(from);
        self.record_first_round(round);
        let log_matches = previous < self.log.snapshot_index()
            || self.log.term_at(previous) == Some(previous_term);
        if !log_matches {
            let last_possible_match = previous.saturating_sub(1).min(self.log.last_index());
            self.reply(from, None, last_possible_match, round);
            return;
        }
        let first_new = entries.iter().position(|entry| {
            self.log.term_at(entry.index) != Some(entry.term)
                && entry.index > self.log.snapshot_index()
        });
        if let Some(first_new) = first_new {
            self.append(&entries[first_new..]);
        }
        let matched = previous + entries.len() as Index;
        self.commit_to(commit.min(matched));
        self.try_become_voter(commit, confirmed);
        self.reply(from, Some(matched), matched, round);
    }

    /// Installs a completely received snapshot and acknowledges it. It gives no vote, as it tells
    /// nothing of the entries that were committed since it was taken.
    pub(crate) fn accept_snapshot(&mut self, from: &id::Process, snapshot: Snapshot, round: Round) {
        let index = snapshot.index;
        self.install_snapshot(snapshot);
        let matched = self.commit_index.max(index);
        self.reply(from, Some(matched), matched, round);
    }

    /// Records contact with the leader and postpones the election.
    pub(crate) fn follow_leader(&mut self, leader: &id::Process) {
        self.leader = Some(leader.clone());
        self.last_contact = Some(self.now);
        self.restart_election_timer();
    }

    /// Records the first round received from the leader of the current term.
    pub(crate) fn record_first_round(&mut self, round: Round) {
        let term = self.ballot.term;
        if self
            .first_leader_round
            .is_none_or(|(leader_term, _)| leader_term != term)
        {
            self.first_leader_round = Some((term, round));
        }
    }

    /// Lets an instance that started with an empty disk vote again.
    ///
    /// It must hold everything that the leader knows to be committed, and a quorum of voters must
    /// have acknowledged a round that is newer than the first one received from this leader.
    /// The second condition excludes a deposed leader: before the disk was lost, this instance may
    /// have voted for its successor, and then no quorum acknowledges the old leader's later rounds.
    /// It may have acknowledged the first round itself before the disk was lost.
    /// The vote of the current term is set to the leader, so that the instance can't vote for
    /// another candidate in this term.
    fn try_become_voter(&mut self, leader_commit: Index, confirmed: Round) {
        if self.ballot.voter || self.commit_index < leader_commit {
            return;
        }
        let first_round = self
            .first_leader_round
            .filter(|(term, _)| *term == self.ballot.term);
        if first_round.is_none_or(|(_, first_round)| confirmed <= first_round) {
            return;
        }
        let ballot = Ballot {
            term: self.ballot.term,
            vote: self.leader.clone(),
            voter: true,
        };
        self.save_ballot(ballot);
    }

    /// Sends an [`AppendReply`](Body::AppendReply), which also answers a completed snapshot
    /// transfer.
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

    /// Returns the time since this instance, as a leader that has applied all committed entries,
    /// was last confirmed by a quorum.
    pub(crate) fn staleness(&self) -> Option<Timestamp> {
        let caught_up =
            self.commit_index >= self.own_term_start && self.applied_index == self.commit_index;
        let confirmed_at = self.quorum_confirmed_at.filter(|_| caught_up)?;
        self.now.checked_sub(confirmed_at)
    }
}

/// Whether a follower is sent no further entries until it has acknowledged some.
fn is_window_full(log: &Log, progress: &Progress, options: &Options) -> bool {
    let unacknowledged = log.bytes_in(progress.match_index, progress.next_index - 1);
    unacknowledged >= options.max_log_bytes / UNACKNOWLEDGED_DIVISOR
}
