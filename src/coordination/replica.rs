//! Choice of a replica: the one expected to answer first, as far as this instance has heard.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::state::arena::UpstreamKey;
use crate::state::news::{Health, Heard};
use crate::state::time::Tick;

/// Answer time assumed of an upstream of which nothing was heard.
const DEFAULT_MEAN: Duration = Duration::from_millis(5);
/// Time in which half of what was heard is forgotten, so that a recovered straggler is tried again.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Cost added for an upstream that is ramping up, in answer times.
const COLD_COST: f64 = 4.0;
/// Share of choices that leave that cost out, so that it does ramp up while others suffice.
const COLD_SHARE: f64 = 0.1;

/// A replica that may be asked.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// What was heard of it.
    pub heard: Heard,
    /// Round trip to its steward.
    pub hop: Duration,
    /// The configuration lets new work go there, and its steward can be reached.
    pub open: bool,
}

/// Order in which replicas are asked: what they take first, then the expected time.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Cost {
    class: u8,
    time_us: f64,
}

/// Estimates the time until `c` would answer, in microseconds.
fn expected(c: &Candidate, cold_cost: f64, now: Tick) -> f64 {
    let default = DEFAULT_MEAN.as_micros() as f64;
    let heard = if c.heard.news.mean_us == 0 { default } else { f64::from(c.heard.news.mean_us) };
    let age = now.since(c.heard.at).as_secs_f64();
    let trust = (-age / HALF_LIFE.as_secs_f64()).exp2();
    let mean = default.min(heard) + (heard - default.min(heard)) * trust;
    let depth = f64::from(c.heard.news.depth) * trust + f64::from(c.heard.mine);
    let cold = if c.heard.news.health == Health::Cold { cold_cost } else { 0.0 };
    mean * (1.0 + depth / 2.0 + cold) + c.hop.as_micros() as f64
}

fn cost(c: &Candidate, cold_cost: f64, now: Tick, rng: &mut impl Rng) -> Cost {
    let class = match c.heard.news.health {
        Health::Warm | Health::Cold => 0,
        Health::Ejected => 1,
        Health::Leaving => 2,
    };
    let jitter = rng.random_range(0.95..1.05);
    Cost { class, time_us: expected(c, cold_cost, now) * jitter }
}

/// Picks the replica to ask; one that was not asked yet goes before one that was.
pub fn pick(
    candidates: &[Candidate],
    tried: &[UpstreamKey],
    now: Tick,
    rng: &mut impl Rng,
) -> Option<UpstreamKey> {
    let cold_cost = if rng.random_bool(COLD_SHARE) { 0.0 } else { COLD_COST };
    let mut best: Option<((bool, Cost), UpstreamKey)> = None;
    for c in candidates.iter().filter(|c| c.open) {
        let rank = (tried.contains(&c.key), cost(c, cold_cost, now, rng));
        if best.is_none_or(|(b, _)| rank < b) {
            best = Some((rank, c.key));
        }
    }
    best.map(|(_, key)| key)
}
