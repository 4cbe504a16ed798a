//! A control instance: serves backend servers and operators, and replicates the fleet's state.
//!
//! Instances with a disk can be members of the control log. Those without one only pass on
//! heartbeats and updates, and send commands to the leader, which commits them.

mod admission;
mod api;
mod bootstrap;
mod crashes;
mod maintenance;
mod rollout;
mod standstill;

pub(crate) use maintenance::member_candidates;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use arc_swap::ArcSwap;
use celerycove_control::{Answer, State, log::Command as LogCommand};
use celerycove_disk::Store;
use celerycove_fleet::{Change, Command, Config, Effect, Fleet, registry::Stage};
use celerycove_limit::{Lease, Ownership, Request as LeaseRequest, fallback::reduced_entitlement};
use celerycove_log::limit::Limit;
use celerycove_route::direct::{Report, demand::Collector};
use celerycove_types::{Set, Timestamp, id};
use tokio::sync::{Notify, watch};

use crate::{
    Dialect, Error, Setup,
    broadcast::{Broadcaster, FleetState},
    clock,
    entry::rate_limit,
    http,
    link::{self, Connections, Encoded, Handler, Sender, lock},
    memory::Account,
    message::{
        Frame, Peer, RelayedHeartbeat, Reply, RpcRequest, SequenceNumber, UNNUMBERED, Update, View,
        ViewUpdate,
    },
    replica::{Replica, options},
    setup::Role,
};

/// How often the digest is published: heartbeats received since the last one, and known processes.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// How long a command may take before its outcome counts as unknown; shorter than the second after
/// which an operator tries another instance.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// How long changes of backend servers are collected before they are published, since many start or
/// turn cold together.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// An instance has no contact with a majority if, as the leader, a quorum last confirmed it longer
/// ago than this or, as a follower, it last heard from the leader longer ago.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the leader may take to reply to a request that this instance passes on; shorter than an
/// entry waits for leases.
const RELAY_TIMEOUT: Duration = Duration::from_millis(200);
/// A leader leases no tokens if a quorum last confirmed it longer ago than this: a few heartbeats.
const LEASING_TIMEOUT: Duration = Duration::from_millis(300);
/// Entries of the control log between snapshots.
const SNAPSHOT_AFTER_ENTRIES: u64 = 1_024;

/// Lines a second about requests without room for their bodies.
const NO_ROOM_LINES: u32 = 1;

/// A control process.
pub struct Control {
    weak_self: Weak<Self>,
    /// How this process introduces itself to others.
    local_peer: Peer,
    setup: Setup,
    dialect: Arc<dyn Dialect>,
    connections: Arc<Connections>,
    /// Set once the log is open; never without a disk.
    replica: std::sync::OnceLock<Arc<Replica>>,
    broadcaster: Broadcaster,
    fleet_state: FleetState,
    /// The newest state applied from the local log, and its index.
    applied: ArcSwap<(u64, Arc<Fleet>)>,
    /// Leases tokens of the rate limits during one term as the leader.
    ownership: Mutex<Option<Ownership>>,
    /// Backend servers that sent a heartbeat here since the last digest.
    recent_heartbeats: Mutex<BTreeMap<id::Backend, Timestamp>>,
    /// Requests in flight of the entries of this data centre.
    demand: Mutex<Collector>,
    /// Changes of backend servers that were reported here and wait for [`BATCH_DELAY`].
    own_changes: Mutex<Vec<RelayedHeartbeat>>,
    /// Notified when `own_changes` were published.
    changes_published: Notify,
    /// Changes that other control instances told, to be passed on with the next round.
    relayed_changes: Mutex<Vec<RelayedHeartbeat>>,
    /// Crashes of backend servers, passed on between the entries.
    crashes: Mutex<celerycove_quarantine::Table>,
    maintenance: Mutex<maintenance::State>,
    bootstrap: Mutex<bootstrap::Bootstrap>,
    standstill: Mutex<standstill::Standstill>,
    rollouts: Mutex<rollout::Rollouts>,
    /// Limits the lines about requests without room for their bodies.
    no_room_lines: Mutex<Limit>,
}

