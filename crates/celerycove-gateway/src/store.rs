//! A store: a member of the replicated log that holds turns and budgets.

use std::{
    collections::BTreeSet,
    sync::{Arc, OnceLock, Weak},
    time::Duration,
};

use celerycove_control::{Answer, log::Command as LogCommand, membership};
use celerycove_disk::{Store as Disk, control::FirstStart};
use celerycove_turn::{Command, Outcome};
use celerycove_types::id;

use crate::{
    Error, Setup,
    broadcast::FleetState,
    clock,
    control::member_candidates,
    link::{self, Connections, Handler, Sender},
    memory::Account,
    message::{Frame, Peer, Reply, RpcRequest, SequenceNumber},
    replica::{Replica, options},
    setup::Role,
};

/// Entries of the stores' log between snapshots; each turn writes two. Writing a snapshot delays
/// the log, and replaying the entries delays a start: about two seconds on a fifth of a core.
const SNAPSHOT_AFTER_ENTRIES: u64 = 30_000;
/// How long a batch of commands may take to commit before its outcome counts as unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the leader may take to reply to a request that this store passes on; shorter than an
/// entry waits for a store.
const RELAY_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a majority may take to confirm the leader; shorter than a control instance waits for a
/// store.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);
/// How often the store opens its log or, on the leader, checks the members of the log.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// A new leader changes no members for this long, until it has heard from the other stores.
const MEMBERSHIP_DELAY: Duration = Duration::from_secs(2);

/// A store process.
pub struct Store {
    weak_self: Weak<Self>,
    setup: Setup,
    connections: Arc<Connections>,
    /// Set once the log is open.
    replica: OnceLock<Arc<Replica>>,
    fleet_state: FleetState,
}

/// Starts a store.
///
/// # Errors
///
/// Returns an error if a setting is missing, a listener can't be opened, or the log on the disk
/// can't be opened.
pub async fn start(setup: Setup, account: Arc<Account>) -> Result<(), Error> {
    let data = setup
        .data_dir
        .clone()
        .ok_or(Error::Missing("data directory"))?;
    let me = setup.process();
    setup.record_own_first_start();
    let local_peer = Peer {
        process: me.clone(),
        role: Role::Store,
        instance: setup.instance.clone(),
        data_centre: setup.data_centre.clone(),
        has_disk: true,
        may_bootstrap: setup.may_bootstrap_log(),
        has_empty_disk: setup.has_empty_disk(),
    };
    let connections = Connections::new(local_peer, account.clone());
    let store = Arc::new_cyclic(|weak_self| Store {
        weak_self: weak_self.clone(),
        connections: connections.clone(),
        replica: OnceLock::new(),
        fleet_state: FleetState::default(),
        setup,
    });
    connections.set_handler(store.clone());
    let internal = store.setup.internal_address()?;
    if Disk::has_log(&data) {
        store.open_log(None)?;
    }
    link::listen(internal, store.clone(), account).await?;
    for control in store.setup.seed_processes() {
        store.connections.open(&control);
    }
    tokio::spawn(async move { store.run().await });
    Ok(())
}

impl Store {
    /// Opens the log, and bootstraps it if `initial_members` is given.
    fn open_log(&self, initial_members: Option<BTreeSet<id::Process>>) -> Result<(), Error> {
        let data = self
            .setup
            .data_dir
            .clone()
            .ok_or(Error::Missing("data directory"))?;
        let me = self.setup.process();
        log::info!(target: "log", founders:? = initial_members, data:? = data; "opening the stores' log");
        let replica = Replica::open(
            me,
            initial_members,
            Box::new(move || Ok(Box::new(Disk::new(data.clone())?))),
            self.connections.clone(),
            options(SNAPSHOT_AFTER_ENTRIES),
            Box::new(|_, _| {}),
        )?;
        // Set only once: at the start, or later by the task that calls `run`.
        let _ = self.replica.set(replica);
        self.setup.clear_first_start();
        Ok(())
    }

    /// Opens the log once its initial members are known, and changes its members while leading.
    async fn run(&self) {
        let mut rounds = tokio::time::interval(ROUND_INTERVAL);
        rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut led_since = None;
        loop {
            rounds.tick().await;
            let Some(replica) = self.replica.get() else {
                self.open_bootstrapped_log();
                continue;
            };
            let status = replica.status();
            if !status.is_leader {
                led_since = None;
                continue;
            }
            let now = clock::now();
            let (term, since) = *led_since.get_or_insert((status.term, now));
            if term != status.term {
                led_since = None;
            } else if now >= since + MEMBERSHIP_DELAY {
                self.change_members(replica).await;
            }
        }
    }

    /// Opens the log if the control log names its initial members.
    fn open_bootstrapped_log(&self) {
        let Some(view) = self.fleet_state.view() else {
            return;
        };
        if view.fleet.founders.is_empty() {
            // No store has opened a log yet, so this one has not voted either.
            if !self.setup.may_vote_in_new_log() {
                self.setup.record_first_start(FirstStart::Told);
            }
            return;
        }
        let me = self.setup.process();
        let bootstraps = self.setup.may_vote_in_new_log() && view.fleet.founders.contains(&me);
        let initial_members = bootstraps.then(|| view.fleet.founders.clone());
        if let Err(error) = self.open_log(initial_members) {
            log::error!(target: "log", error:% = error; "could not open the stores' log");
        }
    }

