//! Messages between processes.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use celerycove_control::Message;
use celerycove_fleet::{Change, Fleet, registry::Heartbeat};
use celerycove_limit::Lease;
use celerycove_route::direct::{Report, demand::Counts};
use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::setup::Role;

/// Matches a reply to its request, and an acknowledgement to its update.
pub type SequenceNumber = u64;

/// The number of an update that needs no acknowledgement.
pub const UNNUMBERED: SequenceNumber = 0;

/// Identifies a process to its peers; sent first on each connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// The process, named by its internal address.
    pub process: id::Process,
    /// The role that it runs.
    pub role: Role,
    /// The instance that it runs on.
    pub instance: Arc<str>,
    /// The data centre of that instance.
    pub data_centre: id::DataCentre,
    /// Whether it has a disk and can be a member of a replicated log.
    #[serde(rename = "keeps")]
    pub has_disk: bool,
    /// Whether it was started as part of the first start of the system and its disk held no log.
    #[serde(rename = "founder")]
    pub may_bootstrap: bool,
    /// Whether its disk held no log when it started. A process of a version that doesn't tell counts
    /// as one with a log.
    #[serde(default)]
    pub has_empty_disk: bool,
}

/// One message on a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Introduces the sender.
    Hello(Peer),
    /// Keeps an idle connection alive.
    Ping,
    /// A message of the replicated log that both processes are members of.
    Log(Box<Message>),
    /// The initial members of the control log, from the one instance that may choose them or from one
    /// that has opened its log with them.
    #[serde(rename = "Found")]
    InitialMembers(BTreeSet<id::Process>),
    /// No control log has been opened yet: from the instance that is to choose its initial members.
    FirstStart,
    /// Counts of requests that backend servers answered and failed at an entry, for the other
    /// entries of its data centre.
    Evidence(Vec<Report>),
    /// Crashes of backend servers and the requests that they broke off: from an entry to control
    /// instances, and from these to each other and to all entries.
    Crashes(Box<celerycove_quarantine::Evidence>),
    /// The requests that an entry has in flight, for the control instances of its data centre.
    Demand(Counts),
    /// The requests that all entries of a data centre have in flight, for all entries.
    TotalDemand(id::DataCentre, Counts),
    /// A request.
    #[serde(rename = "Ask")]
    Request(SequenceNumber, RpcRequest),
    /// The reply to the request of this number.
    Reply(SequenceNumber, Reply),
    /// An update from a control instance.
    #[serde(rename = "News")]
    Update(Box<Update>),
    /// Acknowledges that the update of this number is in force at the sender.
    #[serde(rename = "Heard")]
    Acknowledge(SequenceNumber),
    /// Asks a control instance for the whole committed state: the sender holds none, or one that
    /// the last step doesn't start from.
    RequestView,
    /// The term of the control leader, and the shares of requests that entries may send to new
    /// versions, from it to all entries.
    #[serde(rename = "RolloutLeases")]
    RolloutLeases(u64, Vec<celerycove_rollout::Lease>),
    /// What an entry has sent to old and new versions and how they answered, for the control leader.
    #[serde(rename = "RolloutReports")]
    RolloutReports(Vec<celerycove_rollout::Report>),
}

/// A request from one process to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RpcRequest {
    /// Begins and ends turns; handled by the leader of the stores' log.
    Turns(Vec<celerycove_turn::Command>),
    /// Leases and returns tokens of rate limits; handled by the control leader.
    Loans(Vec<celerycove_limit::Request>),
    /// Commits a command; handled by the control leader.
    Commit(celerycove_fleet::Command),
    /// Reads the newest state; handled by the control leader.
    Read,
    /// Passes the request on to the leader of the receiver's log, for a sender that can't reach it.
    Relay(Box<RpcRequest>),
    /// Asks whether a store may be taken away; handled by the leader of the stores' log.
    IsDispensable(id::Process),
}

/// The reply to an [`RpcRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The outcomes of the turns' commands, in the order of the commands.
    Turns(Vec<celerycove_turn::Outcome>),
    /// The leases, in the order of the request.
    Loans(Vec<Lease>),
    /// The command is committed.
    Committed,
    /// The command is committed without effect: it was accepted before the state that it is about last
    /// changed.
    Superseded,
    /// The newest state.
    State(Arc<Fleet>),
    /// Whether the store may be taken away: the leader's answer, which a majority has confirmed.
    Dispensable(bool),
    /// This process is not the leader and has done nothing; names the leader, if known.
    NotLeader(Option<id::Process>),
    /// The request may or may not have been carried out.
    Unknown,
    /// The command repeats an order that was carried out, and nothing was done.
    Repeated,
}

/// A heartbeat of a backend server that is passed on to other processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedHeartbeat {
    /// The heartbeat.
    pub beat: Heartbeat,
    /// The time since it was received from the backend server.
    pub age: Duration,
}

/// A known process and the time since it was last heard from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The process.
    pub peer: Peer,
    /// The time since the last message from it.
    pub silent: Duration,
}

/// The committed state and its index in the control log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The log index; a larger one is newer.
    pub index: u64,
    /// The state.
    pub fleet: Arc<Fleet>,
}

/// The committed state in an update.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ViewUpdate {
    /// The whole state, sent only when requested.
    Whole(View),
    /// What changed, for receivers that hold a state from `base` on.
    Step {
        /// The index of the sender's state before the change.
        base: u64,
        /// The index of its state after the change.
        index: u64,
        /// The change.
        change: Arc<Change>,
    },
}

/// What a control instance sends to other processes on each change and periodically.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Numbers the updates of one sender that are to be acknowledged; [`UNNUMBERED`] for others. An
    /// entry acknowledges one as soon as it also has the state of its index, and has no requests on
    /// versions that a completed rollout has replaced.
    #[serde(rename = "number")]
    pub sequence: SequenceNumber,
    /// The index of the newest state that the sender has applied; zero if that does not matter.
    pub index: u64,
    /// The committed state, if it changed or was requested.
    pub view: Option<ViewUpdate>,
    /// Heartbeats of backend servers.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<RelayedHeartbeat>,
    /// The processes known to the sender, if included.
    pub peers: Option<Vec<PeerStatus>>,
    /// The leader of the control log, if the sender knows one.
    pub leader: Option<id::Process>,
    /// Whether the sender is in contact with a majority of the control log's members.
    #[serde(rename = "proven")]
    pub has_quorum: bool,
}
