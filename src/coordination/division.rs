//! Division of a sharded request among the gatherers of a failure domain.
//!
//! The load pattern: requests to hundreds of shards, and gatherers with a part of one core. One gatherer
//! alone dispatches its last shard, and reads its last part, after a large share of the target latency; on a
//! slower processor all answers are late. Divided, the ranges of a request are dispatched at the same time,
//! and a gatherer always has the same range, so that its connections are used more often.

use std::ops::Range;
use std::time::Duration;

use indexmap::IndexMap;

use crate::coordination::gatherers::{
    GatherContext, GatherRefusal, domain_gatherers, is_near, is_warm,
};
use crate::coordination::scatter::required_shards;
use crate::state::members::Member;
use crate::state::time::Tick;

/// Shards of a range below which its message costs the sender more than the range saves.
const MIN_RANGE: usize = 30;
/// Time that the other ranges have to be refused too, after a refused one put the minimum ratio of shards out of reach. A
/// refusal is sent before any dispatch, so it takes the round trip of a link, at most that between failure domains.
const REFUSAL_GRACE: Duration = Duration::from_millis(20);
/// Maximum number of gatherers that a range is offered to.
const MAX_REFUSALS: usize = 2;
/// Retry delay for callers if gatherers reach too few shards; an instance of another failure domain may reach them.
const RETRY_AFTER_CUT: Duration = Duration::from_millis(10);

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

/// How many of its shards a range needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RangeRatios {
    /// Minimum ratio of shards for an answer: a range may lack as many shards as the whole request, since those that fail
    /// together, on one machine or in one rack, are often in one range.
    pub min_shard_ratio: f64,
    /// Ratio from which the range is answered at the soft deadline, before its other shards have ended: an even share of what
    /// the whole request may lack, rounded up, since slow shards are spread unevenly and most ranges lack fewer.
    pub soft_shard_ratio: f64,
    /// The same once the request is late, rounded down, so that the sum of all ranges is an answer.
    pub late_shard_ratio: f64,
}

/// Returns how many of its shards a range of `len` needs, in a request to `shard_count` shards.
pub fn range_ratios(min_shard_ratio: f64, shard_count: usize, len: usize) -> RangeRatios {
    let max_missing = shard_count.saturating_sub(required_shards(min_shard_ratio, shard_count));
    let even_share = (max_missing * len) as f64 / shard_count.max(1) as f64;
    let ratio = |missing: f64| (len as f64 - missing).max(0.0) / len.max(1) as f64;
    RangeRatios {
        min_shard_ratio: ratio(max_missing as f64),
        soft_shard_ratio: ratio(even_share.ceil()),
        late_shard_ratio: ratio(even_share.floor()),
    }
}

/// What to do with a range that is not gathered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RangeStep {
    /// Offer it to the next gatherer.
    Offer,
    /// Gather it on this instance.
    GatherHere,
    /// Refuse it: it is known that too few of its shards are reachable.
    Refuse {
        /// Time after which to retry.
        retry_after: Duration,
    },
}

/// The refusals of a range by its gatherers.
///
/// The load pattern: a failure domain is cut from the others. Its gatherers notice within half a second, as they send to
/// all servers; the other members send to few, and would each wait for the same servers in vain.
#[derive(Clone, Copy, Debug, Default)]
pub struct RangeRefusals {
    count: usize,
    cut: usize,
    /// Number of `cut` by gatherers of this instance's failure domain.
    cut_nearby: usize,
    no_gatherer_fits: bool,
}

impl RangeRefusals {
    /// Records why a gatherer refused the range; `is_nearby` if it is in this instance's failure domain.
    pub fn record(&mut self, why: GatherRefusal, is_nearby: bool) {
        self.count += 1;
        match why {
            GatherRefusal::Cut => {
                self.cut += 1;
                self.cut_nearby += usize::from(is_nearby);
            }
            GatherRefusal::Version | GatherRefusal::Unfit => self.no_gatherer_fits = true,
            GatherRefusal::Late
            | GatherRefusal::Leaving
            | GatherRefusal::Busy
            | GatherRefusal::Unavailable => {}
        }
    }

    /// Returns whether this instance's own failure domain reaches too few shards; another one that does not may be chosen by
    /// chance.
    pub fn is_domain_cut(&self) -> bool {
        self.cut_nearby == MAX_REFUSALS
    }

