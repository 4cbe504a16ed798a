//! The Raft roles (follower, pre-candidate, candidate, leader) as a hierarchical state machine.

use celerycove_types::{Timestamp, id};
use statig::prelude::*;

use crate::{
    log::Term,
    message::{Body, Message},
    node::{Action, Answer, Proposed},
    raft::Raft,
};

/// An input of the state machine.
#[derive(Debug, Clone)]
pub(crate) enum Input {
    /// Checks the timers.
    Tick,
    /// Sets the time at which the inputs that follow are handled.
    SetTime(Timestamp),
    /// Moves the queued actions to the caller.
    TakeActions,
    /// Checks whether a quorum of votes has been received.
    CountVotes,
    /// A message with a later term was received.
    NewerTerm(Term),
    Message(id::Process, Message),
    Propose(Vec<Proposed>),
    /// Names the instance to bring up to date, if any.
    Learn(Option<id::Process>),
}

#[state_machine(
    initial = "State::follower()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl Raft {
    #[state(superstate = "member")]
    fn follower(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Tick if self.now >= self.election_deadline => Transition(State::pre_candidate()),
            Input::Tick => Handled,
            _ => Super,
        }
    }

    #[state(superstate = "member", entry_action = "enter_pre_candidate")]
    fn pre_candidate(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Tick if self.now >= self.election_deadline => Transition(State::pre_candidate()),
            Input::Message(from, message) => match message.body {
                Body::PreVoteReply { granted: true } if message.term == self.ballot.term + 1 => {
                    self.votes.insert(from.clone());
                    Handled
                }
                _ => Super,
            },
            Input::CountVotes if self.has_vote_quorum() => Transition(State::candidate()),
            _ => Super,
        }
    }

    #[state(superstate = "member", entry_action = "enter_candidate")]
    fn candidate(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Tick if self.now >= self.election_deadline => Transition(State::pre_candidate()),
            Input::Message(from, message) => match message.body {
                Body::VoteReply { granted: true } if message.term == self.ballot.term => {
                    self.votes.insert(from.clone());
                    Handled
                }
                _ => Super,
            },
            Input::CountVotes if self.fatal_error.is_none() && self.has_vote_quorum() => {
                Transition(State::leader())
            }
            _ => Super,
        }
    }

    #[state(
        superstate = "member",
        entry_action = "enter_leader",
        exit_action = "exit_leader"
    )]
    fn leader(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Tick if self.has_quorum_timed_out() || self.is_removed() => {
                self.revoke_pending_change();
                self.leader = None;
                Transition(State::follower())
            }
            Input::Tick if self.now >= self.next_heartbeat => {
                self.start_heartbeat_round();
                Handled
            }
            Input::Propose(proposed) => {
                self.propose(proposed.clone());
                Handled
            }
            Input::Learn(learner) => {
                self.set_learner(learner.clone());
                Handled
            }
            Input::Message(from, message) if message.term == self.ballot.term => {
                match &message.body {
                    Body::AppendReply {
                        matched,
                        last_index,
                        round,
                        voter,
                    } => {
                        self.handle_append_reply(from, *matched, *last_index, (*round, *voter));
                        Handled
                    }
                    Body::InstallReply {
                        index,
                        held,
                        round,
                        voter,
                    } => {
                        self.handle_install_reply(from, *index, *held, (*round, *voter));
                        Handled
                    }
                    _ => Super,
                }
            }
            _ => Super,
        }
    }

    #[superstate]
    fn member(&mut self, context: &mut Vec<Action>, event: &Input) -> Outcome<State> {
        match event {
            Input::NewerTerm(term) => {
                self.adopt_term(*term);
                Transition(State::follower())
            }
            Input::Message(from, message) => self.handle_message(from, message),
            Input::Propose(proposed) => {
                self.reject_proposals(proposed);
                Handled
            }
            Input::SetTime(now) => {
                self.now = self.now.max(*now);
                Handled
            }
            Input::TakeActions => {
                context.append(&mut self.actions);
                Handled
            }
            Input::Tick | Input::CountVotes | Input::Learn(_) => Handled,
        }
    }

    #[action]
    fn enter_pre_candidate(&mut self) {
        self.start_pre_vote();
    }

    #[action]
    fn enter_candidate(&mut self) {
        self.start_election();
    }

    #[action]
    fn enter_leader(&mut self) {
        self.start_leading();
    }

    #[action]
    fn exit_leader(&mut self) {
        self.stop_leading();
    }
}

impl Raft {
    fn handle_message(&mut self, from: &id::Process, message: &Message) -> Outcome<State> {
        let is_current_term = message.term == self.ballot.term;
        match &message.body {
            Body::PreVote {
                last_index,
                last_term,
            } => self.handle_pre_vote(from, message.term, *last_index, *last_term),
            Body::Vote {
                last_index,
                last_term,
            } if is_current_term => self.handle_vote(from, *last_index, *last_term),
            Body::Append {
                previous,
                previous_term,
                entries,
                commit,
                round,
                confirmed,
            } if is_current_term => {
                let rounds = (*round, *confirmed);
                self.handle_append(from, *previous, *previous_term, entries, *commit, rounds);
                return Transition(State::follower());
            }
            Body::Install {
                index,
                total,
                offset,
                part,
                round,
                ..
            } if is_current_term => {
                self.handle_install(from, (*index, *total, *offset), part, *round);
                return Transition(State::follower());
            }
            // The sender's term is outdated; it learns the current one from the reply.
            Body::Vote { .. } => self.send(from, Body::VoteReply { granted: false }),
            Body::Append { round, .. } | Body::Install { round, .. } => {
                let (last_index, round) = (self.log.last_index(), *round);
                self.reply(from, None, last_index, round);
            }
            Body::PreVoteReply { .. }
            | Body::VoteReply { .. }
            | Body::AppendReply { .. }
            | Body::InstallReply { .. } => {}
        }
        Handled
    }

    /// Answers proposals with the known leader, as this instance does not lead.
    fn reject_proposals(&mut self, proposed: &[Proposed]) {
        for Proposed { token, .. } in proposed {
            let answer = Answer::NotLeader(self.leader.clone());
            self.actions.push(Action::Answer {
                token: *token,
                answer,
            });
        }
    }
}
