//! A store: keeps turns and budgets in a replicated log.

use std::{
    collections::BTreeSet,
    sync::{Arc, OnceLock, Weak},
    time::Duration,
};

use celerycove_control::{Answer, log::Command as Entry, membership};
use celerycove_disk::Store as Disk;
use celerycove_turn::{Command, Outcome};
use celerycove_types::id;

use crate::{
    Error, Setup, clock,
    control::candidates,
    group::{Group, options},
    link::{self, Handler, Links, Sender},
    message::{Ask, Frame, Number, Peer, Reply},
    setup::Role,
    spread::Picture,
};

/// Entries of the stores' log between snapshots, two a turn. Writing a snapshot holds the log up, and
/// reading the entries again holds up a start: about two seconds on a fifth of a core.
const SNAPSHOT_AFTER: u64 = 30_000;
/// How long a batch of commands may take to commit before its outcome counts as unknown.
const COMMIT: Duration = Duration::from_millis(1_500);
/// How often a leader looks at who is there.
const ROUND: Duration = Duration::from_millis(400);
/// A new leader changes no members before it has heard who is there.
const SETTLE: Duration = Duration::from_secs(2);

/// A store.
pub struct Store {
    this: Weak<Self>,
    setup: Setup,
    links: Arc<Links>,
    group: OnceLock<Arc<Group>>,
    picture: Picture,
}

/// Starts a store.
///
/// # Errors
///
/// Returns an error if the settings lack something, a listener can't be opened, or the log on the
/// disk can't be used.
pub async fn start(setup: Setup) -> Result<(), Error> {
    let data = setup.data.clone().ok_or(Error::Missing("data folder"))?;
    let me = setup.process();
    let links = Links::new(Peer {
        process: me.clone(),
        role: Role::Store,
        instance: setup.instance.clone(),
        data_centre: setup.data_centre.clone(),
        keeps: true,
        founder: setup.may_found(),
    });
    let store = Arc::new_cyclic(|this| Store {
        this: this.clone(),
        links: links.clone(),
        group: OnceLock::new(),
        picture: Picture::default(),
        setup,
    });
    links.handle(store.clone());
    let internal = store.setup.internal_address()?;
    if Disk::is_used(&data) {
        store.open(None)?;
    }
    link::listen(internal, store.clone()).await?;
    for control in store.setup.seed_processes() {
        store.links.open(&control);
    }
    tokio::spawn(async move { store.keep().await });
    Ok(())
}

impl Store {
    fn open(&self, founders: Option<BTreeSet<id::Process>>) -> Result<(), Error> {
        let data = self
            .setup
            .data
            .clone()
            .ok_or(Error::Missing("data folder"))?;
        let me = self.setup.process();
        log::info!(target: "log", founders:? = founders, data:? = data; "the stores' log opens");
        let group = Group::open(
            me,
            founders,
            Box::new(Disk::new(data)?),
            self.links.clone(),
            options(SNAPSHOT_AFTER),
            Box::new(|_, _| {}),
        )?;
        // Opened once: before the listener, or by the one task that keeps the store.
        let _ = self.group.set(group);
        Ok(())
    }

    /// Opens the log once its first members are known, and keeps the members as they should be.
    async fn keep(&self) {
        let mut rounds = tokio::time::interval(ROUND);
        rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut led_since = None;
        loop {
            rounds.tick().await;
            let Some(group) = self.group.get() else {
                self.found();
                continue;
            };
            let status = group.status();
            if !status.leads {
                led_since = None;
                continue;
            }
            let now = clock::now();
            let (term, since) = *led_since.get_or_insert((status.term, now));
            if term != status.term {
                led_since = None;
            } else if now >= since + SETTLE {
                self.change_members(group).await;
            }
        }
    }

    fn found(&self) {
        let Some(view) = self.picture.view() else {
            return;
        };
        if view.fleet.founders.is_empty() {
            return;
        }
        let me = self.setup.process();
        let founds = self.setup.bootstrap && view.fleet.founders.contains(&me);
        let founders = founds.then(|| view.fleet.founders.clone());
        if let Err(error) = self.open(founders) {
            log::error!(target: "log", error:% = error; "the stores' log could not be opened");
        }
    }

    async fn change_members(&self, group: &Arc<Group>) {
        let status = group.status();
        let retiring = self.picture.view().map(|view| {
            let stores = view.fleet.retiring.values();
            stores.cloned().collect::<BTreeSet<_>>()
        });
        let candidates = candidates(
            self.picture.peers(Role::Store),
            &retiring.unwrap_or_default(),
        );
        let me = self.setup.process();
        if !candidates.contains_key(&me) {
            return;
        }
        let options = membership::Options {
            target: self.setup.members(),
            silence: self.setup.bounds.catch_up / 2,
        };
        if let Some(members) =
            membership::plan(&me, &status.members, &status.voters, &candidates, options)
        {
            log::info!(target: "place", before:? = status.members, after:? = members;
                "members of the stores' log are to change");
            group.propose(Entry::Members(members), ROUND * 2).await;
        }
    }

    async fn reply(&self, ask: Ask) -> Reply {
        let Some(group) = self.group.get() else {
            return Reply::NotLeader(None);
        };
        let status = group.status();
        match ask {
            Ask::Turns(_) if !status.leads => Reply::NotLeader(status.leader.clone()),
            Ask::Turns(commands) => commit(group, commands).await,
            Ask::IsMember(store) => {
                Reply::Member(status.members.contains(&store), status.members.len())
            }
            _ => Reply::NotLeader(None),
        }
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
}

/// Commits commands together and collects what became of them.
async fn commit(group: &Arc<Group>, commands: Vec<Command>) -> Reply {
    let at = clock::wall_millis();
    let mut receivers = Vec::with_capacity(commands.len());
    for mut command in commands {
        match &mut command {
            Command::Begin(begin) => begin.at = at,
            Command::End(end) => end.at = at,
        }
        match group.start(Entry::Turn(command)).await {
            Some(receiver) => receivers.push(receiver),
            None => return Reply::Unknown,
        }
    }
    let mut outcomes: Vec<Outcome> = Vec::with_capacity(receivers.len());
    let deadline = tokio::time::Instant::now() + COMMIT;
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

/// The store's side of its connections.
impl Handler for Store {
    fn opened(&self, _peer: &id::Process, hello: Option<&Peer>, _back: &Sender) {
        if let Some(hello) = hello {
            self.picture.greet(hello);
        }
    }

    fn take(&self, peer: &id::Process, frame: Frame, back: &Sender) {
        match frame {
            Frame::Log(message) => {
                self.picture.touch(peer);
                if let Some(group) = self.group.get() {
                    group.take(peer, message);
                }
            }
            Frame::Ask(number, ask) => self.spawn_reply(number, ask, back),
            Frame::News(news) => {
                let number = news.number;
                self.picture.take(*news);
                back.send(&Frame::Heard(number));
                for control in self.picture.peers(Role::Control) {
                    self.links.open(&control.peer.process);
                }
            }
            Frame::Found(_)
            | Frame::Evidence(_)
            | Frame::Heard(_)
            | Frame::Hello(_)
            | Frame::Ping
            | Frame::Reply(..) => {}
        }
    }

    fn closed(&self, _peer: &id::Process, _hello: Option<&Peer>, _connection: u64) {}
}