    /// Returns what to do next.
    pub fn next_step(&self) -> RangeStep {
        if self.cut == MAX_REFUSALS {
            RangeStep::Refuse { retry_after: RETRY_AFTER_CUT }
        } else if self.no_gatherer_fits || self.count == MAX_REFUSALS {
            RangeStep::GatherHere
        } else {
            RangeStep::Offer
        }
    }
}

/// How a range of a divided request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RangeEnd {
    /// It was gathered.
    Gathered {
        /// Number of its shards without a part.
        missing: usize,
    },
    /// No server has run it, and none will.
    NotRun {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// It failed, and some server may have run it.
    GivenUp {
        /// Its deadline had passed.
        late: bool,
    },
}

/// What to do for the caller of a divided request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RangesDecision {
    /// Keep waiting.
    Wait,
    /// Answer with the ranges that were gathered.
    Answer,
    /// Refuse the request: no server has run it, and none will.
    Refuse {
        /// Time after which all ranges may be tried again.
        retry_after: Duration,
    },
    /// Give up without an answer; some server may have run the request.
    GiveUp {
        /// The range that put the minimum ratio of shards out of reach had passed its deadline.
        late: bool,
    },
}

/// The ranges of a divided request, as they end.
#[derive(Clone, Debug)]
pub struct RangeProgress {
    soft_deadline: Tick,
    max_missing: usize,
    /// Number of shards in ranges that have not ended.
    awaited: usize,
    /// Number of shards without a part in ranges that have ended.
    missing: usize,
    /// Whether some server may have run a range that has ended.
    ran: bool,
    late: bool,
    /// The longest time that refused ranges asked for.
    retry_after: Duration,
    /// When ranges that ended put the minimum ratio of shards out of reach.
    out_of_reach_at: Option<Tick>,
}

impl RangeProgress {
    /// Starts with all `shard_count` shards awaited; from `soft_deadline` on, the minimum ratio of shards is enough.
    pub fn new(shard_count: usize, min_shard_ratio: f64, soft_deadline: Tick) -> Self {
        Self {
            soft_deadline,
            max_missing: shard_count - required_shards(min_shard_ratio, shard_count),
            awaited: shard_count,
            missing: 0,
            ran: false,
            late: false,
            retry_after: Duration::ZERO,
            out_of_reach_at: None,
        }
    }

    /// Records how a range of `len` shards ended.
    pub fn record(&mut self, len: usize, end: RangeEnd, now: Tick) {
        self.awaited -= len;
        self.late = matches!(end, RangeEnd::GivenUp { late: true });
        self.ran |= !matches!(end, RangeEnd::NotRun { .. });
        self.missing += match end {
            RangeEnd::Gathered { missing } => missing,
            RangeEnd::GivenUp { .. } => len,
            RangeEnd::NotRun { retry_after } => {
                self.retry_after = self.retry_after.max(retry_after);
                len
            }
        };
        if self.missing > self.max_missing {
            self.out_of_reach_at.get_or_insert(now);
        }
    }

    /// Returns what to do for the caller.
    pub fn decision(&self, now: Tick) -> RangesDecision {
        let is_final = self.awaited == 0 || now >= self.soft_deadline;
        if let Some(give_up_at) = self.give_up_at() {
            if self.awaited == 0 && !self.ran {
                RangesDecision::Refuse { retry_after: self.retry_after }
            } else if self.ran || now >= give_up_at {
                // a range that has not ended may have run
                RangesDecision::GiveUp { late: self.late }
            } else {
                RangesDecision::Wait
            }
        } else if is_final && self.missing_now() <= self.max_missing {
            RangesDecision::Answer
        } else {
            RangesDecision::Wait
        }
    }

    /// Returns when the decision may change although no range ends.
    pub fn next_wake(&self, now: Tick) -> Option<Tick> {
        let soft_deadline = Some(self.soft_deadline).filter(|at| *at > now);
        self.give_up_at().or(soft_deadline)
    }

    /// Returns when the request is given up, if the minimum ratio of shards is out of reach.
    fn give_up_at(&self) -> Option<Tick> {
        self.out_of_reach_at.map(|at| at + REFUSAL_GRACE)
    }

    /// Returns the number of shards without a part in an answer that is given now.
    pub fn missing_now(&self) -> usize {
        self.missing + self.awaited
    }
}