/// Starts a control instance and returns the task that serves operators and backend servers. It ends
/// once `stop` is true and all open requests are answered.
///
/// # Errors
///
/// Returns an error if a setting is missing, a listener can't be opened, or the log on the disk
/// can't be opened.
pub async fn start(
    setup: Setup,
    dialect: Arc<dyn Dialect>,
    account: Arc<Account>,
    stop: watch::Receiver<bool>,
) -> Result<tokio::task::JoinHandle<()>, Error> {
    let address = setup
        .listen
        .control
        .ok_or(Error::Missing("control address"))?;
    let me = setup.process();
    setup.record_own_first_start();
    let local_peer = Peer {
        process: me.clone(),
        role: Role::Control,
        instance: setup.instance.clone(),
        data_centre: setup.data_centre.clone(),
        has_disk: setup.data_dir.is_some(),
        may_bootstrap: setup.may_bootstrap_log(),
        has_empty_disk: setup.has_empty_disk(),
    };
    let connections = Connections::new(local_peer.clone(), account.clone());
    let has_empty_disk = local_peer.has_empty_disk;
    let control = Arc::new_cyclic(|weak_self| Control {
        weak_self: weak_self.clone(),
        local_peer,
        connections: connections.clone(),
        dialect,
        replica: std::sync::OnceLock::new(),
        broadcaster: Broadcaster::default(),
        fleet_state: FleetState::default(),
        applied: ArcSwap::from_pointee((0, Arc::default())),
        ownership: Mutex::default(),
        recent_heartbeats: Mutex::default(),
        demand: Mutex::default(),
        own_changes: Mutex::default(),
        changes_published: Notify::new(),
        relayed_changes: Mutex::default(),
        crashes: Mutex::default(),
        maintenance: Mutex::default(),
        bootstrap: Mutex::default(),
        standstill: Mutex::default(),
        rollouts: Mutex::default(),
        no_room_lines: Mutex::new(Limit::new(NO_ROOM_LINES)),
        setup,
    });
    connections.set_handler(control.clone());
    if !has_empty_disk {
        control.open_log(None)?;
    }
    let internal = control.setup.internal_address()?;
    link::listen(internal, control.clone(), account).await?;
    control.connect(&control.setup.seed_processes());
    let listener = http::bind(address)?;
    let server = tokio::spawn(http::serve(listener, control.clone(), stop));
    let rollouts = control.clone();
    tokio::spawn(async move { rollouts.run_rollouts().await });
    tokio::spawn(async move { control.run_maintenance().await });
    Ok(server)
}

impl Control {
    /// Opens the log, and bootstraps it if `initial_members` contains this process and it may vote in a
    /// new log. Does nothing without a disk.
    fn open_log(
        self: &Arc<Self>,
        initial_members: Option<BTreeSet<id::Process>>,
    ) -> Result<(), celerycove_control::storage::Error> {
        let Some(data) = self.setup.data_dir.clone() else {
            return Ok(());
        };
        let me = self.setup.process();
        log::info!(target: "log", founders:? = initial_members, data:? = data;
            "opening the control log");
        let control = self.clone();
        let replica = Replica::open(
            me.clone(),
            initial_members
                .filter(|members| members.contains(&me) && self.setup.may_vote_in_new_log()),
            Box::new(move || Ok(Box::new(Store::new(data.clone())?))),
            self.connections.clone(),
            options(SNAPSHOT_AFTER_ENTRIES),
            Box::new(move |state, index| control.apply(state, index)),
        )?;
        // Set only once: at the start, or later when the initial members are known.
        let _ = self.replica.set(replica);
        self.setup.clear_first_start();
        Ok(())
    }

    /// The newest known state: from the local log, or from other control instances if that is
    /// newer.
    fn fleet(&self) -> Arc<Fleet> {
        let applied = self.applied.load();
        match self.fleet_state.view() {
            Some(view) if view.index > applied.0 => view.fleet.clone(),
            _ => applied.1.clone(),
        }
    }

    /// Stores the state that the log has applied, and publishes it if it changed.
    fn apply(&self, state: &State, index: u64) {
        if let Some(term) = self.leader_term() {
            self.start_leasing(term);
        }
        let before = self.applied.load();
        if before.0 > 0 && *before.1 == state.fleet {
            return;
        }
        let fleet = Arc::new(state.fleet.clone());
        let change = Change::between(&before.1, &fleet);
        self.applied.store(Arc::new((index, fleet)));
        let mut update = self.empty_update();
        update.view = Some(ViewUpdate::Step {
            base: before.0,
            index,
            change: Arc::new(change),
        });
        self.broadcaster.publish(update);
    }

