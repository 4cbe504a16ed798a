//! The roles of an instance as a hierarchical state machine.

use celerycove_types::{Timestamp, id};
use statig::prelude::*;

use crate::{
    core::Core,
    log::Term,
    message::{Body, Message},
    node::{Action, Answer, Proposed},
};

/// What the roles react to.
#[derive(Debug, Clone)]
pub(crate) enum Input {
    Tick,
    /// Sets the time of the events that follow.
    Clock(Timestamp),
    /// Hands the actions over to the caller.
    Finish,
    /// Asks whether enough votes are in.
    Count,
    /// A later term was seen.
    StepDown(Term),
    Message(id::Process, Message),
    Propose(Vec<Proposed>),
}

#[state_machine(
    initial = "State::follower()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl Core {
    #[state(superstate = "member")]
    fn follower(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Tick if self.now >= self.election_due => Transition(State::pre_candidate()),
            Input::Tick => Handled,
            _ => Super,
        }
    }

    #[state(superstate = "member", entry_action = "enter_pre_candidate")]
    fn pre_candidate(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Tick if self.now >= self.election_due => Transition(State::pre_candidate()),
            Input::Message(from, message) => match message.body {
                Body::PreVoteReply { granted: true } if message.term == self.ballot.term + 1 => {
                    self.votes.insert(from.clone());
                    Handled
                }
                _ => Super,
            },
            Input::Count if self.has_quorum() => Transition(State::candidate()),
            _ => Super,
        }
    }

    #[state(superstate = "member", entry_action = "enter_candidate")]
    fn candidate(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Tick if self.now >= self.election_due => Transition(State::pre_candidate()),
            Input::Message(from, message) => match message.body {
                Body::VoteReply { granted: true } if message.term == self.ballot.term => {
                    self.votes.insert(from.clone());
                    Handled
                }
                _ => Super,
            },
            Input::Count if self.failed.is_none() && self.has_quorum() => {
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
            Input::Tick if self.has_lost_quorum() || self.is_removed() => {
                self.leader = None;
                Transition(State::follower())
            }
            Input::Tick if self.now >= self.heartbeat_due => {
                self.heartbeat();
                Handled
            }
            Input::Propose(proposed) => {
                self.propose(proposed.clone());
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
                        self.take_reply(from, *matched, *last_index, (*round, *voter));
                        Handled
                    }
                    Body::InstallReply {
                        index,
                        held,
                        round,
                        voter,
                    } => {
                        self.take_install_reply(from, *index, *held, (*round, *voter));
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
            Input::StepDown(term) => {
                self.adopt_term(*term);
                Transition(State::follower())
            }
            Input::Message(from, message) => self.take_message(from, message),
            Input::Propose(proposed) => {
                self.refuse(proposed);
                Handled
            }
            Input::Clock(now) => {
                self.now = self.now.max(*now);
                Handled
            }
            Input::Finish => {
                context.append(&mut self.actions);
                Handled
            }
            Input::Tick | Input::Count => Handled,
        }
    }

    #[action]
    fn enter_pre_candidate(&mut self) {
        self.start_pre_vote();
    }

    #[action]
    fn enter_candidate(&mut self) {
        self.start_vote();
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

impl Core {
    fn take_message(&mut self, from: &id::Process, message: &Message) -> Outcome<State> {
        let current = message.term == self.ballot.term;
        match &message.body {
            Body::PreVote {
                last_index,
                last_term,
            } => self.answer_pre_vote(from, message.term, *last_index, *last_term),
            Body::Vote {
                last_index,
                last_term,
            } if current => self.answer_vote(from, *last_index, *last_term),
            Body::Append {
                previous,
                previous_term,
                entries,
                commit,
                round,
                confirmed,
            } if current => {
                let rounds = (*round, *confirmed);
                self.take_append(from, *previous, *previous_term, entries, *commit, rounds);
                return Transition(State::follower());
            }
            Body::Install {
                index,
                total,
                offset,
                part,
                round,
                confirmed,
            } if current => {
                let rounds = (*round, *confirmed);
                self.take_install(from, (*index, *total, *offset), part, rounds);
                return Transition(State::follower());
            }
            // A stale sender learns the term from the answer.
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

    fn refuse(&mut self, proposed: &[Proposed]) {
        for Proposed { token, .. } in proposed {
            let answer = Answer::NotLeader(self.leader.clone());
            self.actions.push(Action::Answer {
                token: *token,
                answer,
            });
        }
    }
}
