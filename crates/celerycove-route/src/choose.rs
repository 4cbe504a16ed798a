//! Selects a backend server by comparing a few candidates.

use std::time::Duration;

use celerycove_types::{Timestamp, id};
use rand::{Rng, RngExt};

use crate::{
    pool::{Member, Pool},
    stats::Stats,
};

/// Parameters of a selection.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Number of random candidates, in addition to the backend server where the program last ran.
    pub probes: usize,
    /// Time constant with which the weight of a load report decays.
    pub report_decay: Duration,
    /// Delay added for a backend server in another data centre.
    pub remote_delay: Duration,
    /// Time to prefill one uncached token of a prompt, relative to generating one token.
    pub prefill_cost: f64,
    /// Time per unit of cost where nothing has been measured yet.
    pub default_unit_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probes: 3,
            report_decay: Duration::from_secs(5),
            remote_delay: Duration::from_millis(1),
            prefill_cost: 0.05,
            default_unit_time: Duration::from_millis(10),
        }
    }
}

/// A request to place on a backend server.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Number of tokens in the prompt; zero for a plain service.
    pub prompt_tokens: id::Tokens,
    /// Of these, the tokens that the engine where the program last ran may have cached.
    pub cached_tokens: id::Tokens,
    /// Number of tokens expected to be generated; one for a plain service.
    pub output_tokens: id::Tokens,
    /// The backend server where the program last ran.
    pub last_backend: Option<id::Backend>,
    /// Backend servers that already refused this request.
    pub excluded: Vec<id::Backend>,
}

/// Why a backend server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The program last ran there, so its history may be cached.
    Cached,
    /// It has the shortest expected time to completion.
    Soonest,
    /// It is the only candidate.
    Only,
}

/// A selected backend server.
#[derive(Debug, Clone)]
pub struct Selection<'a> {
    /// The backend server.
    pub member: &'a Member,
    /// Why it was selected.
    pub reason: Reason,
    /// Expected time to completion.
    pub expected: Duration,
    /// Cost of the request there, to be recorded in the load statistics.
    pub cost: f64,
    /// Number of candidates that were compared.
    pub candidates: usize,
}

/// A member's own speed is used only where it is this many times slower than the average.
const SLOW_FACTOR: f64 = 1.5;
/// Maximum number of candidates.
const MAX_CANDIDATES: usize = 8;

/// The members that a selection compares.
struct Candidates<'a, 'n> {
    members: [Option<&'a Member>; MAX_CANDIDATES],
    count: usize,
    excluded: &'n [id::Backend],
}

impl<'a, 'n> Candidates<'a, 'n> {
    fn new(excluded: &'n [id::Backend]) -> Self {
        Self {
            members: [None; MAX_CANDIDATES],
            count: 0,
            excluded,
        }
    }

    fn add(&mut self, member: &'a Member) {
        let is_listed = self.members[..self.count]
            .iter()
            .flatten()
            .any(|other| std::ptr::eq(*other, member));
        if !is_listed && self.count < MAX_CANDIDATES && !self.excluded.contains(&member.backend) {
            self.members[self.count] = Some(member);
            self.count += 1;
        }
    }
}

/// Selects a member of the pool; returns `None` if no member is left to try.
pub fn select<'a>(
    now: Timestamp,
    pool: &'a Pool,
    request: &Request,
    options: &Options,
    rng: &mut impl Rng,
) -> Option<Selection<'a>> {
    let mut candidates = Candidates::new(&request.excluded);
    if let Some(last) = request
        .last_backend
        .as_ref()
        .and_then(|last| pool.find(last))
    {
        candidates.add(last);
    }
    add_random(pool, options.probes, rng, &mut candidates);
    if candidates.count == 0 {
        // All sampled members have refused the request; try any member before giving up.
        for member in pool.members() {
            candidates.add(member);
        }
    }
    // Ejected members are skipped unless all candidates are ejected.
    let members = || candidates.members.iter().flatten().copied();
    let average = average_unit_time(members(), options);
    let any_healthy = members().any(|member| !member.stats.is_ejected(now));
    let (member, expected) = members()
        .filter(|member| !any_healthy || !member.stats.is_ejected(now))
        .map(|member| {
            (
                member,
                expected_seconds(now, pool, member, request, options, average),
            )
        })
        .min_by(|a, b| a.1.total_cmp(&b.1))?;
    let reason = if candidates.count == 1 {
        Reason::Only
    } else if request.last_backend.as_ref() == Some(&member.backend) {
        Reason::Cached
    } else {
        Reason::Soonest
    };
    Some(Selection {
        member,
        reason,
        expected: Duration::from_secs_f64(expected.max(0.0)),
        cost: cost(request, reason == Reason::Cached, options),
        candidates: candidates.count,
    })
}

