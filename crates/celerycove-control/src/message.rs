//! Messages between the instances of the control log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::log::{Entry, Index, Term};

/// The number of a heartbeat round, in which a leader asks a quorum to confirm that it still leads.
pub type Round = u64;

/// A message and the term of its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term; in a pre-vote request and in a granted reply, the term that would start.
    pub term: Term,
    /// The request or reply.
    pub body: Body,
}

/// A request or a reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant a vote, without starting a term.
    PreVote {
        /// The position of the last entry in the sender's log.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// Answers a `PreVote`.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The position of the last entry in the sender's log.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// Answers a `Vote`.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; without entries, a heartbeat.
    Append {
        /// The position before the entries.
        previous: Index,
        /// The term of the entry at that position.
        previous_term: Term,
        /// The entries, empty in a heartbeat.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The leader's current round.
        round: Round,
        /// The latest round that a quorum of voters has acknowledged.
        confirmed: Round,
    },
    /// Answers an `Append`, and the `Install` that completed a snapshot.
    AppendReply {
        /// The position up to which the logs match, or `None` if the previous entry did not match.
        matched: Option<Index>,
        /// The last position at which the logs may match; the leader retries with the next entry.
        last_index: Index,
        /// The acknowledged round.
        round: Round,
        /// Whether the sender may vote. An instance that may not has lost its disk and with it any
        /// record of a later leader, so its replies count towards no quorum.
        voter: bool,
    },
    /// One chunk of a snapshot, for a follower that lacks entries that the leader has compacted.
    Install {
        /// The last position that the snapshot includes.
        index: Index,
        /// The size of the whole encoded snapshot in bytes.
        total: usize,
        /// The chunk's offset in the encoded snapshot in bytes.
        offset: usize,
        /// The chunk's bytes.
        part: Bytes,
        /// The leader's current round.
        round: Round,
        /// The latest round that a quorum of voters has acknowledged. Only receivers of an earlier
        /// version use it.
        confirmed: Round,
    },
    /// Answers an `Install` that did not complete the snapshot.
    InstallReply {
        /// The last position that the snapshot includes.
        index: Index,
        /// The number of bytes received, which is the offset of the next chunk.
        held: usize,
        /// The acknowledged round.
        round: Round,
        /// Whether the sender may vote.
        voter: bool,
    },
}
