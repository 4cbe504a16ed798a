//! Keeps the shared state up to date by pulling from upstream.

use std::{sync::Arc, time::Duration};

use celerycove_control::placement::stable_hash;
use celerycove_sync::{Announcement, Backend, Pull, Reply, relay};
use celerycove_types::id;
use celerycove_wire::method;
use tokio::sync::Notify;

use crate::{
    control::Control, home::Homes, peer::Peers, process::Process, share::Share, sidecar::Sidecars,
};

/// Pulls shared state and announces this process.
pub struct Follow {
    process: Arc<Process>,
    share: Arc<Share>,
    peers: Arc<Peers>,
    control: Option<Arc<Control>>,
    homes: Option<Arc<Homes>>,
    sidecars: Arc<Sidecars>,
    /// Wakes the loop before the interval is over.
    pub hurry: Notify,
}

impl Follow {
    /// Starts pulling.
    pub fn start(
        process: Arc<Process>,
        share: Arc<Share>,
        peers: Arc<Peers>,
        control: Option<Arc<Control>>,
        homes: Option<Arc<Homes>>,
        sidecars: Arc<Sidecars>,
    ) -> Arc<Self> {
        let follow = Arc::new(Self {
            process,
            share,
            peers,
            control,
            homes,
            sidecars,
            hurry: Notify::new(),
        });
        tokio::spawn(follow.clone().run());
        follow
    }

    /// Answers a process that pulls from this one.
    pub fn serve(&self, pull: &Pull) -> Option<Reply> {
        let now = self.process.now();
        if self.leads() {
            self.share.with_follower(|follower| {
                for announcement in &pull.announcements {
                    follower.directory.hear(announcement, &pull.process, now);
                }
                follower.directory.hear_relay(&pull.process, now);
                for silent in &pull.silent {
                    follower.directory.miss(silent, &pull.process);
                }
            });
        }
        self.share.serve(now, pull)
    }

    /// What this process tells the others about itself.
    #[must_use]
    pub fn announcements(&self) -> Vec<Announcement> {
        let backends = self.sidecars.announce();
        let revision = u64::try_from(self.process.now().as_millis()).unwrap_or(u64::MAX);
        if backends.len() <= 1 {
            return vec![self.announcement(None, backends.into_iter().next(), revision)];
        }
        // A process beside several backend servers announces itself once for each.
        let each = backends.into_iter().map(|backend| {
            let name = format!("{}/{}", self.process.name, backend.id);
            self.announcement(Some(name.into()), Some(backend), revision)
        });
        std::iter::once(self.announcement(None, None, revision))
            .chain(each)
            .collect()
    }

    fn announcement(
        &self,
        name: Option<id::Process>,
        backend: Option<Backend>,
        revision: u64,
    ) -> Announcement {
        let whole = name.is_none();
        let homes = self.homes.as_ref().filter(|_| whole);
        Announcement {
            process: name.unwrap_or_else(|| self.process.name.clone()),
            incarnation: self.process.incarnation,
            revision,
            data_centre: self.process.data_centre.clone(),
            address: self.process.address(),
            life: self.process.life(),
            home: homes.map(|homes| homes.incarnation()),
            learned: homes.map(|homes| homes.learned()).unwrap_or_default(),
            backend,
            relay: whole && self.process.settings.process.relay,
        }
    }

    fn leads(&self) -> bool {
        self.control.as_ref().is_some_and(|c| c.summary().leads)
    }

    async fn run(self: Arc<Self>) {
        let interval = self.process.settings.process.pull.0;
        let mut failures = 0;
        loop {
            if self.leads() {
                self.hear_own();
            } else if self.pull(failures).await {
                failures = 0;
            } else {
                failures += 1;
            }
            let wait = if failures > 0 { interval / 4 } else { interval };
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.hurry.notified() => {}
            }
        }
    }

    fn hear_own(&self) {
        let now = self.process.now();
        let own = self.own();
        self.share.with_follower(|follower| {
            for announcement in own {
                follower
                    .directory
                    .hear(&announcement, &self.process.name, now);
            }
            follower.directory.hear_relay(&self.process.name, now);
        });
    }

    /// The announcements whose revision moves only when something changed.
    fn own(&self) -> Vec<Announcement> {
        let view = self.share.view();
        self.announcements()
            .into_iter()
            .map(|fresh| match view.directory.get(&fresh.process) {
                Some(known) if same(known, &fresh) => known.clone(),
                _ => fresh,
            })
            .collect()
    }

    /// Pulls once; false if nobody answered with a fresh statement.
    async fn pull(&self, failures: usize) -> bool {
        let Some(target) = self.target(failures) else {
            return false;
        };
        let asked = self.process.now();
        let mut own = self.own();
        let Some(first) = own.pop() else {
            return false;
        };
        let mut pull = self.share.pull(asked, first);
        pull.process = self.process.name.clone();
        pull.announcements.extend(own);
        let answered = self
            .peers
            .ask::<_, Option<Reply>>(&target, method::PULL, &pull)
            .await;
        match answered {
            Ok(Some(reply)) => {
                // An old statement is taken, but somebody else may have a fresh one.
                let fresh = reply.age < self.process.settings.process.freshness.0 / 2;
                self.share.take(asked, reply);
                fresh
            }
            Ok(None) => false,
            Err(error) => {
                log::debug!(target: "sync", to:% = target, error:% = error; "could not pull");
                false
            }
        }
    }

    /// From whom to pull: a control instance from the leader, a relay from control, others from
    /// their relays and from control if those fail.
    fn target(&self, failures: usize) -> Option<id::Process> {
        let leader = self
            .control
            .as_ref()
            .and_then(|c| c.summary().leader.clone());
        let view = self.share.view();
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
        let all: Vec<id::Process> = leader.into_iter().chain(relays).chain(control).collect();
        let at = failures.checked_rem(all.len())?;
        all.get(at).cloned()
    }
}

/// Tells whether two announcements differ in nothing but their revision.
fn same(known: &Announcement, fresh: &Announcement) -> bool {
    Announcement {
        revision: known.revision,
        ..fresh.clone()
    } == *known
}

/// The shortest time in which a change of this process reaches the control leader.
pub const ANNOUNCE: Duration = Duration::from_millis(600);
