//! Which instances gather the parts of a request over many shards.
//!
//! An instance gathers itself if it is near the shards and asks them often enough to keep its
//! connections warm. Otherwise it hands the whole request to a gatherer: one message there and one
//! back take the place of one for each shard.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::coordination::shares::Role;
use crate::state::arena::PoolKey;
use crate::state::hash;
use crate::state::members::Member;
use crate::state::picture::{Server, View};

/// Share of the shards that a failure domain holds servers of, at least, to gather there.
const MIN_NEAR_SHARE: f64 = 0.5;
/// Fewest gatherers of a failure domain: without two of them one is left.
const MIN_GATHERERS: usize = 3;
/// Members of a failure domain for each gatherer.
const MEMBERS_PER_GATHERER: usize = 8;
/// Requests over shards in a second from which on an instance's own connections stay warm.
const WARM_RATE_PER_S: f64 = 4.0;
/// Part of the largest member's processor that a gatherer has at least.
const MIN_POWER_RATIO: f64 = 0.5;

/// What decides where a request is gathered.
#[derive(Clone, Copy, Debug)]
pub struct GatherContext<'a> {
    /// This instance.
    pub me: &'a Member,
    /// Requests over shards that it took in a second, lately.
    pub request_rate: f64,
    /// Shards of the request.
    pub shard_count: usize,
}

/// Time for which a gatherer that does not take requests is left out.
const EXCLUSION_TIME: Duration = Duration::from_secs(1);

/// Why a gatherer does not take a request; nothing was sent to any server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GatherRefusal {
    /// It has another version of the routes, for as long as news takes to come.
    Version,
    /// The message came too late to act on.
    Late,
    /// It is leaving.
    Leaving,
    /// It reaches too few shards.
    Cut,
    /// The request does not fit its routes or is not valid.
    Unfit,
}

impl GatherRefusal {
    /// Returns how long the gatherer is left out for.
    pub fn exclusion_time(self) -> Duration {
        match self {
            GatherRefusal::Version | GatherRefusal::Unfit => Duration::ZERO,
            GatherRefusal::Late | GatherRefusal::Leaving | GatherRefusal::Cut => EXCLUSION_TIME,
        }
    }

    /// Says whether the link's least delay may be wrong, since a clock at one end stood still.
    pub fn invalidates_link_delay(self) -> bool {
        self == GatherRefusal::Late
    }
}

/// Returns the number of shards that each failure domain has an open server of which is `lit`.
pub fn shards_by_domain<'a>(
    view: &'a View,
    shards: &[PoolKey],
    lit: impl Fn(&Server) -> bool,
) -> IndexMap<&'a str, usize> {
    let mut held = IndexMap::new();
    for pool in shards {
        let mut domains: Vec<&str> = Vec::new();
        for (_, server) in view.open(*pool).filter(|(_, s)| lit(s)) {
            let domain = server.report.domain.as_str();
            if !domains.contains(&domain) {
                domains.push(domain);
                *held.entry(domain).or_default() += 1;
            }
        }
    }
    held
}

/// Returns the members that may gather a request in place of the asker; none if it gathers itself.
///
/// `held` tells the shards that each failure domain holds.
pub fn select_gatherers<'a>(
    asker: GatherContext<'_>,
    held: &IndexMap<&str, usize>,
    members: &'a [Member],
) -> Vec<&'a Member> {
    let near = |domain: &str| {
        let shards = held.get(domain).copied().unwrap_or_default();
        shards as f64 >= asker.shard_count as f64 * MIN_NEAR_SHARE
    };
    let own = asker.me.domain.as_str();
    if near(own) {
        let there = domain_gatherers(members, own);
        let mine = there.iter().any(|m| m.id.name() == asker.me.id.name());
        let warm = asker.request_rate >= WARM_RATE_PER_S && is_large(asker.me, members);
        return if mine || warm { Vec::new() } else { there };
    }
    let most = held.values().max().copied().unwrap_or_default();
    let best = held.iter().filter(|(domain, shards)| **shards == most && near(domain));
    best.flat_map(|(domain, _)| domain_gatherers(members, domain)).collect()
}

/// Returns what `me` does for requests over shards.
pub fn role(me: &Member, members: &[Member]) -> Role {
    let own = domain_gatherers(members, &me.domain);
    if !own.iter().any(|m| m.id.name() == me.id.name()) {
        return Role::Asker;
    }
    let mut domains: Vec<&str> = members.iter().map(|m| m.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    Role::Gatherer(domains.iter().map(|domain| domain_gatherers(members, domain).len()).sum())
}

/// Returns the gatherers of a failure domain: the first of its large members by rendezvous hashing.
fn domain_gatherers<'a>(members: &'a [Member], domain: &str) -> Vec<&'a Member> {
    let there = members.iter().filter(|m| m.domain == domain);
    let count = there.clone().count();
    let mut large: Vec<&Member> = there.filter(|m| is_large(m, members)).collect();
    large.sort_by_key(|m| Reverse(hash::weight("gather", m.id.name())));
    large.truncate(MIN_GATHERERS.max(count / MEMBERS_PER_GATHERER));
    large
}

fn is_large(member: &Member, members: &[Member]) -> bool {
    let there = members.iter().filter(|m| m.domain == member.domain);
    let largest = there.map(|m| m.power).max().unwrap_or_default();
    f64::from(member.power) >= f64::from(largest) * MIN_POWER_RATIO
}
