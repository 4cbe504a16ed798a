//! Queues and forwards requests to the backend servers for which this process is the sidecar.

mod engine;
mod forward;
mod job;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use celerycove_config::select::is_drained;
use celerycove_queue::{Action, Event, Fence, Gate, Options, Queue, Refusal, queue::Load, ramp};
use celerycove_settings::{Sidecar as Setting, schema};
use celerycove_sync::{
    Availability, Backend,
    announce::{Kind, Model},
};
use celerycove_types::{Map, id, label::parse_labels};
use celerycove_wire::method;
use tokio::sync::oneshot;

use crate::{
    http::{HttpClient, client},
    process::Process,
    state::SharedState,
};

pub use forward::FORWARD_PATH;

/// The interval between clock ticks of the queues, with which admission gates are updated.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between health probes of a backend server.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of consecutive failed probes after which a backend server counts as failing.
const PROBE_FAILURES: u32 = 2;

/// Tells a waiting request that it may start, or why the queue refused it.
type StartSender = oneshot::Sender<Result<(), Refusal>>;

/// A reverse proxy in front of one backend server, with a queue of waiting requests.
pub struct Sidecar {
    process: Arc<Process>,
    state: Arc<SharedState>,
    id: id::Backend,
    kind: Kind,
    setting: Setting,
    queue: Mutex<Queue>,
    waiting_starts: Mutex<Map<id::Request, StartSender>>,
    abort_signals: Mutex<Map<id::Request, Arc<tokio::sync::Notify>>>,
    fence: Mutex<Fence>,
    client: HttpClient,
    /// The boot id that the backend server last reported; zero if none yet.
    boot_id: AtomicU64,
    failed_probes: AtomicU32,
    failing: AtomicBool,
}

/// The sidecars of this process, one for each backend server.
pub struct Sidecars {
    by_backend: BTreeMap<id::Backend, Arc<Sidecar>>,
}

impl Sidecars {
    /// Starts a sidecar for each backend server in the settings.
    #[must_use]
    pub fn start(process: &Arc<Process>, state: &Arc<SharedState>) -> Arc<Self> {
        let by_backend: BTreeMap<id::Backend, Arc<Sidecar>> = process
            .settings
            .sidecars
            .iter()
            .map(|(name, setting)| {
                let id: id::Backend = name.as_str().into();
                let sidecar = Sidecar::new(process, state, id.clone(), setting.clone());
                (id, Arc::new(sidecar))
            })
            .collect();
        for sidecar in by_backend.values() {
            tokio::spawn(sidecar.clone().run_ticks());
            tokio::spawn(sidecar.clone().run_probes());
        }
        Arc::new(Self { by_backend })
    }

    /// Returns the backend servers as this process announces them to the cluster.
    #[must_use]
    pub fn announced_backends(&self) -> Vec<Backend> {
        self.by_backend
            .values()
            .map(|sidecar| sidecar.announce())
            .collect()
    }

    /// Returns the sidecar of a backend server.
    #[must_use]
    pub fn get(&self, backend: &str) -> Option<&Arc<Sidecar>> {
        self.by_backend.get(backend)
    }

    /// Renews or releases the leases on engine memory that programs hold.
    pub fn update_holds(&self, holds: method::MemoryLeases) {
        let Some(sidecar) = self.get(&holds.backend) else {
            return;
        };
        sidecar.step(Event::Renew(holds.renew));
        for program in holds.release {
            sidecar.step(Event::Release(program));
        }
    }

    /// Returns whether no request runs or waits at any backend server of this process.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.by_backend
            .values()
            .all(|sidecar| sidecar.queue().is_idle())
    }
}

