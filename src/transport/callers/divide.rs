//! Sharded requests that are divided among the gatherers of a failure domain.

use std::ops::Range;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::header::HeaderValue;
use rand::RngExt;

use crate::coordination::division::{
    Division, RangeEnd, RangeProgress, RangeRatios, RangeRefusals, RangeStep, RangesDecision,
    range_ratios,
};
use crate::coordination::scatter::ScatterOptions;
use crate::coordination::top_records;
use crate::protocol::codec::{CallerCodec, DeclineReason};
use crate::state::members::Member;
use crate::state::routes::{Route, ScatterGather};
use crate::state::topology::TopologyView;
use crate::transport::callers::proxy::{GatheredParts, Proxy, decline_reason, merge_parts};
use crate::transport::http::FullResponse;
use crate::transport::upstreams::run::{Job, run};

/// A sharded request as shared by its ranges.
#[derive(Clone, Copy)]
struct Divided<'a> {
    division: &'a Division<'a>,
    gathering: &'a ScatterGather,
    route: &'a Route,
    job: &'a Job,
    view: &'a TopologyView,
}

impl<C: CallerCodec> Proxy<C> {
    /// Divides a request among gatherers; returns `None` if one instance gathers all of it.
    pub(crate) async fn try_divide(
        &self,
        gathering: &ScatterGather,
        route: &Route,
        job: &Job,
        view: &TopologyView,
    ) -> Option<Result<FullResponse, DeclineReason>> {
        let peers = self.peers.as_ref()?;
        let (context, members) = (self.gather_context(peers, gathering), peers.members());
        let held = self.responsive_shards(view, gathering);
        let choose = |count| rand::rng().random_range(0..count);
        let division = &Division::new(context, &held, &members, choose)?;
        let parts = self.gather_ranges(Divided { division, gathering, route, job, view }).await;
        Some(parts.map(|parts| self.gathered_response(parts)))
    }

    /// Gathers all ranges at the same time; fails once too many shards are without an answer.
    ///
    /// From the soft deadline on, ranges that are not needed for the minimum ratio of shards are not waited for.
    async fn gather_ranges(&self, divided: Divided<'_>) -> Result<GatheredParts, DeclineReason> {
        let Divided { division, gathering, job, .. } = divided;
        let shard_count = gathering.shards.len();
        let soft_deadline = job.opts.soft_deadline;
        let mut progress =
            RangeProgress::new(shard_count, gathering.min_shard_ratio, soft_deadline);
        let ranges = division.ranges.iter().enumerate();
        let mut ranges: FuturesUnordered<_> = ranges
            .map(|(index, shards)| async move {
                (shards.len(), self.gather_range(divided, index, shards.clone()).await)
            })
            .collect();
        let mut gathered = Vec::new();
        loop {
            let now = self.tier.now();
            match progress.decision(now) {
                RangesDecision::Answer => {
                    return Ok(self.merge_ranges(gathering, &gathered, progress.missing_now()));
                }
                RangesDecision::Refuse { retry_after } => {
                    return Err(DeclineReason::NotRun { after: retry_after });
                }
                RangesDecision::GiveUp { late: true } => return Err(DeclineReason::TimedOut),
                RangesDecision::GiveUp { late: false } => return Err(DeclineReason::Failed),
                RangesDecision::Wait => {}
            }
            let wake = progress.next_wake(now);
            tokio::select! {
                Some((len, result)) = ranges.next() => {
                    progress.record(len, range_end(&result), self.tier.now());
                    gathered.extend(result);
                }
                () = self.tier.clock.sleep_until(wake.unwrap_or_default()), if wake.is_some() => {}
            }
        }
    }

    fn merge_ranges(
        &self,
        gathering: &ScatterGather,
        gathered: &[GatheredParts],
        missing: usize,
    ) -> GatheredParts {
        let bodies: Vec<_> = gathered.iter().map(|parts| parts.body.clone()).collect();
        let body = top_records::top_records(&bodies, self.codec.record_size(), gathering.top_k);
        let signatures: Vec<HeaderValue> =
            gathered.iter().flat_map(|parts| &parts.signatures).cloned().collect();
        GatheredParts { body, signatures, missing }
    }

    /// Gathers a range at the first gatherer that accepts it, or here, unless gatherers say that too few shards are reachable.
    async fn gather_range(
        &self,
        divided: Divided<'_>,
        index: usize,
        shards: Range<usize>,
    ) -> Result<GatheredParts, DeclineReason> {
        let Divided { division, gathering, route, job, view } = divided;
        let (mut refusals, mut refused) = (RangeRefusals::default(), Vec::new());
        while let Some(peers) = &self.peers
            && refusals.next_step() == RangeStep::Offer
        {
            let pools = &gathering.shards[shards.clone()];
            let may_gather = |m: &&Member| {
                m.addr != peers.opts.me.addr
                    || self.can_take(pools.len())
                        && self.is_available(gathering, pools, view, self.tier.now())
            };
            let preferred = division.preferred(index).filter(may_gather);
            let Some(Some(gatherer)) = peers.first_gatherer(preferred, &refused) else { break };
            match self.forward(&gatherer, (route, shards.clone()), job, view).await {
                Ok(result) => return result,
                Err(why) => {
                    refusals.record(why, gatherer.domain() == peers.opts.me.domain);
                    refused.push(gatherer.addr());
                }
            }
        }
        if let Some(reason) = self.refuse_cut(&refusals, route) {
            return Err(reason);
        }
        let mut job = job.clone();
        let RangeRatios { min_shard_ratio, soft_shard_ratio, late_shard_ratio } =
            range_ratios(gathering.min_shard_ratio, gathering.shards.len(), shards.len());
        let shards = gathering.shards[shards].to_vec();
        job.opts = ScatterOptions {
            shards,
            min_shard_ratio,
            soft_shard_ratio,
            late_shard_ratio,
            ..job.opts
        };
        match run(&self.tier, view, job).await {
            Ok(gathered) => Ok(merge_parts(gathering, &gathered, self.codec.record_size())),
            Err(given_up) => Err(decline_reason(&given_up)),
        }
    }
}

fn range_end(result: &Result<GatheredParts, DeclineReason>) -> RangeEnd {
    match result {
        Ok(parts) => RangeEnd::Gathered { missing: parts.missing },
        Err(DeclineReason::NotRun { after }) => RangeEnd::NotRun { retry_after: *after },
        Err(reason) => RangeEnd::GivenUp { late: *reason == DeclineReason::TimedOut },
    }
}
