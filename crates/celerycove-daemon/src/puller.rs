//! Keeps the shared state up to date by pulling it from an upstream process, and announces this
//! process there.

use std::{sync::Arc, time::Duration};

use celerycove_control::placement::stable_hash;
use celerycove_sync::{Announcement, Backend, Pull, Reply, relay};
use celerycove_types::id;
use celerycove_wire::method;
use tokio::sync::Notify;

use crate::{
    control::Control, home::Replicas, peer::Peers, process::Process, sidecar::Sidecars,
    state::SharedState,
};

/// Pulls the shared state from upstream, announces this process and answers downstream pulls.
pub struct Puller {
    process: Arc<Process>,
    state: Arc<SharedState>,
    peers: Arc<Peers>,
    control: Option<Arc<Control>>,
    replicas: Option<Arc<Replicas>>,
    sidecars: Arc<Sidecars>,
    /// Makes the loop pull or announce before the interval has passed.
    pub wake: Notify,
}

impl Puller {
    /// Spawns the task that pulls and announces.
    pub fn start(
        process: Arc<Process>,
        state: Arc<SharedState>,
        peers: Arc<Peers>,
        control: Option<Arc<Control>>,
        replicas: Option<Arc<Replicas>>,
        sidecars: Arc<Sidecars>,
    ) -> Arc<Self> {
        let puller = Arc::new(Self {
            process,
            state,
            peers,
            control,
            replicas,
            sidecars,
            wake: Notify::new(),
        });
        tokio::spawn(puller.clone().run());
        puller
    }

    /// Answers a pull of another process; on the control leader, also records its announcements.
    pub fn answer_pull(&self, pull: &Pull) -> Option<Reply> {
        let now = self.process.now();
        if self.leads() {
            self.state.with_follower(|follower| {
                for announcement in &pull.announcements {
                    follower
                        .directory
                        .record_announcement(announcement, &pull.process, now);
                }
                follower.directory.record_pull(&pull.process, now);
                for silent in &pull.silent {
                    follower.directory.record_silence(silent, &pull.process);
                }
            });
        }
        self.state.answer_pull(now, pull)
    }

    /// Builds the announcements of this process, all with a new revision.
    #[must_use]
    pub fn announcements(&self) -> Vec<Announcement> {
        let backends = self.sidecars.announced_backends();
        let revision = u64::try_from(self.process.now().as_millis()).unwrap_or(u64::MAX);
        if backends.len() <= 1 {
            return vec![self.announcement(None, backends.into_iter().next(), revision)];
        }
        // An announcement holds one backend server at most, so a process with several sidecars
        // makes one for itself and another for each of them.
        let backend_announcements = backends.into_iter().map(|backend| {
            let name = format!("{}/{}", self.process.name, backend.id);
            self.announcement(Some(name.into()), Some(backend), revision)
        });
        std::iter::once(self.announcement(None, None, revision))
            .chain(backend_announcements)
            .collect()
    }

    fn announcement(
        &self,
        name: Option<id::Process>,
        backend: Option<Backend>,
        revision: u64,
    ) -> Announcement {
        let is_process = name.is_none();
        let replicas = self.replicas.as_ref().filter(|_| is_process);
        Announcement {
            process: name.unwrap_or_else(|| self.process.name.clone()),
            incarnation: self.process.incarnation,
            revision,
            data_centre: self.process.data_centre.clone(),
            address: self.process.address(),
            availability: self.process.availability(),
            shard_incarnation: replicas.map(|replicas| replicas.incarnation()),
            caught_up_learners: replicas
                .map(|replicas| replicas.caught_up_epochs())
                .unwrap_or_default(),
            backend,
            relay: is_process && self.process.settings.process.relay,
        }
    }

    fn leads(&self) -> bool {
        self.control.as_ref().is_some_and(|c| c.summary().leads)
    }

    async fn run(self: Arc<Self>) {
        let interval = self.process.settings.process.pull_interval.0;
        let mut failures = 0;
        loop {
            if self.leads() {
                self.announce_locally();
            } else if self.pull(failures).await {
                failures = 0;
            } else {
                failures += 1;
            }
            let wait = if failures > 0 { interval / 4 } else { interval };
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Records the announcements of this process in the directory that it leads.
    fn announce_locally(&self) {
        let now = self.process.now();
        let own = self.stable_announcements();
        self.state.with_follower(|follower| {
            for announcement in own {
                follower
                    .directory
                    .record_announcement(&announcement, &self.process.name, now);
            }
            follower.directory.record_pull(&self.process.name, now);
        });
    }

    /// Builds the announcements of this process and reuses the known ones that have not changed,
    /// so that a revision only grows with a change.
    fn stable_announcements(&self) -> Vec<Announcement> {
        let view = self.state.view();
        self.announcements()
            .into_iter()
            .map(|fresh| match view.directory.get(&fresh.process) {
                Some(known) if differ_only_in_revision(known, &fresh) => known.clone(),
                _ => fresh,
            })
            .collect()
    }

    /// Pulls once. Returns false if there was no reply or its state is too old.
    async fn pull(&self, failures: usize) -> bool {
        let Some(upstream) = self.upstream(failures) else {
            return false;
        };
        let sent_at = self.process.now();
        let mut announcements = self.stable_announcements();
        let Some(last) = announcements.pop() else {
            return false;
        };
        let mut pull = self.state.build_pull(sent_at, last);
        pull.process = self.process.name.clone();
        pull.announcements.extend(announcements);
        let result = self
            .peers
            .call::<_, Option<Reply>>(&upstream, method::PULL, &pull)
            .await;
        match result {
            Ok(Some(reply)) => {
                // An old state is applied, but the next pull goes to another process, which may
                // have a newer one.
                let fresh = reply.age < self.process.settings.process.max_config_age.0 / 2;
                self.state.apply_reply(sent_at, reply);
                fresh
            }
            Ok(None) => false,
            Err(error) => {
                log::debug!(target: "sync", to:% = upstream, error:% = error;
                    "pull from upstream failed");
                false
            }
        }
    }

    /// Selects the process to pull from: a control instance prefers the leader, a relay uses the
    /// control instances, and others prefer their relays. Each consecutive failure moves on to
    /// the next candidate.
    fn upstream(&self, failures: usize) -> Option<id::Process> {
        let leader = self
            .control
            .as_ref()
            .and_then(|c| c.summary().leader.clone());
        let view = self.state.view();
        let relays = match &self.control {
            Some(_) => Vec::new(),
            None => relay::upstream(
                &view.directory,
                &self.process.name,
                &self.process.data_centre,
            ),
        };
        let mut control: Vec<id::Process> = self
            .process
            .settings
            .process
            .control
            .iter()
            .map(|peer| peer.name.as_str().into())
            .filter(|name| *name != self.process.name)
            .collect();
        control.sort_by_key(|name| stable_hash(&format!("{}/{name}", self.process.name)));
        let candidates: Vec<id::Process> =
            leader.into_iter().chain(relays).chain(control).collect();
        let index = failures.checked_rem(candidates.len())?;
        candidates.get(index).cloned()
    }
}

/// Whether two announcements are equal apart from their revision.
fn differ_only_in_revision(known: &Announcement, fresh: &Announcement) -> bool {
    Announcement {
        revision: known.revision,
        ..fresh.clone()
    } == *known
}

/// Time allowed for a change of this process to reach the control leader. A leaving process keeps
/// serving for this long.
pub const PROPAGATION_DELAY: Duration = Duration::from_millis(600);