impl Sidecar {
    fn new(
        process: &Arc<Process>,
        state: &Arc<SharedState>,
        id: id::Backend,
        setting: Setting,
    ) -> Self {
        let options = Options {
            ramp: ramp::Options {
                capacity: setting.capacity,
                ..ramp::Options::default()
            },
            max_queued: setting.max_waiting,
            ..Options::default()
        };
        Self {
            process: process.clone(),
            state: state.clone(),
            id,
            kind: match setting.kind {
                schema::Kind::Engine => Kind::Engine,
                schema::Kind::Service => Kind::Service,
            },
            setting,
            queue: Mutex::new(Queue::new(options, process.now())),
            waiting_starts: Mutex::default(),
            abort_signals: Mutex::default(),
            fence: Mutex::default(),
            client: client(),
            boot_id: AtomicU64::new(0),
            failed_probes: AtomicU32::new(0),
            failing: AtomicBool::new(false),
        }
    }

    fn backend_address(&self) -> SocketAddr {
        self.setting.backend
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load(&self) -> Load {
        self.queue().load()
    }

    /// Feeds an event to the queue and carries out the actions that it returns.
    fn step(&self, event: Event) {
        let actions = {
            let mut queue = self.queue();
            let actions = queue.step(self.process.now(), event);
            debug_assert_eq!(queue.check(), Ok(()));
            actions
        };
        for action in actions {
            match action {
                Action::Start(id) => self.notify_start(&id, Ok(())),
                Action::Refuse(id, refusal) => self.notify_start(&id, Err(refusal)),
                Action::Abort(id) => self.abort(&id),
                Action::Evict(program) => self.release_memory(program),
            }
        }
    }

    fn notify_start(&self, id: &id::Request, result: Result<(), Refusal>) {
        let sender = self
            .waiting_starts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(id);
        let delivered = sender.is_some_and(|sender| sender.send(result).is_ok());
        if !delivered && result.is_ok() {
            // The waiting request was dropped, so its slot is given back.
            let id = id.clone();
            self.step(Event::Finish { id, sample: None });
        }
    }

    fn abort(&self, id: &id::Request) {
        let signals = self
            .abort_signals
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(signal) = signals.get(id) {
            signal.notify_one();
        }
    }

    /// Computes whether new requests may start now, and if not, why.
    fn current_gate(&self) -> Gate {
        if self.process.availability() == Availability::Leaving {
            return Gate::Leaving;
        }
        if !self.state.is_fresh(self.process.now()) {
            return Gate::Stale;
        }
        let view = self.state.view();
        if is_drained(&view.config, &self.id, &self.process.data_centre) {
            return Gate::Drained;
        }
        Gate::Open
    }

    /// Updates the queue's admission gate. Called before each arrival and on each tick, so that no
    /// request starts while the configuration may be out of date or the backend server is drained.
    fn update_gate(&self) {
        let gate = self.current_gate();
        if self.queue().gate() != gate {
            log::info!(target: "queue", backend:% = self.id, gate:? = gate;
                "the admission gate changed");
            self.step(Event::Gate(gate));
        }
    }

    async fn run_ticks(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.update_gate();
            self.step(Event::Tick);
        }
    }

    fn announce(&self) -> Backend {
        let models = self.setting.models.iter().flatten();
        let failing = self.failing.load(Relaxed) || self.queue().ramp().is_failing();
        Backend {
            id: self.id.clone(),
            kind: self.kind,
            // The labels were validated when the settings were loaded.
            labels: parse_labels(&self.setting.labels).unwrap_or_default(),
            models: models.map(|model| parse_model(model)).collect(),
            route: self.setting.route.clone(),
            capacity: self.setting.capacity,
            failing,
        }
    }
}

/// Parses a model written `name@version+adapter+adapter`.
fn parse_model(text: &str) -> Model {
    let mut parts = text.trim().split('+');
    let base = parts.next().unwrap_or_default();
    let (name, version) = base.split_once('@').unwrap_or((base, "1"));
    Model {
        name: name.to_owned(),
        version: version.to_owned(),
        adapters: parts.map(ToOwned::to_owned).collect(),
    }
}
