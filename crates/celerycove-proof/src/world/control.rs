//! The control log under operators who race and resend, and followers who must not act on an old
//! configuration.

use std::{collections::BTreeMap, time::Duration};

use celerycove_config::{Change, Organisation, Outcome, Proposal};
use celerycove_control::{
    Action, Answer, Command, Entry, Event, Message, Node, Options, Placement,
    log::{Index, Members, Term},
    node::Proposed,
};
use celerycove_sync::{
    Announcement, Availability, Directory, Follower, Pull, Reply, follower::reply_to,
};
use celerycove_types::{Timestamp, Violation, id};

use crate::{
    disk::{Disk, Shared},
    net::{DRIFT, Net, Place},
};

const NODES: usize = 3;
const FOLLOWERS: usize = 3;
const PLACES: usize = NODES + FOLLOWERS;
const TICK: Duration = Duration::from_millis(60);
const LEASE: Duration = Duration::from_millis(1500);
const SILENCE: Duration = Duration::from_secs(1);
/// How long the run may take to make progress once all faults are healed.
const RECOVERY: Duration = Duration::from_secs(12);

#[derive(Debug, Clone)]
enum Input {
    Tick,
    Message(Place, Message),
    Propose(Proposal),
    Pull(Place, Pull, Timestamp),
    Reply(Reply, Timestamp),
    Restart,
}

struct World {
    net: Net<Input>,
    disks: Vec<Shared>,
    nodes: Vec<Option<Node>>,
    followers: Vec<Follower>,
    directory: Directory,
    /// The first command seen committed at each position.
    committed: BTreeMap<Index, Entry>,
    checked: Vec<Index>,
    leaders: BTreeMap<Term, Place>,
    outcomes: BTreeMap<id::Request, Outcome>,
    /// Accepted proposals by version, with the true time when the operator was told.
    accepted: BTreeMap<id::Version, (Proposal, Timestamp)>,
    sent: Vec<Proposal>,
    tokens: BTreeMap<u64, id::Request>,
    token: u64,
    faults: bool,
    lost_disks: usize,
}

/// Runs from a seed.
///
/// # Errors
///
/// Returns the first broken invariant.
pub fn run(seed: u64, steps: usize, step: &mut usize) -> Result<u64, Violation> {
    let mut world = World::new(seed);
    for at in 0..steps {
        *step = at;
        world.step()?;
    }
    world.recover()?;
    Ok(world.accepted.len() as u64)
}

fn name(place: Place) -> id::Process {
    format!("c{place}").into()
}

