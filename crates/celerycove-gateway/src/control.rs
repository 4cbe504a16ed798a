//! A control instance: hears backend servers and operators, and agrees with its peers.
//!
//! Instances with a disk keep the control log. Those without one only pass on what they hear, and
//! have orders committed by the leader.

mod found;
mod keep;
mod operate;

pub(crate) use keep::candidates;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use arc_swap::ArcSwap;
use celerycove_control::{Answer, State, log::Command as Entry};
use celerycove_disk::Store;
use celerycove_fleet::{Command, Config, Fleet};
use celerycove_limit::{Ask as Want, Loan, Seat, fallback::reduced};
use celerycove_route::direct::Evidence;
use celerycove_types::{Timestamp, id};
use tokio::sync::watch;

use crate::{
    Dialect, Error, Setup, clock,
    entry::allowance,
    group::{Group, options},
    http,
    link::{self, Handler, Links, Sender, lock},
    message::{Ask, Frame, News, Number, Peer, Reply, Told, View},
    setup::Role,
    spread::{Picture, Spread},
};

/// How often everything that is alive is told.
const DIGEST: Duration = Duration::from_secs(1);
/// How long a command may take before its outcome counts as unknown; below the second after which
/// an operator goes on to another instance.
const COMMIT: Duration = Duration::from_millis(900);
/// A leader that proved itself longer ago, or a follower that heard its leader longer ago, no longer
/// vouches for its state.
const PROOF: Duration = Duration::from_millis(1_500);
/// A leader that proved itself longer ago than this lends no tokens: a few heartbeats.
const AUTHORITY: Duration = Duration::from_millis(300);
/// Entries of the control log between snapshots.
const SNAPSHOT_AFTER: u64 = 1_024;

/// A control instance.
pub struct Control {
    this: Weak<Self>,
    /// How this instance greets others.
    peer: Peer,
    setup: Setup,
    dialect: Arc<dyn Dialect>,
    links: Arc<Links>,
    group: std::sync::OnceLock<Arc<Group>>,
    spread: Spread,
    picture: Picture,
    /// The newest state applied here, and its position.
    state: ArcSwap<(u64, Arc<Fleet>)>,
    /// Lends tokens of the rates, during one term.
    seat: Mutex<Option<Seat>>,
    /// Backend servers heard here since the last digest.
    alive: Mutex<BTreeMap<id::Backend, Timestamp>>,
    keeping: Mutex<keep::Keeping>,
    founding: Mutex<found::Founding>,
}

/// Starts a control instance.
///
/// # Errors
///
/// Returns an error if the settings lack something, a listener can't be opened, or the log on the
/// disk can't be used.
pub async fn start(
    setup: Setup,
    dialect: Arc<dyn Dialect>,
    stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    let address = setup
        .listen
        .control
        .ok_or(Error::Missing("control address"))?;
    let me = setup.process();
    let peer = Peer {
        process: me.clone(),
        role: Role::Control,
        instance: setup.instance.clone(),
        data_centre: setup.data_centre.clone(),
        keeps: setup.data.is_some(),
        founder: setup.may_found(),
    };
    let links = Links::new(peer.clone());
    let founder = peer.founder;
    let control = Arc::new_cyclic(|this| Control {
        this: this.clone(),
        peer,
        links: links.clone(),
        dialect,
        group: std::sync::OnceLock::new(),
        spread: Spread::default(),
        picture: Picture::default(),
        state: ArcSwap::from_pointee((0, Arc::default())),
        seat: Mutex::default(),
        alive: Mutex::default(),
        keeping: Mutex::default(),
        founding: Mutex::new(found::Founding::new(&setup)),
        setup,
    });
    links.handle(control.clone());
    if !founder {
        control.open_group(None)?;
    }
    let internal = control.setup.internal_address()?;
    link::listen(internal, control.clone()).await?;
    control.connect(&control.setup.seed_processes());
    let listener = http::bind(address)?;
    tokio::spawn(http::serve(listener, control.clone(), stop));
    tokio::spawn(async move { control.keep().await });
    Ok(())
}

impl Control {
    /// Opens the log, as one of its first members if `founders` names this instance. Without a disk
    /// there is none to open.
    fn open_group(
        self: &Arc<Self>,
        founders: Option<BTreeSet<id::Process>>,
    ) -> Result<(), celerycove_control::storage::Error> {
        let Some(data) = self.setup.data.clone() else {
            return Ok(());
        };
        let me = self.setup.process();
        log::info!(target: "log", founders:? = founders, data:? = data; "the control log opens");
        let storage = Box::new(Store::new(data)?);
        let control = self.clone();
        let group = Group::open(
            me.clone(),
            founders.filter(|founders| founders.contains(&me)),
            storage,
            self.links.clone(),
            options(SNAPSHOT_AFTER),
            Box::new(move |state, index| control.apply(state, index)),
        )?;
        // Opened once: at the start, or when the first members are named.
        let _ = self.group.set(group);
        Ok(())
    }

