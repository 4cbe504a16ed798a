//! Weighs a few backend servers against each other.

use std::time::Duration;

use celerycove_types::{Timestamp, id};
use rand::{Rng, RngExt};

use crate::{
    pool::{Member, Pool},
    stats::Stats,
};

/// What a choice weighs.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How many are taken at random besides the one where the program last ran.
    pub probes: usize,
    /// How long a report of load is trusted; older ones count less and less.
    pub trust: Duration,
    /// What a data centre away costs.
    pub distance: Duration,
    /// How long one token of a prompt takes an engine that does not cache it, relative to one
    /// token generated.
    pub prefill_cost: f64,
    /// How long one unit of cost takes where nothing is known yet.
    pub unit: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probes: 3,
            trust: Duration::from_secs(5),
            distance: Duration::from_millis(1),
            prefill_cost: 0.05,
            unit: Duration::from_millis(10),
        }
    }
}

/// What a request needs.
#[derive(Debug, Clone, Default)]
pub struct Need {
    /// Tokens of the prompt, or zero for a plain service.
    pub prompt: id::Tokens,
    /// Of these, the tokens that the engine where the program last ran may cache.
    pub cached: id::Tokens,
    /// Tokens expected to be generated, or one unit for a plain service.
    pub generate: id::Tokens,
    /// Where the program last ran.
    pub last: Option<id::Backend>,
    /// Backend servers that refused this request already.
    pub avoid: Vec<id::Backend>,
}

/// Why a backend server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It caches the program's history.
    Cached,
    /// It is expected to answer first.
    Soonest,
    /// It is the only one.
    Only,
}

/// A choice and what was weighed.
#[derive(Debug, Clone)]
pub struct Choice<'a> {
    /// The backend server chosen.
    pub member: &'a Member,
    /// Why.
    pub reason: Reason,
    /// Its expected time to completion.
    pub expected: Duration,
    /// Its cost, for the accounts of load.
    pub cost: f64,
    /// How many were weighed.
    pub weighed: usize,
}

/// How many times slower than usual a member must be for that to count.
const FAR_SLOWER: f64 = 1.5;
/// The most that are weighed.
const MOST: usize = 8;

/// The members that are weighed.
struct Shortlist<'a, 'n> {
    weighed: [Option<&'a Member>; MOST],
    count: usize,
    avoid: &'n [id::Backend],
}

impl<'a, 'n> Shortlist<'a, 'n> {
    fn new(avoid: &'n [id::Backend]) -> Self {
        Self {
            weighed: [None; MOST],
            count: 0,
            avoid,
        }
    }

    fn add(&mut self, member: &'a Member) {
        let known = self.weighed[..self.count]
            .iter()
            .flatten()
            .any(|other| std::ptr::eq(*other, member));
        if !known && self.count < MOST && !self.avoid.contains(&member.backend) {
            self.weighed[self.count] = Some(member);
            self.count += 1;
        }
    }
}

/// Chooses a member of the pool; `None` if there is none left to try.
pub fn choose<'a>(
    now: Timestamp,
    pool: &'a Pool,
    need: &Need,
    options: &Options,
    rng: &mut impl Rng,
) -> Option<Choice<'a>> {
    let mut list = Shortlist::new(&need.avoid);
    if let Some(last) = need.last.as_ref().and_then(|last| pool.find(last)) {
        list.add(last);
    }
    probe(pool, options.probes, rng, &mut list);
    if list.count == 0 {
        // All that were probed refused; look at every one before giving up.
        for member in pool.members() {
            list.add(member);
        }
    }
    // Ejection is advice: where all are ejected, they are weighed all the same.
    let candidates = || list.weighed.iter().flatten().copied();
    let usual = usual_unit(candidates(), options);
    let healthy = candidates().any(|member| !member.stats.is_ejected(now));
    let (member, expected) = candidates()
        .filter(|member| !healthy || !member.stats.is_ejected(now))
        .map(|member| (member, expected(now, pool, member, need, options, usual)))
        .min_by(|a, b| a.1.total_cmp(&b.1))?;
    let reason = if list.count == 1 {
        Reason::Only
    } else if need.last.as_ref() == Some(&member.backend) {
        Reason::Cached
    } else {
        Reason::Soonest
    };
    Some(Choice {
        member,
        reason,
        expected: Duration::from_secs_f64(expected.max(0.0)),
        cost: cost(need, reason == Reason::Cached, options),
        weighed: list.count,
    })
}

/// Takes some at random, of the own data centre if it has enough, and one of the others.
fn probe<'a>(pool: &'a Pool, probes: usize, rng: &mut impl Rng, list: &mut Shortlist<'a, '_>) {
    let members = pool.members();
    if members.len() <= probes {
        for member in members {
            list.add(member);
        }
        return;
    }
    let local = pool.local();
    for n in 0..probes {
        let near = local > 0 && (n + 1 < probes || local == members.len());
        let range = if near { 0..local } else { local..members.len() };
        list.add(&members[rng.random_range(range)]);
    }
}

/// The cost of a request in units of one token generated.
fn cost(need: &Need, cached: bool, options: &Options) -> f64 {
    let count = |tokens: id::Tokens| f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
    let cached = if cached { need.cached } else { 0 };
    let prefill = count(need.prompt.saturating_sub(cached)) * options.prefill_cost;
    (prefill + count(need.generate)).max(1.0)
}

/// The usual time of one unit of cost in seconds, over the members weighed.
fn usual_unit<'a>(members: impl Iterator<Item = &'a Member>, options: &Options) -> f64 {
    let mut sum = 0.0;
    let mut count = 0.0;
    for nanos in members.filter_map(|member| member.stats.unit_nanos()) {
        sum += nanos;
        count += 1.0;
    }
    if count > 0.0 {
        sum / count / 1e9
    } else {
        options.unit.as_secs_f64()
    }
}

/// The time of one unit at a member: its own only where it is far slower than usual, since small
/// differences are noise of what requests happened to generate.
fn unit(stats: &Stats, usual: f64) -> f64 {
    let own = stats.unit_nanos().map_or(usual, |nanos| nanos / 1e9);
    if own > usual * FAR_SLOWER { own } else { usual }
}

/// The expected time to completion in seconds: the wait, the work and the way.
fn expected(
    now: Timestamp,
    pool: &Pool,
    member: &Member,
    need: &Need,
    options: &Options,
    usual: f64,
) -> f64 {
    let stats = &member.stats;
    let unit = unit(stats, usual);
    let limit = f64::from(stats.limit().unwrap_or(member.capacity).max(1));
    let cached = need.last.as_ref() == Some(&member.backend);
    let work = cost(need, cached, options);
    let ahead = stats.ahead(now, options.trust, work, member.capacity);
    let wait = ahead / limit * unit;
    let near = pool.members()[..pool.local()]
        .iter()
        .take(1)
        .any(|local| local.data_centre == member.data_centre);
    let way = if near {
        0.0
    } else {
        options.distance.as_secs_f64()
    };
    wait + work * unit + way
}
