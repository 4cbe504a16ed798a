//! Messages between the instances of the control log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::log::{Entry, Index, Term};

/// Counts the rounds in which a leader asks a quorum whether it still leads.
pub type Round = u64;

/// A message and the term of its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term; for the questions and consents of a pre-vote, the term it would start.
    pub term: Term,
    /// What is asked or answered.
    pub body: Body,
}

/// What a message asks or answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be given, without starting a term.
    PreVote {
        /// Last position of the sender's log.
        last_index: Index,
        /// Its term.
        last_term: Term,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last position of the sender's log.
        last_index: Index,
        /// Its term.
        last_term: Term,
    },
    /// Answers a vote.
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Replicates entries and tells that the sender leads.
    Append {
        /// The position before the entries.
        previous: Index,
        /// Its term.
        previous_term: Term,
        /// The entries, none in a heartbeat.
        entries: Vec<Entry>,
        /// Up to where the sender knows the log to be committed.
        commit: Index,
        /// The leader's round.
        round: Round,
        /// The latest round that a quorum of voters has answered.
        confirmed: Round,
    },
    /// Answers `Append`, and an `Install` that completed the snapshot.
    AppendReply {
        /// The position up to which the logs agree, or `None` if the previous entry did not match.
        matched: Option<Index>,
        /// The last position where the logs may agree, after which to try next.
        last_index: Index,
        /// The round answered.
        round: Round,
        /// Whether the sender has a vote. Without one, it may have forgotten what it acknowledged to
        /// a later leader, so that its answers count for nothing.
        voter: bool,
    },
    /// Part of a snapshot for a follower that lacks entries which the leader no longer has.
    Install {
        /// The last position that the snapshot includes.
        index: Index,
        /// Bytes of the whole encoded snapshot.
        total: usize,
        /// Where the part begins.
        offset: usize,
        /// The part's bytes.
        part: Bytes,
        /// The leader's round.
        round: Round,
        /// The latest round that a quorum of voters has answered.
        confirmed: Round,
    },
    /// Answers an `Install` that did not complete the snapshot.
    InstallReply {
        /// The last position that the snapshot includes.
        index: Index,
        /// Bytes held, where the next part is to begin.
        held: usize,
        /// The round answered.
        round: Round,
        /// Whether the sender has a vote.
        voter: bool,
    },
}
