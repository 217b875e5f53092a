//! Division of a sharded request among the gatherers of a failure domain.
//!
//! The load pattern: requests to hundreds of shards, and gatherers with a part of one core. One gatherer
//! alone dispatches its last shard, and reads its last part, after a large share of the target latency; on a
//! slower processor all answers are late. Divided, the ranges of a request are dispatched at the same time,
//! and a gatherer always has the same range, so that its connections are used more often.

use std::ops::Range;

use indexmap::IndexMap;

use crate::coordination::gatherers::{GatherContext, domain_gatherers, is_near, is_warm};
use crate::state::members::Member;

/// Shards of a range below which its message costs the sender more than the range saves.
const MIN_RANGE: usize = 30;

/// A request divided into ranges of shards, one for each gatherer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Division<'a> {
    /// The gatherers, in an order on which all instances agree.
    pub gatherers: Vec<&'a Member>,
    /// The ranges of shards; the first one is that of the first gatherer.
    pub ranges: Vec<Range<usize>>,
}

impl<'a> Division<'a> {
    /// Divides a request; `None` if one instance gathers it, because it has few shards, because there is one
    /// gatherer, or because this instance has warm connections to all shards.
    ///
    /// `held` is the number of shards in each failure domain. If this instance's own domain does not hold
    /// enough, `choose` picks one of the given number of domains that hold the most.
    pub fn new(
        context: GatherContext<'_>,
        held: &IndexMap<&str, usize>,
        members: &'a [Member],
        choose: impl FnOnce(usize) -> usize,
    ) -> Option<Self> {
        let own = context.me.domain.as_str();
        let gatherers = if is_near(context, held, own) {
            let local = domain_gatherers(members, own);
            let is_gatherer = local.iter().any(|m| m.id.name() == context.me.id.name());
            if !is_gatherer && is_warm(context, members) {
                return None;
            }
            local
        } else {
            let most = held.values().max().copied().unwrap_or_default();
            let is_best = |domain: &&str| held[*domain] == most && is_near(context, held, domain);
            let domains: Vec<&str> = held.keys().copied().filter(is_best).collect();
            let index = (!domains.is_empty()).then(|| choose(domains.len()))?;
            domain_gatherers(members, domains.get(index)?)
        };
        let ranges = divide(context.shard_count, gatherers.len());
        (ranges.len() > 1).then_some(Self { gatherers, ranges })
    }

    /// Returns the gatherers of a range in order of preference: its own one, then those after it.
    pub fn preferred(&self, range: usize) -> impl Iterator<Item = &'a Member> {
        let (before, from) = self.gatherers.split_at(range.min(self.gatherers.len()));
        from.iter().chain(before).copied()
    }
}

/// Divides shards into at most `count` ranges of about the same size, none of them small.
fn divide(shard_count: usize, count: usize) -> Vec<Range<usize>> {
    let count = count.min(shard_count / MIN_RANGE).max(1);
    let start = |n: usize| shard_count * n / count;
    (0..count).map(|n| start(n)..start(n + 1)).collect()
}