fn place(name: &id::Process) -> Option<Place> {
    name.strip_prefix('c')?.parse().ok()
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            net: Net::new(seed, PLACES),
            disks: (0..NODES).map(|_| Shared::default()).collect(),
            nodes: (0..NODES).map(|_| None).collect(),
            followers: (0..FOLLOWERS)
                .map(|_| Follower::new(LEASE, SILENCE))
                .collect(),
            directory: Directory::default(),
            committed: BTreeMap::new(),
            checked: vec![0; NODES],
            leaders: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            accepted: BTreeMap::new(),
            sent: Vec::new(),
            tokens: BTreeMap::new(),
            token: 0,
            faults: true,
            lost_disks: 0,
        };
        for node in 0..NODES {
            world.start(node, true);
        }
        for place in 0..PLACES {
            world.net.after(TICK, place, Input::Tick);
        }
        world
    }

    fn start(&mut self, node: Place, bootstrap: bool) {
        let members: Members = (0..NODES).map(name).collect();
        let options = Options {
            heartbeat_interval: Duration::from_millis(60),
            election_timeout: Duration::from_millis(300),
            snapshot_interval: 12,
        };
        let seed = self.net.below(usize::MAX) as u64;
        let storage = Box::new(self.disks[node].clone());
        let first = bootstrap.then_some(members);
        let now = self.net.clock(node);
        self.checked[node] = 0;
        self.nodes[node] = Node::open(name(node), first, storage, options, seed, now).ok();
    }

    fn step(&mut self) -> Result<(), Violation> {
        let Some((to, input)) = self.net.pop() else {
            return Ok(());
        };
        if let Input::Tick = input {
            self.net.after(TICK, to, Input::Tick);
            if to < NODES && self.faults {
                self.disturb(to);
            }
        }
        if to < NODES {
            self.node(to, input)?;
            self.check_node(to)
        } else {
            self.follower(to, input);
            self.check_followers()
        }
    }

    fn node(&mut self, to: Place, input: Input) -> Result<(), Violation> {
        let now = self.net.clock(to);
        let event = match input {
            Input::Tick => Event::Tick,
            Input::Message(from, message) => Event::Message {
                from: name(from),
                message,
            },
            Input::Propose(proposal) => {
                self.token += 1;
                self.tokens.insert(self.token, proposal.request.clone());
                Event::Propose(vec![Proposed {
                    token: self.token,
                    command: Command::Configure(proposal),
                }])
            }
            Input::Pull(from, pull, asked) => {
                self.serve(to, from, &pull, asked);
                return Ok(());
            }
            Input::Restart => {
                self.disks[to].with(|disk| disk.failing = false);
                self.start(to, false);
                return Ok(());
            }
            Input::Reply(..) => return Ok(()),
        };
        let Some(node) = &mut self.nodes[to] else {
            return Ok(());
        };
        for action in node.step(now, event) {
            match action {
                Action::Send { to: peer, message } => {
                    if let Some(peer) = place(&peer) {
                        self.net.send(to, peer, Input::Message(to, message));
                    }
                }
                Action::Answer { token, answer } => self.answered(token, answer)?,
                Action::Halt(_) => {
                    self.nodes[to] = None;
                    self.net
                        .after(Duration::from_millis(400), to, Input::Restart);
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn answered(&mut self, token: u64, answer: Answer) -> Result<(), Violation> {
        let (Answer::Configured(outcome), Some(request)) = (answer, self.tokens.remove(&token))
        else {
            return Ok(());
        };
        let first = self
            .outcomes
            .entry(request.clone())
            .or_insert_with(|| outcome.clone());
        Violation::unless(*first == outcome, "resend-same-outcome", || {
            format!("{request}: {first:?}, then {outcome:?}")
        })?;
        if let Outcome::Accepted { version } = outcome
            && let Some(proposal) = self.sent.iter().find(|p| p.request == request)
        {
            let now = self.net.now();
            let (known, _) = self
                .accepted
                .entry(version)
                .or_insert_with(|| (proposal.clone(), now));
            Violation::unless(known.request == request, "one-winner", || {
                format!("version {version}: {} and {request}", known.request)
            })?;
            let guarded = proposal.if_version.is_none_or(|v| v + 1 == version);
            Violation::unless(guarded, "compare-and-set", || {
                format!("{request} for {:?} made {version}", proposal.if_version)
            })?;
        }
        Ok(())
    }

    /// The control instance answers a follower, if it can say how fresh its state is.
    fn serve(&mut self, to: Place, from: Place, pull: &Pull, asked: Timestamp) {
        let now = self.net.clock(to);
        let Some(node) = &self.nodes[to] else {
            return;
        };
        if let Some(age) = node.staleness(now) {
            let reply = reply_to(
                pull,
                node.feed(),
                &Placement::default(),
                &self.directory,
                age,
            );
            self.net.send(to, from, Input::Reply(reply, asked));
        }
    }

    fn follower(&mut self, to: Place, input: Input) {
        let now = self.net.clock(to);
        match input {
            Input::Tick => {
                // The first follower relays; the others pull from it, sometimes from control.
                let relayed = to > NODES && self.net.chance(0.8);
                let upstream = if relayed {
                    NODES
                } else {
                    self.net.below(NODES)
                };
                let pull = self.followers[to - NODES].pull(now, announcement(to));
                self.net.send(to, upstream, Input::Pull(to, pull, now));
            }
            Input::Pull(from, pull, asked) => {
                if let Some(reply) = self.followers[to - NODES].serve(now, &pull) {
                    self.net.send(to, from, Input::Reply(reply, asked));
                }
            }
            Input::Reply(reply, asked) => self.followers[to - NODES].apply_reply(asked, reply),
            Input::Message(..) | Input::Propose(_) | Input::Restart => {}
        }
    }

    /// Operators act and things break.
    fn disturb(&mut self, node: Place) {
        if self.net.chance(0.12) {
            let guarded = self.net.chance(0.7);
            self.propose(guarded);
        }
        if self.net.chance(0.05)
            && let Some(again) = self.sent.last().cloned()
        {
            let to = self.net.below(NODES);
            self.net.send(node, to, Input::Propose(again));
        }
        if self.net.chance(0.01) {
            self.nodes[node] = None;
            let pause = Duration::from_millis(100 + 10 * self.net.below(200) as u64);
            self.net.after(pause, node, Input::Restart);
        }
        if self.net.chance(0.004) {
            self.disks[node].with(|disk| disk.failing = true);
        }
        if self.net.chance(0.002) && self.lost_disks == 0 && self.all_well() {
            // One disk is lost for good; the others hold everything.
            self.lost_disks += 1;
            self.disks[node].with(|disk| *disk = Disk::default());
            self.nodes[node] = None;
            self.net
                .after(Duration::from_millis(500), node, Input::Restart);
        }
        if self.net.chance(0.015) {
            let place = self.net.below(PLACES);
            self.net.isolate(place, PLACES);
        }
        if self.net.chance(0.01) {
            let (a, b) = (self.net.below(PLACES), self.net.below(PLACES));
            let both = self.net.chance(0.5);
            self.net.cut(a, b, both);
        }
        if self.net.chance(0.03) {
            self.net.heal();
        }
    }

    fn all_well(&self) -> bool {
        let commits: Vec<Index> = self
            .nodes
            .iter()
            .flatten()
            .map(Node::commit_index)
            .collect();
        commits.len() == NODES && commits.iter().min() == commits.iter().max()
    }

    fn propose(&mut self, guarded: bool) {
        let number = self.sent.len();
        let newest = self.accepted.keys().last().copied().unwrap_or(0);
        let guard = guarded.then_some(newest);
        let organisation = Organisation {
            rate: 1.0 + f64::from(u32::try_from(number).unwrap_or(u32::MAX)),
            ..Organisation::default()
        };
        let proposal = Proposal {
            request: format!("r{number}").into(),
            operator: format!("op{}", number % 3),
            if_version: guard,
            changes: vec![Change::Organisation {
                id: format!("o{}", number % 5).into(),
                organisation: Some(organisation),
            }],
        };
        self.sent.push(proposal.clone());
        // Operators race: the same version is guarded by several of them.
        for to in 0..NODES {
            if self.net.chance(0.6) {
                self.net.after(
                    Duration::from_millis(1),
                    to,
                    Input::Propose(proposal.clone()),
                );
            }
        }
    }

    fn check_node(&mut self, place: Place) -> Result<(), Violation> {
        let Some(node) = &self.nodes[place] else {
            return Ok(());
        };
        node.check()?;
        if node.is_leader() {
            let first = *self.leaders.entry(node.term()).or_insert(place);
            Violation::unless(first == place, "one-leader-a-term", || {
                format!("term {}: {first} and {place}", node.term())
            })?;
        }
        for entry in node.committed_after(self.checked[place]) {
            let first = self
                .committed
                .entry(entry.index)
                .or_insert_with(|| entry.clone());
            Violation::unless(first == entry, "committed-stays", || {
                format!("node {place}: {entry:?} instead of {first:?}")
            })?;
        }
        self.checked[place] = node.commit_index();
        self.check_never_reverts(place)
    }

    /// Whoever holds a version holds what was accepted as it.
    fn check_never_reverts(&self, place: Place) -> Result<(), Violation> {
        let Some(node) = &self.nodes[place] else {
            return Ok(());
        };
        let config = node.config();
        let Some((proposal, _)) = self.accepted.get(&config.version) else {
            return Ok(());
        };
        let Some(Change::Organisation { id, organisation }) = proposal.changes.first() else {
            return Ok(());
        };
        Violation::unless(
            config.organisations.get(id) == organisation.as_ref(),
            "accepted-in-force",
            || format!("node {place} version {}", config.version),
        )
    }

    /// A follower whose lease holds has every version that was accepted a lease ago.
    fn check_followers(&self) -> Result<(), Violation> {
        let margin = LEASE.mul_f64(1.0 + 4.0 * DRIFT);
        let now = self.net.now();
        let due = self
            .accepted
            .iter()
            .filter(|(_, (_, at))| *at + margin <= now)
            .map(|(version, _)| *version)
            .next_back()
            .unwrap_or(0);
        for (at, follower) in self.followers.iter().enumerate() {
            let valid = follower.freshness().is_valid(self.net.clock(NODES + at));
            let version = follower.config().version;
            Violation::unless(!valid || version >= due, "lease-implies-newest", || {
                format!("follower {at} acts on {version} when {due} was due")
            })?;
        }
        Ok(())
    }

    /// Heals everything and expects a new proposal to be accepted and in force everywhere.
    fn recover(&mut self) -> Result<(), Violation> {
        self.faults = false;
        self.net.calm();
        for node in 0..NODES {
            self.disks[node].with(|disk| disk.failing = false);
            if self.nodes[node].is_none() {
                self.start(node, false);
            }
        }
        let deadline = self.net.now() + RECOVERY;
        let mut next = self.net.now() + RECOVERY / 4;
        let before = self.accepted.keys().last().copied().unwrap_or(0);
        while self.net.now() < deadline {
            self.step()?;
            if self.net.now() >= next {
                next = self.net.now() + Duration::from_millis(500);
                self.propose(false);
            }
            let newest = self.accepted.keys().last().copied().unwrap_or(0);
            let spread = self.followers.iter().all(|f| f.config().version >= newest);
            let fresh = (0..FOLLOWERS).all(|at| {
                self.followers[at]
                    .freshness()
                    .is_valid(self.net.clock(NODES + at))
            });
            if newest > before && spread && fresh {
                return Ok(());
            }
        }
        Violation::unless(false, "recovers", || {
            let nodes: Vec<_> = self
                .nodes
                .iter()
                .flatten()
                .map(|n| (n.term(), n.is_leader(), n.commit_index()))
                .collect();
            format!("no new version in force after {RECOVERY:?}: {nodes:?}")
        })
    }
}

fn announcement(place: Place) -> Announcement {
    Announcement {
        process: format!("f{place}").into(),
        incarnation: 1,
        revision: 0,
        data_centre: "dc".into(),
        address: ([127, 0, 0, 1], 1).into(),
        availability: Availability::Serving,
        shard_incarnation: None,
        caught_up_learners: Vec::new(),
        backend: None,
        relay: false,
    }
}