/// Adds random members as candidates: one from another data centre and the others from the local
/// one, or all from one side if the other is empty.
fn add_random<'a>(
    pool: &'a Pool,
    probes: usize,
    rng: &mut impl Rng,
    candidates: &mut Candidates<'a, '_>,
) {
    let members = pool.members();
    if members.len() <= probes {
        for member in members {
            candidates.add(member);
        }
        return;
    }
    let local_count = pool.local_count();
    for n in 0..probes {
        let is_local = local_count > 0 && (n + 1 < probes || local_count == members.len());
        let range = if is_local {
            0..local_count
        } else {
            local_count..members.len()
        };
        candidates.add(&members[rng.random_range(range)]);
    }
}

/// Returns the cost of a request, in units of one generated token.
fn cost(request: &Request, cached: bool, options: &Options) -> f64 {
    let to_f64 = |tokens: id::Tokens| f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
    let cached = if cached { request.cached_tokens } else { 0 };
    let prefill = to_f64(request.prompt_tokens.saturating_sub(cached)) * options.prefill_cost;
    (prefill + to_f64(request.output_tokens)).max(1.0)
}

/// Returns the average time per unit of cost over the given members, in seconds.
fn average_unit_time<'a>(members: impl Iterator<Item = &'a Member>, options: &Options) -> f64 {
    let mut sum = 0.0;
    let mut count = 0.0;
    for nanos in members.filter_map(|member| member.stats.nanos_per_cost()) {
        sum += nanos;
        count += 1.0;
    }
    if count > 0.0 {
        sum / count / 1e9
    } else {
        options.default_unit_time.as_secs_f64()
    }
}

/// Returns the time per unit of cost at a member, in seconds. This is the average unless the member
/// is much slower, since small differences are noise from how much each request generated.
fn member_unit_time(stats: &Stats, average: f64) -> f64 {
    let own = stats.nanos_per_cost().map_or(average, |nanos| nanos / 1e9);
    if own > average * SLOW_FACTOR {
        own
    } else {
        average
    }
}

/// Returns the expected time to completion in seconds: queueing, service and network time.
fn expected_seconds(
    now: Timestamp,
    pool: &Pool,
    member: &Member,
    request: &Request,
    options: &Options,
    average_unit_time: f64,
) -> f64 {
    let stats = &member.stats;
    let unit_time = member_unit_time(stats, average_unit_time);
    let limit = f64::from(stats.limit().unwrap_or(member.capacity).max(1));
    let cached = request.last_backend.as_ref() == Some(&member.backend);
    let cost = cost(request, cached, options);
    let cost_ahead = stats.cost_ahead(now, options.report_decay, cost, member.capacity);
    let queueing = cost_ahead / limit * unit_time;
    let is_local = pool.members()[..pool.local_count()]
        .iter()
        .take(1)
        .any(|local| local.data_centre == member.data_centre);
    let network = if is_local {
        0.0
    } else {
        options.remote_delay.as_secs_f64()
    };
    queueing + cost * unit_time + network
}
