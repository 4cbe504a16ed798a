//! The shared state as this process has it, read without locks on the path of a request.

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

/// One version of what all processes share.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration.
    pub config: Arc<Config>,
    /// The placement of shards.
    pub placement: Arc<Placement>,
    /// The processes known.
    pub directory: Arc<Directory>,
    /// Counts the views of this process.
    pub generation: u64,
}

impl View {
    /// The shard of a name, and the process that serves it if there is one.
    #[must_use]
    pub fn home_of(&self, name: &str) -> Option<(id::Shard, id::Process)> {
        let shard = self.placement.shard_of(name)?;
        let primary = self.placement.assignment(shard)?.primary.as_ref()?;
        Some((shard, primary.process.clone()))
    }
}

/// The shared state of one process.
pub struct Share {
    view: ArcSwap<View>,
    /// Until when new work may start, in microseconds of the process's clock.
    valid_until: AtomicU64,
    lease: Duration,
    follower: Mutex<Follower>,
    changed: watch::Sender<u64>,
}

impl Share {
    /// Starts with nothing.
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

    /// The newest view.
    pub fn view(&self) -> Guard<Arc<View>> {
        self.view.load()
    }

    /// Whether the configuration held is surely new enough to start work under it.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        micros(now) < self.valid_until.load(Relaxed)
    }

    /// How long ago the configuration held was surely the newest.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        let until = self.valid_until.load(Relaxed);
        let until = (until > 0).then_some(Duration::from_micros(until))?;
        Some((now + self.lease).saturating_sub(until))
    }

    /// Tells when the view changes.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The question to upstream.
    pub fn pull(&self, now: Timestamp, own: Announcement) -> Pull {
        self.follower().pull(now, own)
    }

    /// Takes upstream's answer.
    pub fn take(&self, asked: Timestamp, reply: Reply) {
        let mut follower = self.follower();
        follower.take(asked, reply);
        self.publish(&follower);
    }

    /// Answers a process that pulls from this one.
    pub fn serve(&self, now: Timestamp, pull: &Pull) -> Option<Reply> {
        self.follower().serve(now, pull)
    }

    /// Takes over what the control leader in this process has applied.
    pub fn mirror(&self, feed: &Feed, placement: &Placement, confirmed: Option<Timestamp>) {
        let mut follower = self.follower();
        follower.mirror(feed, placement, confirmed);
        self.publish(&follower);
    }

    /// Lets the control leader work on the directory.
    pub fn with_follower<T>(&self, work: impl FnOnce(&mut Follower) -> T) -> T {
        let mut follower = self.follower();
        let result = work(&mut follower);
        self.publish(&follower);
        result
    }

    fn follower(&self) -> MutexGuard<'_, Follower> {
        self.follower.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, follower: &Follower) {
        debug_assert_eq!(follower.check(), Ok(()));
        if let Some(confirmed) = follower.freshness().confirmed() {
            self.valid_until
                .store(micros(confirmed + self.lease), Relaxed);
        }
        let current = self.view.load();
        let directory_same = follower.directory.position() == current.directory.position();
        let same = directory_same
            && Arc::ptr_eq(follower.config(), &current.config)
            && Arc::ptr_eq(follower.placement(), &current.placement);
        if same {
            return;
        }
        let directory = if directory_same {
            current.directory.clone()
        } else {
            Arc::new(Directory::clone(&follower.directory))
        };
        let generation = current.generation + 1;
        self.view.store(Arc::new(View {
            config: follower.config().clone(),
            placement: follower.placement().clone(),
            directory,
            generation,
        }));
        self.changed.send_replace(generation);
    }
}