    /// The applied state for other processes, without the source text of the configuration, which
    /// they don't need.
    fn view(&self) -> Option<View> {
        let applied = self.applied.load();
        let (index, fleet) = (applied.0, &applied.1);
        if index == 0 {
            return None;
        }
        let config = Config {
            source: bytes::Bytes::new(),
            ..(*fleet.config).clone()
        };
        let fleet = Fleet {
            config: Arc::new(config),
            ..(**fleet).clone()
        };
        Some(View {
            index,
            fleet: Arc::new(fleet),
        })
    }

    /// Notes that this process runs, and whether it stood still before.
    fn note_running(&self, now: Timestamp) {
        if let Some(stood_still) = lock(&self.standstill).note(now) {
            log::warn!(target: "run", stood_still_ms = clock::millis(stood_still);
                "this process stood still; what waited for it meanwhile is rejected");
        }
    }

    fn replica(&self) -> Option<&Arc<Replica>> {
        self.replica.get()
    }

    /// The current term if this process is the leader.
    fn leader_term(&self) -> Option<u64> {
        let status = self.replica()?.status();
        status.is_leader.then_some(status.term)
    }

    fn leader(&self) -> Option<id::Process> {
        let from_log = self
            .replica()
            .and_then(|replica| replica.status().leader.clone());
        from_log.or_else(|| self.fleet_state.leader())
    }

    /// Whether this process is in contact with a majority of the log's members.
    fn has_quorum(&self) -> bool {
        let now = clock::now();
        let recent =
            |at: Option<Timestamp>| at.is_some_and(|at| now.saturating_sub(at) < QUORUM_TIMEOUT);
        self.replica().is_some_and(|replica| {
            let status = replica.status();
            if status.is_leader {
                recent(status.confirmed_at)
            } else {
                status.leader.is_some() && recent(status.heard_at)
            }
        })
    }

    /// An update that holds only the leader and whether there is a quorum.
    fn empty_update(&self) -> Update {
        Update {
            sequence: UNNUMBERED,
            index: self.applied.load().0,
            view: None,
            heartbeats: Vec::new(),
            peers: None,
            leader: self.leader(),
            has_quorum: self.has_quorum(),
        }
    }

    /// An update that holds what a newly connected process needs. It requests the committed state
    /// itself, from one of the control instances that it connects to.
    fn full_update(&self) -> Update {
        let now = clock::now();
        let mut update = self.empty_update();
        update.peers = Some(self.known_peers());
        let registry = self.fleet_state.registry();
        update.heartbeats = registry
            .iter()
            .map(|known| RelayedHeartbeat {
                beat: known.heartbeat.clone(),
                age: now.saturating_sub(known.sent_at),
            })
            .collect();
        update
    }

    /// Publishes a change of a backend server that was reported to this instance, together with those
    /// that follow it shortly, and returns after that.
    async fn publish_soon(&self, relayed: RelayedHeartbeat) {
        let published = self.changes_published.notified();
        let is_first = {
            let mut changes = lock(&self.own_changes);
            changes.push(relayed);
            changes.len() == 1
        };
        if is_first && let Some(this) = self.weak_self.upgrade() {
            tokio::spawn(async move {
                tokio::time::sleep(BATCH_DELAY).await;
                this.publish_changes(std::mem::take(&mut *lock(&this.own_changes)));
                this.changes_published.notify_waiters();
            });
        }
        published.await;
    }

    /// Passes on changes that another instance told. All processes that are connected to that instance
    /// got them from it already; only what must not be missed, a backend server that leaves, is passed
    /// on at once.
    fn pass_on(&self, changes: Vec<RelayedHeartbeat>) {
        let (leaving, others): (Vec<_>, Vec<_>) = changes
            .into_iter()
            .partition(|change| change.beat.stage != Stage::Ready);
        self.publish_changes(leaving);
        lock(&self.relayed_changes).extend(others);
    }

    fn publish_changes(&self, changes: Vec<RelayedHeartbeat>) {
        if !changes.is_empty() {
            let mut update = self.empty_update();
            update.heartbeats = changes;
            self.broadcaster.publish(update);
        }
    }