    /// The newest state known here; without a log, the newest that others told.
    fn fleet(&self) -> Arc<Fleet> {
        let state = self.state.load();
        match self.picture.view() {
            Some(view) if view.index > state.0 => view.fleet.clone(),
            _ => state.1.clone(),
        }
    }

    /// Takes the applied state and tells all if it changed.
    fn apply(&self, state: &State, index: u64) {
        if let Some(term) = self.leads() {
            self.take_seat(term);
        }
        let before = self.state.load();
        if before.0 > 0 && *before.1 == state.fleet {
            return;
        }
        let fleet = Arc::new(state.fleet.clone());
        self.state.store(Arc::new((index, fleet)));
        let mut news = self.news();
        news.view = self.view();
        self.spread.publish(news);
    }

    /// The state as other processes need it: without the configuration's source.
    fn view(&self) -> Option<View> {
        let state = self.state.load();
        let (index, fleet) = (state.0, &state.1);
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

    fn group(&self) -> Option<&Arc<Group>> {
        self.group.get()
    }

    /// Whether this instance leads, with its term.
    fn leads(&self) -> Option<u64> {
        let status = self.group()?.status();
        status.leads.then_some(status.term)
    }

    fn leader(&self) -> Option<id::Process> {
        let known = self.group().and_then(|group| group.status().leader.clone());
        known.or_else(|| self.picture.leader())
    }

    fn proven(&self) -> bool {
        let now = clock::now();
        let recent = |at: Option<Timestamp>| at.is_some_and(|at| now.saturating_sub(at) < PROOF);
        self.group().is_some_and(|group| {
            let status = group.status();
            if status.leads {
                recent(status.proven)
            } else {
                status.leader.is_some() && recent(status.heard)
            }
        })
    }

    /// News with nothing in it but who leads.
    fn news(&self) -> News {
        News {
            number: 0,
            view: None,
            beats: Vec::new(),
            peers: None,
            leader: self.leader(),
            proven: self.proven(),
        }
    }

    /// Everything that a process which has just connected must know.
    fn everything(&self) -> News {
        let now = clock::now();
        let mut news = self.news();
        news.view = self.view();
        news.peers = Some(self.seen());
        let registry = self.picture.registry();
        news.beats = registry
            .iter()
            .map(|known| Told {
                beat: known.beat.clone(),
                age: now.saturating_sub(known.heard),
            })
            .collect();
        news
    }

    fn seen(&self) -> Vec<crate::message::Seen> {
        [Role::Control, Role::Entry, Role::Store]
            .into_iter()
            .flat_map(|role| self.picture.peers(role))
            .collect()
    }

    fn connect(&self, controls: &[id::Process]) {
        for control in controls {
            self.links.open(control);
        }
    }

    /// Commits a command, here or at the leader.
    async fn commit(&self, command: Command) -> Reply {
        match (self.leads(), self.leader()) {
            (Some(_), _) => self.commit_here(command).await,
            (None, Some(leader)) => self
                .links
                .ask(&leader, Ask::Commit(command), COMMIT)
                .await
                .unwrap_or(Reply::Unknown),
            (None, None) => Reply::NotLeader(None),
        }
    }

    async fn commit_here(&self, command: Command) -> Reply {
        let Some(group) = self.group() else {
            return Reply::NotLeader(None);
        };
        match group.propose(Entry::Fleet(command), COMMIT).await {
            Answer::Fleet(_) => Reply::Committed,
            Answer::NotLeader(leader) => Reply::NotLeader(leader),
            _ => Reply::Unknown,
        }
    }

    /// The newest state, proven by a quorum after the question came.
    async fn read(&self) -> Reply {
        match (self.leads(), self.leader()) {
            (Some(_), _) => self.read_here().await,
            (None, Some(leader)) => self
                .links
                .ask(&leader, Ask::Read, COMMIT)
                .await
                .unwrap_or(Reply::Unknown),
            (None, None) => Reply::NotLeader(None),
        }
    }

    async fn read_here(&self) -> Reply {
        let asked = clock::now();
        while clock::now().saturating_sub(asked) < COMMIT {
            let Some(group) = self.group() else { break };
            let status = group.status();
            if !status.leads {
                return Reply::NotLeader(status.leader.clone());
            }
            if status.proven.is_some_and(|proven| proven >= asked) {
                return Reply::State(self.state.load().1.clone());
            }
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
        Reply::Unknown
    }

    /// Takes the right to lend tokens in a term, as soon as the instance leads: its quiet time, in
    /// which tokens of an earlier leader may be out, begins then.
    fn take_seat(&self, term: u64) {
        let mut seat = lock(&self.seat);
        if seat.as_ref().is_none_or(|seat| seat.began() != term) {
            log::info!(target: "limit", term; "tokens are lent here now");
            *seat = Some(Seat::begin_after_fallback(term, clock::now(), AUTHORITY));
        }
    }

    /// Lends tokens, while this instance surely leads and no earlier leader's tokens are out. The
    /// entries help themselves until then.
    fn lend(&self, wants: &[Want]) -> Option<Vec<Loan>> {
        let term = self.leads()?;
        let now = clock::now();
        let proven = self.group()?.status().proven?;
        let state = self.state.load();
        let fleet = &state.1;
        let connected = self.spread.connected();
        let reached = |entry: &id::Process| connected.iter().any(|peer| peer.process == *entry);
        let away = fleet.entries.keys().filter(|entry| !reached(entry)).count();
        let mut seat = lock(&self.seat);
        let seat = seat
            .as_mut()
            .filter(|seat| seat.began() == term && !seat.is_quiet(now))?;
        wants
            .iter()
            .map(|want| {
                let organisations = fleet.config.organisations.iter();
                let owed = organisations
                    .clone()
                    .find(|o| o.name == want.organisation)?;
                let owed = allowance::entitlement(owed.rate, owed.burst);
                let owed = reduced(owed, away, fleet.entries.len());
                seat.lend(now, now.saturating_sub(proven), want, owed)
            })
            .collect()
    }

    /// Tells the other entries of an entry's data centre how backend servers did there: a fault may be
    /// seen from one data centre only.
    fn pass_on(&self, from: &id::Process, evidence: Vec<Evidence>) {
        let Some(near) = self.fleet().entries.get(from).cloned() else {
            return;
        };
        let near = |peer: &Peer| {
            peer.role == Role::Entry && peer.data_centre == near && peer.process != *from
        };
        self.spread.send_to(&Frame::Evidence(evidence), near);
    }

    fn spawn_reply(&self, number: Number, ask: Ask, back: &Sender) {
        let Some(this) = self.this.upgrade() else {
            return;
        };
        let back = back.clone();
        tokio::spawn(async move {
            let reply = this.reply(ask).await;
            back.send(&Frame::Reply(number, reply));
        });
    }

    async fn reply(&self, ask: Ask) -> Reply {
        match ask {
            Ask::Commit(command) => self.commit_here(command).await,
            Ask::Read => self.read_here().await,
            Ask::Loans(wants) => match self.lend(&wants) {
                Some(loans) => Reply::Loans(loans),
                None => Reply::NotLeader(self.leader()),
            },
            Ask::Turns(_) | Ask::IsMember(_) => Reply::NotLeader(None),
        }
    }
}

/// The control instance's side of its connections.
impl Handler for Control {
    fn opened(&self, _peer: &id::Process, hello: Option<&Peer>, back: &Sender) {
        let Some(hello) = hello else { return };
        self.picture.greet(hello);
        self.spread.subscribe(hello, back);
        self.spread.tell(back, self.everything());
        if hello.role == Role::Control {
            self.links.open(&hello.process);
        }
    }

    fn take(&self, peer: &id::Process, frame: Frame, back: &Sender) {
        match frame {
            Frame::Log(message) => {
                self.picture.touch(peer);
                if let Some(group) = self.group() {
                    group.take(peer, message);
                }
            }
            Frame::Ask(number, ask) => self.spawn_reply(number, ask, back),
            Frame::News(news) => {
                let changes = self.picture.take(*news);
                if !changes.beats.is_empty() {
                    let mut news = self.news();
                    news.beats = changes.beats;
                    self.spread.publish(news);
                }
                let controls = self.picture.peers(Role::Control);
                let controls: Vec<_> = controls.into_iter().map(|c| c.peer.process).collect();
                self.connect(&controls);
            }
            Frame::Heard(number) => self.spread.heard(peer, number),
            Frame::Evidence(evidence) => self.pass_on(peer, evidence),
            Frame::Found(founders) => self.take_founders(&founders),
            Frame::Hello(_) | Frame::Ping | Frame::Reply(..) => {}
        }
    }

    fn closed(&self, _peer: &id::Process, hello: Option<&Peer>, connection: u64) {
        if hello.is_some() {
            self.spread.unsubscribe(connection);
        }
    }
}
