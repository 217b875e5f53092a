//! Selection of the instances that gather the parts of a sharded request.
//!
//! An instance gathers its own requests if it is near the shards and queries them often enough to keep
//! its connections warm. Otherwise it forwards the whole request to a gatherer, which replaces one
//! round trip per shard by a single one.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::coordination::shares::{Places, Role};
use crate::state::arena::PoolKey;
use crate::state::hash;
use crate::state::members::Member;
use crate::state::time::Tick;
use crate::state::topology::{Server, TopologyView};

/// Minimum share of the shards with servers in a failure domain for the domain to count as near.
const MIN_NEAR_SHARE: f64 = 0.5;
/// Minimum number of gatherers per failure domain, which tolerates the loss of two.
const MIN_GATHERERS: usize = 3;
/// Members of a failure domain per gatherer.
const MEMBERS_PER_GATHERER: usize = 8;
/// Rate of sharded requests, per second, that keeps an instance's own connections warm.
const WARM_RATE_PER_S: f64 = 4.0;
/// Minimum processor power of a gatherer, relative to the largest member of its domain.
const MIN_POWER_RATIO: f64 = 0.5;

/// Shards that an instance gathers at the same time, for each thousandth of a core; it is busy with them for about a tenth
/// of a second.
const SHARDS_PER_MILLICORE: f64 = 1.5;

/// The inputs that decide where a request is gathered.
#[derive(Clone, Copy, Debug)]
pub struct GatherContext<'a> {
    /// This instance.
    pub me: &'a Member,
    /// Its recent rate of sharded requests, per second.
    pub request_rate: f64,
    /// Number of shards of the request.
    pub shard_count: usize,
}

/// Time for which a gatherer that refused a request is not selected.
const EXCLUSION_TIME: Duration = Duration::from_secs(1);

/// Why a gatherer refused a request before it sent anything to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GatherRefusal {
    /// Its version of the routes differs until the update has propagated.
    Version,
    /// The message arrived too late.
    Late,
    /// It is shutting down.
    Leaving,
    /// It can reach too few shards.
    Cut,
    /// It gathers as much as its processor allows.
    Busy,
    /// Too few shards have a server that it may send a request now; servers may have asked it alone for time.
    Unavailable,
    /// The request is invalid or does not match its routes.
    Unfit,
}

impl GatherRefusal {
    /// Returns how long the gatherer is excluded from selection.
    pub fn exclusion_time(self) -> Duration {
        match self {
            // a cut is that of the whole domain as a rule: without its gatherers a request would be gathered in vain here
            GatherRefusal::Cut => Duration::ZERO,
            GatherRefusal::Version
            | GatherRefusal::Unfit
            | GatherRefusal::Busy
            | GatherRefusal::Unavailable => Duration::ZERO,
            GatherRefusal::Late | GatherRefusal::Leaving => EXCLUSION_TIME,
        }
    }

    /// Returns whether the estimate of the gatherer's clock may be wrong, so that the link must be replaced.
    pub fn invalidates_clock(self) -> bool {
        self == GatherRefusal::Late
    }
}

/// Counts, for each failure domain, the shards with an open and responsive server there.
pub fn shards_by_domain<'a>(
    view: &'a TopologyView,
    shards: &[PoolKey],
    is_responsive: impl Fn(&Server) -> bool,
) -> IndexMap<&'a str, usize> {
    let mut held = IndexMap::new();
    for pool in shards {
        let mut domains: Vec<&str> = Vec::new();
        for (_, server) in view.available_servers(*pool).filter(|(_, s)| is_responsive(s)) {
            let domain = server.report.domain.as_str();
            if !domains.contains(&domain) {
                domains.push(domain);
                *held.entry(domain).or_default() += 1;
            }
        }
    }
    held
}

/// Returns whether an instance takes on another request; one at a time is always taken.
///
/// The load pattern: a burst meets a gatherer whose processor already works for a tenth of a second on what it has. A
/// request that would wait there is refused at once, and gathered by the next.
pub fn can_take(power: u32, shards_in_flight: usize, shard_count: usize) -> bool {
    let limit = f64::from(power) * SHARDS_PER_MILLICORE;
    power == 0 || shards_in_flight == 0 || (shards_in_flight + shard_count) as f64 <= limit
}

/// Returns whether a request takes most of what an instance can gather at a time, so that two gatherers with few requests
/// are worse than one with warm connections.
pub fn is_heavy(power: u32, shard_count: usize) -> bool {
    power > 0 && 2.0 * shard_count as f64 > f64::from(power) * SHARDS_PER_MILLICORE
}

/// Time without a refusal after which one gatherer less is used.
const NARROW_INTERVAL: Duration = Duration::from_secs(5);

/// The number of gatherers that this instance uses, in order of preference.
///
/// The load pattern: a few heavy requests a second. Spread over all gatherers they meet cold connections on each; sent to
/// the first they meet warm ones, and a second is used only while the first is busy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    extra: usize,
    changed_at: Tick,
}