    fn known_peers(&self) -> Vec<crate::message::PeerStatus> {
        [Role::Control, Role::Entry, Role::Store]
            .into_iter()
            .flat_map(|role| self.fleet_state.peers(role))
            .collect()
    }

    fn connect(&self, controls: &[id::Process]) {
        for control in controls {
            self.connections.open(control);
        }
    }

    /// Commits a command, locally if this process is the leader and through the leader otherwise.
    async fn commit(&self, command: Command) -> Reply {
        match (self.leader_term(), self.leader()) {
            (Some(_), _) => self.commit_locally(command).await,
            (None, Some(leader)) => self
                .connections
                .request(&leader, RpcRequest::Commit(command), COMMIT_TIMEOUT)
                .await
                .unwrap_or(Reply::Unknown),
            (None, None) => Reply::NotLeader(None),
        }
    }

    async fn commit_locally(&self, command: Command) -> Reply {
        let Some(replica) = self.replica() else {
            return Reply::NotLeader(None);
        };
        if self.leader_term().is_some() && self.repeats_rolled_back(&command) {
            return Reply::Repeated;
        }
        match replica
            .propose(LogCommand::Fleet(command), COMMIT_TIMEOUT)
            .await
        {
            Answer::Fleet(Effect::Superseded) => Reply::Superseded,
            Answer::Fleet(_) => Reply::Committed,
            Answer::NotLeader(leader) => Reply::NotLeader(leader),
            _ => Reply::Unknown,
        }
    }

    /// Reads the newest state: a quorum confirms the leader after this call began.
    async fn read_latest(&self) -> Reply {
        match (self.leader_term(), self.leader()) {
            (Some(_), _) => self.read_latest_locally().await,
            (None, Some(leader)) => self
                .connections
                .request(&leader, RpcRequest::Read, COMMIT_TIMEOUT)
                .await
                .unwrap_or(Reply::Unknown),
            (None, None) => Reply::NotLeader(None),
        }
    }

    async fn read_latest_locally(&self) -> Reply {
        let Some(replica) = self.replica() else {
            return Reply::NotLeader(None);
        };
        match replica.confirm_leadership(COMMIT_TIMEOUT).await {
            Ok(_) => Reply::State(self.applied.load().1.clone()),
            Err(Some(leader)) => Reply::NotLeader(Some(leader)),
            Err(None) => Reply::Unknown,
        }
    }

    /// Starts to lease tokens in a term. Called as soon as this process is the leader: the waiting
    /// period, in which tokens leased by an earlier leader may still be in use, starts at this
    /// call.
    fn start_leasing(&self, term: u64) {
        let mut ownership = lock(&self.ownership);
        if ownership
            .as_ref()
            .is_none_or(|ownership| ownership.epoch() != term)
        {
            log::info!(target: "limit", term; "this instance now leases tokens");
            *ownership = Some(Ownership::after_fallback(
                term,
                clock::now(),
                LEASING_TIMEOUT,
            ));
        }
    }

    /// Leases tokens if a quorum confirmed this leader recently and the leases of an earlier leader
    /// have expired; `None` otherwise. Until then the entries admit a reduced rate without leases.
    fn lease(&self, requests: &[LeaseRequest]) -> Option<Vec<Lease>> {
        let term = self.leader_term()?;
        let now = clock::now();
        let confirmed_at = self.replica()?.status().confirmed_at?;
        let applied = self.applied.load();
        let fleet = &applied.1;
        let connected = self.broadcaster.connected_peers();
        let connected: Set<_> = connected.iter().map(|peer| &peer.process).collect();
        let unreachable = fleet
            .entries
            .keys()
            .filter(|entry| !connected.contains(entry))
            .count();
        let mut ownership = lock(&self.ownership);
        let ownership = ownership
            .as_mut()
            .filter(|ownership| ownership.epoch() == term && !ownership.is_waiting(now))?;
        requests
            .iter()
            .map(|request| {
                let organisations = fleet.config.organisations.iter();
                let organisation = organisations
                    .clone()
                    .find(|o| o.name == request.organisation)?;
                let entitlement = rate_limit::entitlement_of(organisation.rate, organisation.burst);
                let entitlement =
                    reduced_entitlement(entitlement, unreachable, fleet.entries.len());
                ownership.grant(now, now.saturating_sub(confirmed_at), request, entitlement)
            })
            .collect()
    }

