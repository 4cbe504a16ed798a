//! How many crashes each request is blamed for.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerycove_types::{Map, Timestamp};

use crate::{Digest, evidence::Server, table::CrashRecord};

/// Crashes that quarantine a request: one may be chance, and two a coincidence in a busy fleet.
pub(crate) const MAX_BLAMED: u32 = 3;
/// Crashes one after the other that quarantine a request whatever other requests ran beside it:
/// enough that those which are to blame have been told apart, if there are any.
pub(crate) const MAX_SEQUENTIAL: u32 = 5;
/// The first quarantine: long enough for someone to look, or for a caller to give up. It is also what
/// an innocent request that happened to run on three crashing backend servers may lose.
const BASE_PERIOD: Duration = Duration::from_mins(2);
/// The longest quarantine; it doubles with each trial that crashes another backend server.
const MAX_PERIOD: Duration = Duration::from_mins(8);

/// What the crashes say of one request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Standing {
    /// Crashes that it is blamed for.
    pub(crate) blamed: u32,
    /// Crashes while it ran, each of a run that began after the crash before.
    pub(crate) sequential: u32,
    /// The last of these.
    last: Option<Timestamp>,
    /// When its quarantine ends, if it is quarantined.
    pub(crate) until: Option<Timestamp>,
    period: Duration,
    /// The backend servers that crashed, in order.
    pub(crate) servers: Vec<Server>,
    /// Whether it is the standing of a target: it is not to blame if one of its requests alone may be.
    is_target: bool,
    /// The requests that ran at all these crashes.
    common: Option<BTreeSet<Digest>>,
}

impl Standing {
    /// Whether a run that began at `started` came after all crashes counted so far. Equal requests
    /// that were in flight together when many backend servers were lost count once.
    fn is_sequential(&self, started: Timestamp) -> bool {
        self.last.is_none_or(|last| started >= last)
    }

    fn is_over(&self) -> bool {
        let is_one_request = self
            .common
            .as_ref()
            .is_some_and(|common| !common.is_empty());
        (self.blamed >= MAX_BLAMED || self.sequential >= MAX_SEQUENTIAL)
            && !(self.is_target && is_one_request)
    }

    /// Records a crash at which these requests to it ran.
    fn record(
        &mut self,
        at: Timestamp,
        server: &Server,
        is_blamed: bool,
        requests: BTreeSet<Digest>,
    ) {
        self.common = Some(match self.common.take() {
            Some(common) => &common & &requests,
            None => requests,
        });
        self.sequential += 1;
        self.blamed += u32::from(is_blamed);
        self.last = Some(at);
        self.servers.push(server.clone());
        match self.until {
            // Runs that began before all processes knew don't make the quarantine longer.
            Some(until) if at < until => self.until = Some(until.max(at + self.period)),
            Some(_) => {
                self.period = (self.period * 2).min(MAX_PERIOD);
                self.until = Some(at + self.period);
            }
            None if self.is_over() => {
                self.period = BASE_PERIOD;
                self.until = Some(at + self.period);
            }
            None => {}
        }
    }
}

/// Computes the standing of each request and each target from the runs that began after it was last
/// vindicated.
///
/// Crashes are taken in the order in which they happened. Each is blamed on those of its requests
/// that are blamed for the most crashes before it, so that those which merely ran beside a known one
/// are not; likewise on targets. A later crash thus never excuses a request.
pub(crate) fn standings(
    crashes: &BTreeMap<Server, CrashRecord>,
    vindicated_at: impl Fn(&Digest) -> Option<Timestamp>,
) -> Map<Digest, Standing> {
    let mut standings: Map<Digest, Standing> = Map::default();
    let mut in_order: Vec<_> = crashes.iter().collect();
    in_order.sort_by_key(|(server, crash)| (crash.at, *server));
    let is_suspect =
        |digest: &Digest, started| vindicated_at(digest).is_none_or(|at| started >= at);
    for (server, crash) in in_order {
        let blamed = |standings: &Map<Digest, Standing>, digest| {
            standings.get(digest).map_or(0, |known| known.blamed)
        };
        let requests: Vec<_> = crash
            .runs
            .iter()
            .filter(|(digest, run)| is_suspect(digest, run.started))
            .collect();
        let mut targets: BTreeMap<Digest, Target> = BTreeMap::new();
        for (digest, run) in &crash.runs {
            if is_suspect(&run.target, run.started) {
                let target = targets.entry(run.target).or_default();
                target.started = target.started.max(run.started);
                target.requests.insert(*digest);
                target.blamed = blamed(&standings, &run.target);
            }
        }
        let most = requests
            .iter()
            .map(|(digest, _)| blamed(&standings, digest))
            .max();
        let first = targets.iter().max_by_key(|(_, target)| target.blamed);
        let first = first.map(|(digest, target)| (*digest, target.blamed));
        let others = targets
            .iter()
            .filter(|(digest, _)| first.is_some_and(|(f, _)| f != **digest));
        let second = others.map(|(_, target)| target.blamed).max();
        for (digest, run) in requests {
            // A target excuses the requests to others, not those to itself.
            let rival = first
                .filter(|(target, _)| *target != run.target)
                .map(|(_, most)| most);
            let standing = standings.entry(*digest).or_default();
            if standing.is_sequential(run.started) {
                let is_blamed = Some(standing.blamed) >= most.max(rival.or(second));
                standing.record(crash.at, server, is_blamed, BTreeSet::new());
            }
        }
        for (digest, target) in targets {
            let standing = standings.entry(digest).or_default();
            standing.is_target = true;
            if standing.is_sequential(target.started) {
                let is_blamed = first.is_none_or(|(_, most)| standing.blamed >= most);
                standing.record(crash.at, server, is_blamed, target.requests);
            }
        }
    }
    standings
}

/// The requests to one target at a crash.
#[derive(Debug, Default)]
struct Target {
    requests: BTreeSet<Digest>,
    /// When the last of them began.
    started: Timestamp,
    /// The earlier crashes that the target is blamed for.
    blamed: u32,
}
