//! The control log with operators that submit concurrent and repeated proposals, and followers that
//! must not act on an outdated configuration.

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
    net::{MAX_CLOCK_DRIFT, Network, ProcessIndex},
};

const NODES: usize = 3;
const FOLLOWERS: usize = 3;
const PROCESSES: usize = NODES + FOLLOWERS;
const TICK_INTERVAL: Duration = Duration::from_millis(60);
const LEASE_DURATION: Duration = Duration::from_millis(1500);
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a proposal must be in force everywhere after all faults have stopped.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

#[derive(Debug, Clone)]
enum Input {
    Tick,
    Message(ProcessIndex, Message),
    Propose(Proposal),
    Pull(ProcessIndex, Pull, Timestamp),
    Reply(Reply, Timestamp),
    Restart,
}

struct Simulation {
    net: Network<Input>,
    disks: Vec<Shared>,
    nodes: Vec<Option<Node>>,
    followers: Vec<Follower>,
    directory: Directory,
    /// The first entry seen committed at each index.
    committed: BTreeMap<Index, Entry>,
    /// The index up to which the committed entries of each node were checked.
    checked_up_to: Vec<Index>,
    leader_by_term: BTreeMap<Term, ProcessIndex>,
    /// The first outcome reported for each request.
    outcomes: BTreeMap<id::Request, Outcome>,
    /// Accepted proposals by version, with the true time when the operator got the answer.
    accepted: BTreeMap<id::Version, (Proposal, Timestamp)>,
    /// All proposals, in the order in which they were submitted.
    proposals: Vec<Proposal>,
    request_by_token: BTreeMap<u64, id::Request>,
    last_token: u64,
    faults_enabled: bool,
    disks_lost: usize,
}

/// Runs `steps` steps with faults, then stops the faults and checks that progress resumes. `step`
/// is set to the step that runs. Returns the number of accepted proposals.
///
/// # Errors
///
/// Returns the first invariant violation.
pub fn run(seed: u64, steps: usize, step: &mut usize) -> Result<u64, Violation> {
    let mut simulation = Simulation::new(seed);
    for current in 0..steps {
        *step = current;
        simulation.step()?;
    }
    simulation.check_recovery()?;
    Ok(simulation.accepted.len() as u64)
}

fn process_id(index: ProcessIndex) -> id::Process {
    format!("c{index}").into()
}