impl Spread {
    /// Returns the number of gatherers to use.
    pub fn width(&mut self, now: Tick) -> usize {
        while self.extra > 0 && now.since(self.changed_at) >= NARROW_INTERVAL {
            self.extra -= 1;
            self.changed_at = self.changed_at + NARROW_INTERVAL;
        }
        1 + self.extra
    }

    /// Records that a gatherer was busy; `max` is the number of gatherers.
    pub fn record_busy(&mut self, max: usize, now: Tick) {
        self.extra = (self.extra + 1).min(max.saturating_sub(1));
        self.changed_at = now;
    }
}

/// Returns the members that may gather a request, in order of preference, or none if this instance gathers it itself. It may
/// be among them.
///
/// `held` is the number of shards in each failure domain.
pub fn select_gatherers<'a>(
    context: GatherContext<'_>,
    held: &IndexMap<&str, usize>,
    members: &'a [Member],
) -> Vec<&'a Member> {
    let own = context.me.domain.as_str();
    if is_near(context, held, own) {
        let local = domain_gatherers(members, own);
        let is_gatherer = local.iter().any(|m| m.id.name() == context.me.id.name());
        let is_light = !is_heavy(context.me.power, context.shard_count);
        let gathers_itself = (is_gatherer && is_light) || is_warm(context, members);
        return if gathers_itself { Vec::new() } else { local };
    }
    let most = held.values().max().copied().unwrap_or_default();
    let best =
        held.iter().filter(|(domain, shards)| **shards == most && is_near(context, held, domain));
    best.flat_map(|(domain, _)| domain_gatherers(members, domain)).collect()
}

/// Returns whether a failure domain holds enough shards for its gatherers to be near them.
pub(crate) fn is_near(
    context: GatherContext<'_>,
    held: &IndexMap<&str, usize>,
    domain: &str,
) -> bool {
    let shards = held.get(domain).copied().unwrap_or_default();
    shards as f64 >= context.shard_count as f64 * MIN_NEAR_SHARE
}

/// Returns whether this instance's own requests keep its connections to all shards warm.
pub(crate) fn is_warm(context: GatherContext<'_>, members: &[Member]) -> bool {
    context.request_rate >= WARM_RATE_PER_S && is_large(context.me, members)
}

/// Returns the role of `me` for sharded requests.
pub fn role(me: &Member, members: &[Member]) -> Role {
    let local = domain_gatherers(members, &me.domain);
    if !local.iter().any(|m| m.id.name() == me.id.name()) {
        return Role::Asker;
    }
    let mut domains: Vec<&str> = members.iter().map(|m| m.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    Role::Gatherer(domains.iter().map(|domain| domain_gatherers(members, domain).len()).sum())
}

/// Returns the places of `me` among those that share limits with it, in the order of names.
pub fn places(me: &Member, members: &[Member]) -> Places {
    let place = |others: &mut dyn Iterator<Item = &Member>| {
        let (mut before, mut count) = (0, 1);
        for other in others.filter(|m| m.id.name() != me.id.name()) {
            before += usize::from(other.id.name() < me.id.name());
            count += 1;
        }
        before as f64 / count as f64
    };
    let among_all = place(&mut members.iter());
    let mut domains: Vec<&str> = members.iter().map(|m| m.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    let gatherers: IndexSet<&str> = domains
        .iter()
        .flat_map(|domain| domain_gatherers(members, domain))
        .map(|m| m.id.name())
        .collect();
    let is_gatherer = gatherers.contains(me.id.name());
    let has_role = |m: &&Member| gatherers.contains(m.id.name()) == is_gatherer;
    Places { among_all, in_role: place(&mut members.iter().filter(has_role)) }
}

/// Returns the gatherers of a failure domain, chosen from its large members by rendezvous hashing.
pub(crate) fn domain_gatherers<'a>(members: &'a [Member], domain: &str) -> Vec<&'a Member> {
    let local = members.iter().filter(|m| m.domain == domain);
    let count = local.clone().count();
    let largest = local.clone().map(|m| m.power).max().unwrap_or_default();
    let mut large: Vec<&Member> = local.filter(|m| has_power(m, largest)).collect();
    large.sort_by_cached_key(|m| Reverse(hash::rendezvous_weight("gather", m.id.name())));
    large.truncate(MIN_GATHERERS.max(count / MEMBERS_PER_GATHERER));
    large
}

fn is_large(member: &Member, members: &[Member]) -> bool {
    let local = members.iter().filter(|m| m.domain == member.domain);
    has_power(member, local.map(|m| m.power).max().unwrap_or_default())
}

/// Returns whether a member has enough power for a gatherer; `largest` is that of the largest member of its domain.
fn has_power(member: &Member, largest: u32) -> bool {
    f64::from(member.power) >= f64::from(largest) * MIN_POWER_RATIO
}
