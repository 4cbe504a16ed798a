//! This process's copy of the shared state, readable without locks while requests are handled.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, Guard};
use celerycove_config::{Config, Feed};
use celerycove_control::Placement;
use celerycove_sync::{Announcement, Directory, Follower, Pull, Reply};
use celerycove_types::{Timestamp, id, micros};
use tokio::sync::watch;

/// An immutable snapshot of the shared state.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The configuration.
    pub config: Arc<Config>,
    /// The placement of shards.
    pub placement: Arc<Placement>,
    /// The known processes.
    pub directory: Arc<Directory>,
    /// Number of this snapshot, counted by this process.
    pub generation: u64,
}

impl Snapshot {
    /// Returns the shard of a name and its primary process, or `None` if the shard has no primary.
    #[must_use]
    pub fn primary_of(&self, name: &str) -> Option<(id::Shard, id::Process)> {
        let shard = self.placement.shard_of(name)?;
        let primary = self.placement.assignment(shard)?.primary.as_ref()?;
        Some((shard, primary.process.clone()))
    }
}

/// This process's copy of the shared state.
pub struct SharedState {
    view: ArcSwap<Snapshot>,
    /// When the lease on the configuration ends, in microseconds of the process's clock.
    valid_until: AtomicU64,
    lease: Duration,
    follower: Mutex<Follower>,
    changed: watch::Sender<u64>,
}

impl SharedState {
    /// Creates an empty state, which counts as stale until the first reply.
    #[must_use]
    pub fn new(lease: Duration, silence: Duration) -> Arc<Self> {
        Arc::new(Self {
            view: ArcSwap::default(),
            valid_until: AtomicU64::new(0),
            lease,
            follower: Mutex::new(Follower::new(lease, silence)),
            changed: watch::Sender::new(0),
        })
    }

    /// Returns the latest snapshot.
    pub fn view(&self) -> Guard<Arc<Snapshot>> {
        self.view.load()
    }

    /// Whether the lease on the configuration is valid, so that new work may start under it.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        micros(now) < self.valid_until.load(Relaxed)
    }

    /// Returns an upper bound on the age of the configuration, or `None` if there is none yet.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        let until = self.valid_until.load(Relaxed);
        let until = (until > 0).then_some(Duration::from_micros(until))?;
        Some((now + self.lease).saturating_sub(until))
    }

    /// Subscribes to the generation of the latest snapshot.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Builds the pull request for the upstream process.
    pub fn build_pull(&self, now: Timestamp, own: Announcement) -> Pull {
        self.follower().pull(now, own)
    }

    /// Applies the upstream reply to a pull that was sent at `sent_at`.
    pub fn apply_reply(&self, sent_at: Timestamp, reply: Reply) {
        let mut follower = self.follower();
        follower.apply_reply(sent_at, reply);
        self.publish(&follower);
    }

    /// Answers a pull of another process.
    pub fn answer_pull(&self, now: Timestamp, pull: &Pull) -> Option<Reply> {
        self.follower().serve(now, pull)
    }

    /// Copies the state that the control leader in this process has applied.
    pub fn mirror(&self, feed: &Feed, placement: &Placement, confirmed: Option<Timestamp>) {
        let mut follower = self.follower();
        follower.mirror(feed, placement, confirmed);
        self.publish(&follower);
    }

    /// Runs `work` on the follower, for example to change the control leader's directory, and
    /// publishes the result.
    pub fn with_follower<T>(&self, work: impl FnOnce(&mut Follower) -> T) -> T {
        let mut follower = self.follower();
        let result = work(&mut follower);
        self.publish(&follower);
        result
    }

    fn follower(&self) -> MutexGuard<'_, Follower> {
        self.follower.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Renews the lease and, if anything has changed, publishes a new snapshot.
    fn publish(&self, follower: &Follower) {
        debug_assert_eq!(follower.check(), Ok(()));
        if let Some(confirmed) = follower.freshness().confirmed_at() {
            self.valid_until
                .store(micros(confirmed + self.lease), Relaxed);
        }
        let current = self.view.load();
        let directory_unchanged = follower.directory.position() == current.directory.position();
        let unchanged = directory_unchanged
            && Arc::ptr_eq(follower.config(), &current.config)
            && Arc::ptr_eq(follower.placement(), &current.placement);
        if unchanged {
            return;
        }
        let directory = if directory_unchanged {
            current.directory.clone()
        } else {
            Arc::new(Directory::clone(&follower.directory))
        };
        let generation = current.generation + 1;
        self.view.store(Arc::new(Snapshot {
            config: follower.config().clone(),
            placement: follower.placement().clone(),
            directory,
            generation,
        }));
        self.changed.send_replace(generation);
    }
}