fn process_index(id: &id::Process) -> Option<ProcessIndex> {
    id.strip_prefix('c')?.parse().ok()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            net: Network::new(seed, PROCESSES),
            disks: (0..NODES).map(|_| Shared::default()).collect(),
            nodes: (0..NODES).map(|_| None).collect(),
            followers: (0..FOLLOWERS)
                .map(|_| Follower::new(LEASE_DURATION, SILENCE_TIMEOUT))
                .collect(),
            directory: Directory::default(),
            committed: BTreeMap::new(),
            checked_up_to: vec![0; NODES],
            leader_by_term: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            accepted: BTreeMap::new(),
            proposals: Vec::new(),
            request_by_token: BTreeMap::new(),
            last_token: 0,
            faults_enabled: true,
            disks_lost: 0,
        };
        for node in 0..NODES {
            simulation.start_node(node, true);
        }
        for process in 0..PROCESSES {
            simulation.net.schedule(TICK_INTERVAL, process, Input::Tick);
        }
        simulation
    }

    fn start_node(&mut self, node: ProcessIndex, bootstrap: bool) {
        let members: Members = (0..NODES).map(process_id).collect();
        let options = Options {
            heartbeat_interval: Duration::from_millis(60),
            election_timeout: Duration::from_millis(300),
            snapshot_interval: 12,
            // Some instances compact after a few entries because of their size.
            max_log_bytes: if node.is_multiple_of(2) {
                2_000
            } else {
                16 << 20
            },
        };
        let seed = self.net.random_below(usize::MAX) as u64;
        let storage = Box::new(self.disks[node].clone());
        let initial_members = bootstrap.then_some(members);
        let now = self.net.clock(node);
        self.checked_up_to[node] = 0;
        self.nodes[node] = Node::open(
            process_id(node),
            initial_members,
            storage,
            options,
            seed,
            now,
        )
        .ok();
    }

    fn step(&mut self) -> Result<(), Violation> {
        let Some((to, input)) = self.net.next_event() else {
            return Ok(());
        };
        if let Input::Tick = input {
            self.net.schedule(TICK_INTERVAL, to, Input::Tick);
            if to < NODES && self.faults_enabled {
                self.propose_and_inject_faults(to);
            }
        }
        if to < NODES {
            self.step_node(to, input)?;
            self.check_node(to)
        } else {
            self.step_follower(to, input);
            self.check_followers()
        }
    }

    fn step_node(&mut self, to: ProcessIndex, input: Input) -> Result<(), Violation> {
        let now = self.net.clock(to);
        let event = match input {
            Input::Tick => Event::Tick,
            Input::Message(from, message) => Event::Message {
                from: process_id(from),
                message,
            },
            Input::Propose(proposal) => {
                self.last_token += 1;
                self.request_by_token
                    .insert(self.last_token, proposal.request.clone());
                Event::Propose(vec![Proposed {
                    token: self.last_token,
                    command: Command::Configure(proposal),
                }])
            }
            Input::Pull(from, pull, sent_at) => {
                self.answer_pull(to, from, &pull, sent_at);
                return Ok(());
            }
            Input::Restart => {
                self.disks[to].with(|disk| disk.failing = false);
                self.start_node(to, false);
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
                    if let Some(peer) = process_index(&peer) {
                        self.net.send(to, peer, Input::Message(to, message));
                    }
                }
                Action::Answer { token, answer } => self.record_answer(token, answer)?,
                Action::Halt(_) => {
                    self.nodes[to] = None;
                    self.net
                        .schedule(Duration::from_millis(400), to, Input::Restart);
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn record_answer(&mut self, token: u64, answer: Answer) -> Result<(), Violation> {
        let (Answer::Configured(outcome), Some(request)) =
            (answer, self.request_by_token.remove(&token))
        else {
            return Ok(());
        };
        let first = self
            .outcomes
            .entry(request.clone())
            .or_insert_with(|| outcome.clone());
        Violation::unless(*first == outcome, "resend-same-outcome", || {
            format!("{request} had the outcome {first:?}, then {outcome:?}")
        })?;
        if let Outcome::Accepted { version } = outcome
            && let Some(proposal) = self.proposals.iter().find(|p| p.request == request)
        {
            let now = self.net.now();
            let (known, _) = self
                .accepted
                .entry(version)
                .or_insert_with(|| (proposal.clone(), now));
            Violation::unless(known.request == request, "one-winner", || {
                format!(
                    "version {version} was accepted for {} and {request}",
                    known.request
                )
            })?;
            let version_matches = proposal.if_version.is_none_or(|v| v + 1 == version);
            Violation::unless(version_matches, "compare-and-set", || {
                format!(
                    "{request} with if_version {:?} created version {version}",
                    proposal.if_version
                )
            })?;
        }
        Ok(())
    }

    /// Answers a follower's pull, if the node can bound the age of its state.
    fn answer_pull(
        &mut self,
        to: ProcessIndex,
        from: ProcessIndex,
        pull: &Pull,
        sent_at: Timestamp,
    ) {
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
            self.net.send(to, from, Input::Reply(reply, sent_at));
        }
    }

    fn step_follower(&mut self, to: ProcessIndex, input: Input) {
        let now = self.net.clock(to);
        match input {
            Input::Tick => {
                // The first follower relays to the others, which sometimes pull from a node instead.
                let via_relay = to > NODES && self.net.chance(0.8);
                let upstream = if via_relay {
                    NODES
                } else {
                    self.net.random_below(NODES)
                };
                let pull = self.followers[to - NODES].pull(now, announcement(to));
                self.net.send(to, upstream, Input::Pull(to, pull, now));
            }
            Input::Pull(from, pull, sent_at) => {
                if let Some(reply) = self.followers[to - NODES].serve(now, &pull) {
                    self.net.send(to, from, Input::Reply(reply, sent_at));
                }
            }
            Input::Reply(reply, sent_at) => self.followers[to - NODES].apply_reply(sent_at, reply),
            Input::Message(..) | Input::Propose(_) | Input::Restart => {}
        }
    }

    /// Submits proposals of operators and injects faults.
    fn propose_and_inject_faults(&mut self, node: ProcessIndex) {
        if self.net.chance(0.12) {
            let conditional = self.net.chance(0.7);
            self.propose(conditional);
        }
        if self.net.chance(0.05)
            && let Some(resent) = self.proposals.last().cloned()
        {
            let to = self.net.random_below(NODES);
            self.net.send(node, to, Input::Propose(resent));
        }
        if self.net.chance(0.01) {
            self.nodes[node] = None;
            let downtime = Duration::from_millis(100 + 10 * self.net.random_below(200) as u64);
            self.net.schedule(downtime, node, Input::Restart);
        }
        if self.net.chance(0.004) {
            self.disks[node].with(|disk| disk.failing = true);
        }
        if self.net.chance(0.002) && self.disks_lost == 0 && self.nodes_agree() {
            // One disk is erased for good, while the other nodes have all committed entries.
            self.disks_lost += 1;
            self.disks[node].with(|disk| *disk = Disk::default());
            self.nodes[node] = None;
            self.net
                .schedule(Duration::from_millis(500), node, Input::Restart);
        }
        if self.net.chance(0.015) {
            let process = self.net.random_below(PROCESSES);
            self.net.isolate(process, PROCESSES);
        }
        if self.net.chance(0.01) {
            let (a, b) = (
                self.net.random_below(PROCESSES),
                self.net.random_below(PROCESSES),
            );
            let both = self.net.chance(0.5);
            self.net.cut_link(a, b, both);
        }
        if self.net.chance(0.03) {
            self.net.restore_links();
        }
    }

    /// Returns whether all nodes run and have the same commit index.
    fn nodes_agree(&self) -> bool {
        let commits: Vec<Index> = self
            .nodes
            .iter()
            .flatten()
            .map(Node::commit_index)
            .collect();
        commits.len() == NODES && commits.iter().min() == commits.iter().max()
    }

    fn propose(&mut self, conditional: bool) {
        let number = self.proposals.len();
        let newest = self.accepted.keys().last().copied().unwrap_or(0);
        let expected_version = conditional.then_some(newest);
        let organisation = Organisation {
            rate: 1.0 + f64::from(u32::try_from(number).unwrap_or(u32::MAX)),
            ..Organisation::default()
        };
        let proposal = Proposal {
            request: format!("r{number}").into(),
            operator: format!("op{}", number % 3),
            if_version: expected_version,
            changes: vec![Change::Organisation {
                id: format!("o{}", number % 5).into(),
                organisation: Some(organisation),
            }],
        };
        self.proposals.push(proposal.clone());
        // Several operators propose concurrently on condition of the same version.
        for to in 0..NODES {
            if self.net.chance(0.6) {
                self.net.schedule(
                    Duration::from_millis(1),
                    to,
                    Input::Propose(proposal.clone()),
                );
            }
        }
    }

    fn check_node(&mut self, process: ProcessIndex) -> Result<(), Violation> {
        let Some(node) = &self.nodes[process] else {
            return Ok(());
        };
        node.check()?;
        if node.is_leader() {
            let first = *self.leader_by_term.entry(node.term()).or_insert(process);
            Violation::unless(first == process, "one-leader-a-term", || {
                format!("term {} has the leaders {first} and {process}", node.term())
            })?;
        }
        for entry in node.committed_after(self.checked_up_to[process]) {
            let first = self
                .committed
                .entry(entry.index)
                .or_insert_with(|| entry.clone());
            Violation::unless(first == entry, "committed-stays", || {
                format!("node {process}: {entry:?} instead of {first:?}")
            })?;
        }
        self.checked_up_to[process] = node.commit_index();
        self.check_accepted_in_force(process)
    }

    /// Checks that a node at an accepted version has the change that was accepted as that version.
    fn check_accepted_in_force(&self, process: ProcessIndex) -> Result<(), Violation> {
        let Some(node) = &self.nodes[process] else {
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
            || {
                format!(
                    "node {process} lacks the change accepted as version {}",
                    config.version
                )
            },
        )
    }

    /// Checks that a follower with a valid lease has every version accepted at least one lease ago.
    fn check_followers(&self) -> Result<(), Violation> {
        let margin = LEASE_DURATION.mul_f64(1.0 + 4.0 * MAX_CLOCK_DRIFT);
        let now = self.net.now();
        let required = self
            .accepted
            .iter()
            .filter(|(_, (_, at))| *at + margin <= now)
            .map(|(version, _)| *version)
            .next_back()
            .unwrap_or(0);
        for (index, follower) in self.followers.iter().enumerate() {
            let valid = follower.freshness().is_valid(self.net.clock(NODES + index));
            let version = follower.config().version;
            Violation::unless(
                !valid || version >= required,
                "lease-implies-newest",
                || {
                    format!(
                        "follower {index} has a valid lease at version {version}, below {required}"
                    )
                },
            )?;
        }
        Ok(())
    }

    /// Stops all faults and checks that a new proposal is accepted and reaches all followers.
    fn check_recovery(&mut self) -> Result<(), Violation> {
        self.faults_enabled = false;
        self.net.stop_faults();
        for node in 0..NODES {
            self.disks[node].with(|disk| disk.failing = false);
            if self.nodes[node].is_none() {
                self.start_node(node, false);
            }
        }
        let deadline = self.net.now() + RECOVERY_TIMEOUT;
        let mut next_proposal = self.net.now() + RECOVERY_TIMEOUT / 4;
        let before = self.accepted.keys().last().copied().unwrap_or(0);
        while self.net.now() < deadline {
            self.step()?;
            if self.net.now() >= next_proposal {
                next_proposal = self.net.now() + Duration::from_millis(500);
                self.propose(false);
            }
            let newest = self.accepted.keys().last().copied().unwrap_or(0);
            let followers_current = self.followers.iter().all(|f| f.config().version >= newest);
            let leases_valid = (0..FOLLOWERS).all(|index| {
                self.followers[index]
                    .freshness()
                    .is_valid(self.net.clock(NODES + index))
            });
            if newest > before && followers_current && leases_valid {
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
            format!("no new version in force everywhere within {RECOVERY_TIMEOUT:?}: {nodes:?}")
        })
    }
}

fn announcement(process: ProcessIndex) -> Announcement {
    Announcement {
        process: format!("f{process}").into(),
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
