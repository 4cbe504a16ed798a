//! What the processes say to each other.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use celerycove_control::Message;
use celerycove_fleet::{Fleet, registry::Beat};
use celerycove_limit::Loan;
use celerycove_route::direct::Evidence;
use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::setup::Role;

/// Matches a reply to its question, and an acknowledgement to its news.
pub type Number = u64;

/// Who speaks on a connection; the first thing said.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// The process, by its internal address.
    pub process: id::Process,
    /// What it does.
    pub role: Role,
    /// The instance that it runs on.
    pub instance: Arc<str>,
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// Whether it has a disk on which it can keep a log.
    pub keeps: bool,
    /// Whether it may found a log: the system starts for the first time and its disk is empty.
    pub founder: bool,
}

/// One message on a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Who speaks.
    Hello(Peer),
    /// Shows that the speaker is there.
    Ping,
    /// A message of the replicated log that both belong to.
    Log(Box<Message>),
    /// The first members of the control log, from the one instance that may name them.
    Found(BTreeSet<id::Process>),
    /// How backend servers did at an entry, for others of its data centre.
    Evidence(Vec<Evidence>),
    /// A question.
    Ask(Number, Ask),
    /// Its answer.
    Reply(Number, Reply),
    /// What changed, from a control instance.
    News(Box<News>),
    /// The news of this number is in force here.
    Heard(Number),
}

/// A question.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// Begin and end turns; for the stores' leader.
    Turns(Vec<celerycove_turn::Command>),
    /// Borrow and give back tokens of rates; for the control leader.
    Loans(Vec<celerycove_limit::Ask>),
    /// Commit a command; for the control leader.
    Commit(celerycove_fleet::Command),
    /// Tell the newest state; for the control leader.
    Read,
    /// Tell whether a store is still a member; for any member of the stores' log.
    IsMember(id::Process),
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// What became of the turns' commands, in their order.
    Turns(Vec<celerycove_turn::Outcome>),
    /// The loans, in the order of what was asked.
    Loans(Vec<Loan>),
    /// The command is committed.
    Committed,
    /// The newest state.
    State(Arc<Fleet>),
    /// Whether the store is a member, and how many members there are.
    Member(bool, usize),
    /// This process does not lead; who does, as far as it knows. Nothing was done.
    NotLeader(Option<id::Process>),
    /// What was asked may or may not be done.
    Unknown,
}

/// A heartbeat of a backend server on its way to others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The heartbeat.
    pub beat: Beat,
    /// How old it is.
    pub age: Duration,
}

/// A process that a control instance hears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// The process.
    pub peer: Peer,
    /// How long it has been silent.
    pub silent: Duration,
}

/// The agreed state and its position in the control log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The position; a larger one is newer.
    pub index: u64,
    /// The state.
    pub fleet: Arc<Fleet>,
}

/// What changed, or what is periodically told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Numbers the news of one sender.
    pub number: Number,
    /// The agreed state, if it changed.
    pub view: Option<View>,
    /// Heartbeats.
    pub beats: Vec<Told>,
    /// The processes that the sender hears, if told.
    pub peers: Option<Vec<Seen>>,
    /// The control instance that leads, as far as the sender knows.
    pub leader: Option<id::Process>,
    /// Whether the sender is in touch with a majority of the control instances.
    pub proven: bool,
}