    /// Passes an entry's counts of answered and failed requests on to the other entries of its data
    /// centre only: a backend server may be unreachable from one data centre and reachable from
    /// others.
    fn forward_reports(&self, from: &id::Process, reports: Vec<Report>) {
        let Some(data_centre) = self.fleet().entries.get(from).cloned() else {
            return;
        };
        let is_recipient = |peer: &Peer| {
            peer.role == Role::Entry && peer.data_centre == data_centre && peer.process != *from
        };
        self.broadcaster
            .send_to(&Frame::Evidence(reports), is_recipient);
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

    /// Passes a request for leases on to the leader, for an entry that can't reach it.
    async fn relay(&self, request: RpcRequest) -> Reply {
        let leader = self.leader();
        let is_lease = matches!(request, RpcRequest::Loans(_));
        let Some(leader) = leader.filter(|leader| is_lease && *leader != self.setup.process())
        else {
            return Reply::NotLeader(self.leader());
        };
        let reply = self.connections.request(&leader, request, RELAY_TIMEOUT);
        reply.await.unwrap_or(Reply::Unknown)
    }

    async fn handle_request(&self, request: RpcRequest) -> Reply {
        match request {
            RpcRequest::Commit(command) => self.commit_locally(command).await,
            RpcRequest::Read => self.read_latest_locally().await,
            RpcRequest::Loans(requests) => match self.lease(&requests) {
                Some(leases) => Reply::Loans(leases),
                None => Reply::NotLeader(self.leader()),
            },
            RpcRequest::Relay(request) => self.relay(*request).await,
            RpcRequest::Turns(_) | RpcRequest::IsDispensable(_) => Reply::NotLeader(None),
        }
    }
}

impl Handler for Control {
    fn opened(&self, _peer: &id::Process, hello: Option<&Peer>, sender: &Sender) {
        let Some(hello) = hello else { return };
        self.fleet_state.add_peer(hello);
        self.broadcaster.subscribe(hello, sender);
        self.broadcaster.send_update(sender, self.full_update());
        self.send_known_crashes(hello, sender);
        if hello.role == Role::Control {
            self.connections.open(&hello.process);
        }
    }

    fn receive(&self, peer: &id::Process, frame: Frame, sender: &Sender) {
        match frame {
            Frame::Log(message) => {
                self.fleet_state.touch_peer(peer);
                if let Some(replica) = self.replica() {
                    replica.receive(peer, message);
                }
            }
            Frame::Request(number, request) => self.spawn_reply(number, request, sender),
            Frame::Update(update) => {
                let changes = self.fleet_state.merge(*update);
                if changes.request_view {
                    sender.send(&Frame::RequestView);
                }
                self.pass_on(changes.beats);
                let controls = self.fleet_state.peers(Role::Control);
                let controls: Vec<_> = controls.into_iter().map(|c| c.peer.process).collect();
                self.connect(&controls);
            }
            Frame::Acknowledge(number) => self.broadcaster.acknowledge(peer, number),
            Frame::RequestView => {
                let mut update = self.empty_update();
                update.view = self.view().map(ViewUpdate::Whole);
                if let Some(encoded) = Encoded::new(&Frame::Update(Box::new(update))) {
                    log::info!(target: "spread", peer:% = peer, bytes = encoded.length();
                        "sending the whole state");
                    sender.send_encoded(&encoded);
                }
            }
            Frame::Evidence(reports) => self.forward_reports(peer, reports),
            Frame::Crashes(evidence) => self.merge_crashes(peer, *evidence),
            Frame::InitialMembers(members) => self.bootstrap_log(&members),
            Frame::FirstStart => self.record_first_start(),
            Frame::Demand(counts) => lock(&self.demand).record(clock::now(), peer, counts),
            Frame::RolloutReports(reports) => self.merge_rollout_reports(peer, &reports),
            Frame::Hello(_)
            | Frame::Ping
            | Frame::Reply(..)
            | Frame::TotalDemand(..)
            | Frame::RolloutLeases(..) => {}
        }
    }

    fn closed(&self, _peer: &id::Process, hello: Option<&Peer>, connection: u64) {
        if hello.is_some() {
            self.broadcaster.unsubscribe(connection);
        }
    }
}
