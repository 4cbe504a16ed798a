//! Pre-votes, votes and the rules for giving them.

use celerycove_types::id;

use crate::{
    core::Core,
    log::{Index, Term},
    message::{Body, Message},
    storage::Ballot,
};

impl Core {
    /// Adopts a later term and forgets the vote of the earlier one.
    pub(crate) fn adopt_term(&mut self, term: Term) {
        let ballot = Ballot {
            term,
            vote: None,
            voter: self.ballot.voter,
        };
        self.save_ballot(ballot);
        self.leader = None;
    }

    pub(crate) fn start_pre_vote(&mut self) {
        self.restart_election_timer();
        self.leader = None;
        self.votes.clear();
        if !self.is_member() || !self.ballot.voter {
            return;
        }
        self.votes.insert(self.me.clone());
        let question = Message {
            term: self.ballot.term + 1,
            body: Body::PreVote {
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
            },
        };
        for peer in self.others() {
            self.send_message(&peer, question.clone());
        }
    }

    pub(crate) fn start_vote(&mut self) {
        let ballot = Ballot {
            term: self.ballot.term + 1,
            vote: Some(self.me.clone()),
            voter: true,
        };
        self.save_ballot(ballot);
        self.restart_election_timer();
        self.votes.clear();
        self.votes.insert(self.me.clone());
        let question = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for peer in self.others() {
            self.send(&peer, question.clone());
        }
    }

    pub(crate) fn has_quorum(&self) -> bool {
        let votes = self.votes.intersection(&self.members).count();
        self.is_member() && votes >= self.quorum()
    }

    /// Answers a pre-vote; a follower that hears its leader refuses, so that a returning instance
    /// disturbs nobody.
    pub(crate) fn answer_pre_vote(
        &mut self,
        from: &id::Process,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let hears_leader = self
            .heard
            .is_some_and(|heard| self.now < heard + self.options.election);
        let granted = self.ballot.voter
            && term > self.ballot.term
            && !hears_leader
            && self.is_up_to_date(last_index, last_term);
        let reply = Message {
            term: if granted { term } else { self.ballot.term },
            body: Body::PreVoteReply { granted },
        };
        self.send_message(from, reply);
    }

    pub(crate) fn answer_vote(&mut self, from: &id::Process, last_index: Index, last_term: Term) {
        let free = self.ballot.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = self.ballot.voter && free && self.is_up_to_date(last_index, last_term);
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

    fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }
}
