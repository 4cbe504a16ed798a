//! Leader election: pre-votes, votes and the rules for granting them.

use celerycove_types::id;

use crate::{
    log::{Index, Term},
    message::{Body, Message},
    raft::Raft,
    storage::Ballot,
};

impl Raft {
    /// Adopts a later term and clears the vote of the earlier one.
    pub(crate) fn adopt_term(&mut self, term: Term) {
        let ballot = Ballot {
            term,
            vote: None,
            voter: self.ballot.voter,
        };
        self.save_ballot(ballot);
        self.leader = None;
    }

    /// Asks the other members for pre-votes, if this instance may vote.
    pub(crate) fn start_pre_vote(&mut self) {
        self.restart_election_timer();
        self.leader = None;
        self.votes.clear();
        if !self.is_member() || !self.ballot.voter {
            return;
        }
        self.votes.insert(self.own_id.clone());
        let request = Message {
            term: self.ballot.term + 1,
            body: Body::PreVote {
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
            },
        };
        for peer in self.peers() {
            self.send_message(&peer, request.clone());
        }
    }

    /// Starts the next term, votes for itself and asks the other members for their votes.
    pub(crate) fn start_election(&mut self) {
        let ballot = Ballot {
            term: self.ballot.term + 1,
            vote: Some(self.own_id.clone()),
            voter: true,
        };
        self.save_ballot(ballot);
        self.restart_election_timer();
        self.votes.clear();
        self.votes.insert(self.own_id.clone());
        let request = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for peer in self.peers() {
            self.send(&peer, request.clone());
        }
    }

    pub(crate) fn has_vote_quorum(&self) -> bool {
        let votes = self.votes.intersection(&self.members).count();
        self.is_member() && votes >= self.quorum()
    }

    /// Answers a pre-vote. A follower in contact with its leader refuses, so that an instance that
    /// rejoins the cluster does not force an election.
    pub(crate) fn handle_pre_vote(
        &mut self,
        from: &id::Process,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let has_leader_contact = self
            .last_contact
            .is_some_and(|at| self.now < at + self.options.election_timeout);
        let granted = self.ballot.voter
            && term > self.ballot.term
            && !has_leader_contact
            && self.is_candidate_up_to_date(last_index, last_term);
        let reply = Message {
            term: if granted { term } else { self.ballot.term },
            body: Body::PreVoteReply { granted },
        };
        self.send_message(from, reply);
    }

    /// Answers a vote request; the vote is persisted before it is granted.
    pub(crate) fn handle_vote(&mut self, from: &id::Process, last_index: Index, last_term: Term) {
        let vote_available = self.ballot.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = self.ballot.voter
            && vote_available
            && self.is_candidate_up_to_date(last_index, last_term);
        if granted {
            let ballot = Ballot {
                vote: Some(from.clone()),
                ..self.ballot.clone()
            };
            self.save_ballot(ballot);
            self.restart_election_timer();
        }
        self.send(from, Body::VoteReply { granted });
    }

    /// Whether a candidate's log is at least as up to date as this one.
    fn is_candidate_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }
}
