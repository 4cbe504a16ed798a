//! Runs the queues of the backend servers that this process stands beside.

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
use celerycove_settings::{Sidecar as Setting, schema::Kind as SetKind};
use celerycove_sync::{
    Backend, Life,
    announce::{Kind, Model},
};
use celerycove_types::{Map, id, label::parse_labels};
use celerycove_wire::method;
use tokio::sync::oneshot;

use crate::{
    http::{HttpClient, client},
    process::Process,
    share::Share,
};

pub use forward::PATH;

/// How often queues are told that time passed and gates are set.
const TICK: Duration = Duration::from_millis(50);
/// How often a backend server is asked how it is.
const PROBE: Duration = Duration::from_millis(500);
/// How many probes in a row must fail before the backend server counts as failing.
const PROBES: u32 = 2;

/// Told when a request may start, or why it may not.
type Start = oneshot::Sender<Result<(), Refusal>>;

/// One backend server and its queue.
pub struct Sidecar {
    process: Arc<Process>,
    share: Arc<Share>,
    id: id::Backend,
    kind: Kind,
    setting: Setting,
    queue: Mutex<Queue>,
    starts: Mutex<Map<id::Request, Start>>,
    aborts: Mutex<Map<id::Request, Arc<tokio::sync::Notify>>>,
    fence: Mutex<Fence>,
    client: HttpClient,
    boot: AtomicU64,
    missed: AtomicU32,
    failing: AtomicBool,
}

/// The backend servers of this process.
pub struct Sidecars {
    all: BTreeMap<id::Backend, Arc<Sidecar>>,
}

impl Sidecars {
    /// Starts a queue for each.
    #[must_use]
    pub fn start(process: &Arc<Process>, share: &Arc<Share>) -> Arc<Self> {
        let all: BTreeMap<id::Backend, Arc<Sidecar>> = process
            .settings
            .sidecars
            .iter()
            .map(|(name, setting)| {
                let id: id::Backend = name.as_str().into();
                let sidecar = Sidecar::new(process, share, id.clone(), setting.clone());
                (id, Arc::new(sidecar))
            })
            .collect();
        for sidecar in all.values() {
            tokio::spawn(sidecar.clone().run());
            tokio::spawn(sidecar.clone().probe());
        }
        Arc::new(Self { all })
    }

    /// The backend servers as they are announced.
    #[must_use]
    pub fn announce(&self) -> Vec<Backend> {
        self.all
            .values()
            .map(|sidecar| sidecar.announce())
            .collect()
    }

    /// The sidecar of a backend server.
    #[must_use]
    pub fn get(&self, backend: &str) -> Option<&Arc<Sidecar>> {
        self.all.get(backend)
    }

    /// Takes holds of programs in.
    pub fn holds(&self, holds: method::Holds) {
        let Some(sidecar) = self.get(&holds.backend) else {
            return;
        };
        sidecar.step(Event::Renew(holds.renew));
        for program in holds.release {
            sidecar.step(Event::Release(program));
        }
    }

    /// Whether nothing runs or waits anywhere.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.all.values().all(|sidecar| sidecar.queue().is_idle())
    }
}

impl Sidecar {
    fn new(process: &Arc<Process>, share: &Arc<Share>, id: id::Backend, setting: Setting) -> Self {
        let options = Options {
            ramp: ramp::Options {
                capacity: setting.capacity,
                ..ramp::Options::default()
            },
            waiting: setting.waiting,
            ..Options::default()
        };
        Self {
            process: process.clone(),
            share: share.clone(),
            id,
            kind: match setting.kind {
                SetKind::Engine => Kind::Engine,
                SetKind::Service => Kind::Service,
            },
            setting,
            queue: Mutex::new(Queue::new(options, process.now())),
            starts: Mutex::default(),
            aborts: Mutex::default(),
            fence: Mutex::default(),
            client: client(),
            boot: AtomicU64::new(0),
            missed: AtomicU32::new(0),
            failing: AtomicBool::new(false),
        }
    }

    /// Where the backend server listens.
    fn backend(&self) -> SocketAddr {
        self.setting.backend
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load(&self) -> Load {
        self.queue().load()
    }

    /// Takes an event in and does what follows from it.
    fn step(&self, event: Event) {
        let actions = {
            let mut queue = self.queue();
            let actions = queue.step(self.process.now(), event);
            debug_assert_eq!(queue.check(), Ok(()));
            actions
        };
        for action in actions {
            match action {
                Action::Start(id) => self.start(&id, Ok(())),
                Action::Refuse(id, refusal) => self.start(&id, Err(refusal)),
                Action::Abort(id) => self.abort(&id),
                Action::Evict(program) => self.evict(program),
            }
        }
    }

    fn start(&self, id: &id::Request, result: Result<(), Refusal>) {
        let start = self
            .starts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(id);
        let told = start.is_some_and(|start| start.send(result).is_ok());
        if !told && result.is_ok() {
            // Who waited has gone: the place is free again.
            let id = id.clone();
            self.step(Event::Finish { id, sample: None });
        }
    }

    fn abort(&self, id: &id::Request) {
        let aborts = self.aborts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(abort) = aborts.get(id) {
            abort.notify_one();
        }
    }

    fn gate(&self) -> Gate {
        if self.process.life() == Life::Leaving {
            return Gate::Leaving;
        }
        if !self.share.is_fresh(self.process.now()) {
            return Gate::Stale;
        }
        let view = self.share.view();
        if is_drained(&view.config, &self.id, &self.process.data_centre) {
            return Gate::Drained;
        }
        Gate::Open
    }

    /// Sets the gate before each arrival and with each tick, so that a stale or drained sidecar
    /// starts nothing.
    fn set_gate(&self) {
        let gate = self.gate();
        if self.queue().gate() != gate {
            log::info!(target: "queue", backend:% = self.id, gate:? = gate; "the gate changed");
            self.step(Event::Gate(gate));
        }
    }

    async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.set_gate();
            self.step(Event::Tick);
        }
    }

    fn announce(&self) -> Backend {
        let models = self.setting.models.iter().flatten();
        let failing = self.failing.load(Relaxed) || self.queue().ramp().is_failing();
        Backend {
            id: self.id.clone(),
            kind: self.kind,
            // Settings were checked when they were read.
            labels: parse_labels(&self.setting.labels).unwrap_or_default(),
            models: models.map(|model| parse_model(model)).collect(),
            route: self.setting.route.clone(),
            capacity: self.setting.capacity,
            failing,
        }
    }
}

/// Reads a model written `name@version+adapter+adapter`.
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