    /// Proposes a change of the members if one is due, for example after a store was lost.
    async fn change_members(&self, replica: &Arc<Replica>) {
        let status = replica.status();
        let retiring = self.fleet_state.view().map(|view| {
            let stores = view.fleet.retiring.values();
            stores.cloned().collect::<BTreeSet<_>>()
        });
        let candidates = member_candidates(
            clock::now(),
            self.fleet_state.peers(Role::Store),
            &status,
            &retiring.unwrap_or_default(),
        );
        let me = self.setup.process();
        if !candidates.contains_key(&me) {
            return;
        }
        let options = self.membership_options();
        let plan = membership::plan(&me, status.current(), &candidates, options);
        replica
            .change_members(plan, "stores", ROUND_INTERVAL * 2)
            .await;
    }

    async fn handle_request(&self, request: RpcRequest) -> Reply {
        let Some(replica) = self.replica.get() else {
            return Reply::NotLeader(None);
        };
        let status = replica.status();
        match request {
            RpcRequest::Turns(_) if !status.is_leader => Reply::NotLeader(status.leader.clone()),
            RpcRequest::Turns(commands) => commit(replica, commands).await,
            RpcRequest::Relay(request) => self.relay(status.leader.as_ref(), *request).await,
            RpcRequest::IsDispensable(store) => self.is_dispensable(replica, &store).await,
            _ => Reply::NotLeader(None),
        }
    }

    /// Checks whether a store may be taken away, if this process leads the log and a majority
    /// confirms that after the call began.
    async fn is_dispensable(&self, replica: &Replica, store: &id::Process) -> Reply {
        let status = match replica.confirm_leadership(CONFIRM_TIMEOUT).await {
            Ok(status) => status,
            Err(leader) => return Reply::NotLeader(leader),
        };
        let options = self.membership_options();
        let dispensable = status.has_committed_members
            && membership::is_dispensable(store, &status.members, &status.voters, options);
        log::info!(target: "place", store:% = store, dispensable, members:? = status.members,
            voters:? = status.voters, committed = status.has_committed_members, term = status.term;
            "checked whether a store may be taken away");
        Reply::Dispensable(dispensable)
    }

    fn membership_options(&self) -> membership::Options {
        membership::Options {
            target: self.setup.target_members(),
            silence_timeout: self.setup.bounds.replacement / 2,
        }
    }

    /// Passes a request on to the leader for an entry that can't reach it.
    async fn relay(&self, leader: Option<&id::Process>, request: RpcRequest) -> Reply {
        let Some(leader) = leader.filter(|leader| **leader != self.setup.process()) else {
            return Reply::NotLeader(leader.cloned());
        };
        let reply = self.connections.request(leader, request, RELAY_TIMEOUT);
        reply.await.unwrap_or(Reply::Unknown)
    }

    /// Handles a request in a task of its own and sends the reply.
    fn spawn_reply(&self, number: SequenceNumber, request: RpcRequest, sender: &Sender) {
        let Some(this) = self.weak_self.upgrade() else {
            return;
        };
        let sender = sender.clone();
        tokio::spawn(async move {
            let reply = this.handle_request(request).await;
            sender.send(&Frame::Reply(number, reply));
        });
    }
}

/// Proposes commands together and collects their outcomes.
async fn commit(replica: &Arc<Replica>, commands: Vec<Command>) -> Reply {
    let at = clock::wall_millis();
    let mut receivers = Vec::with_capacity(commands.len());
    for mut command in commands {
        match &mut command {
            Command::Begin(begin) => begin.at = at,
            Command::End(end) => end.at = at,
        }
        match replica.submit(LogCommand::Turn(command)).await {
            Some(receiver) => receivers.push(receiver),
            None => return Reply::Unknown,
        }
    }
    let mut outcomes: Vec<Outcome> = Vec::with_capacity(receivers.len());
    let deadline = tokio::time::Instant::now() + COMMIT_TIMEOUT;
    for receiver in receivers {
        match tokio::time::timeout_at(deadline, receiver).await {
            Ok(Ok(Answer::Turn(outcome))) => outcomes.push(outcome),
            Ok(Ok(Answer::NotLeader(leader))) if outcomes.is_empty() => {
                return Reply::NotLeader(leader);
            }
            _ => return Reply::Unknown,
        }
    }
    Reply::Turns(outcomes)
}

impl Handler for Store {
    fn opened(&self, _peer: &id::Process, hello: Option<&Peer>, _sender: &Sender) {
        if let Some(hello) = hello {
            self.fleet_state.add_peer(hello);
        }
    }

    fn receive(&self, peer: &id::Process, frame: Frame, sender: &Sender) {
        match frame {
            Frame::Log(message) => {
                self.fleet_state.touch_peer(peer);
                if let Some(replica) = self.replica.get() {
                    replica.receive(peer, message);
                }
            }
            Frame::Request(number, request) => self.spawn_reply(number, request, sender),
            Frame::Update(update) => {
                let changes = self.fleet_state.merge(*update);
                if changes.request_view {
                    sender.send(&Frame::RequestView);
                }
                for control in self.fleet_state.peers(Role::Control) {
                    self.connections.open(&control.peer.process);
                }
            }
            Frame::InitialMembers(_)
            | Frame::FirstStart
            | Frame::RequestView
            | Frame::Evidence(_)
            | Frame::Demand(_)
            | Frame::TotalDemand(..)
            | Frame::Acknowledge(_)
            | Frame::Hello(_)
            | Frame::Ping
            | Frame::Crashes(_)
            | Frame::RolloutLeases(..)
            | Frame::RolloutReports(_)
            | Frame::Reply(..) => {}
        }
    }

    fn closed(&self, _peer: &id::Process, _hello: Option<&Peer>, _connection: u64) {}
}
