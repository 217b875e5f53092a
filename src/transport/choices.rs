//! What the decisions of a fan-out see of this instance's state.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::rngs::StdRng;

use crate::coordination::query::Choices;
use crate::coordination::replica::{Candidate, pick};
use crate::state::arena::{ServiceKey, UpstreamKey};
use crate::state::catalog::{Catalog, ServiceEntry};
use crate::state::time::Tick;
use crate::transport::node::{Node, Owner, ServiceStats};
use crate::transport::settings::Mode;

/// Share of answers that come before an attempt is hedged.
const HEDGE_QUANTILE: f64 = 0.9;

/// The state of this instance as one query sees it.
pub(crate) struct NodeChoices<'a> {
    pub(crate) node: &'a Node,
    pub(crate) catalog: &'a Catalog,
    pub(crate) service: ServiceKey,
    pub(crate) entry: &'a ServiceEntry,
    owners: Arc<IndexMap<UpstreamKey, Owner>>,
    rng: StdRng,
}

impl<'a> NodeChoices<'a> {
    pub(crate) fn new(
        node: &'a Node,
        catalog: &'a Catalog,
        service: ServiceKey,
        entry: &'a ServiceEntry,
    ) -> Self {
        Self { node, catalog, service, entry, owners: node.owners(), rng: node.rng() }
    }

    fn stats<R>(&self, f: impl FnOnce(&mut ServiceStats) -> R) -> R {
        self.node.stats.with_or(self.service, ServiceStats::default, f)
    }

    fn candidate(&self, key: UpstreamKey) -> Candidate {
        let heard = self.node.news.with(key, |heard| *heard).unwrap_or_default();
        let open = self.catalog.upstream(key).is_some_and(|u| u.open);
        let (reach, hop) = self.hop(key);
        Candidate { key, heard, hop, open: open && reach }
    }

    /// Says whether the upstream's steward may be reached, and the round trip to it.
    fn hop(&self, key: UpstreamKey) -> (bool, Duration) {
        let Some(owner) = self.owners.get(&key) else { return (false, Duration::ZERO) };
        if self.node.cfg.mode == Mode::Baseline || owner.member.id == self.node.me.id {
            return (true, Duration::ZERO);
        }
        let (up, rtt) = self.node.links.state(owner.member.addr);
        let far = owner.member.domain != self.node.cfg.domain;
        let delay = if far { self.node.cfg.peer_delay * 2 } else { Duration::ZERO };
        (up || self.has_deputy(owner), rtt + delay)
    }

    fn has_deputy(&self, owner: &Owner) -> bool {
        self.node.holders.lock().contains_key(&owner.place())
    }
}

impl Choices for NodeChoices<'_> {
    fn pick(
        &mut self,
        replicas: &[UpstreamKey],
        tried: &[UpstreamKey],
        now: Tick,
    ) -> Option<UpstreamKey> {
        let mut candidates: Vec<_> = replicas.iter().map(|r| self.candidate(*r)).collect();
        if self.node.cfg.mode == Mode::Baseline {
            candidates.iter_mut().for_each(|c| c.heard = Default::default());
        }
        let picked = pick(&candidates, tried, now, &mut self.rng);
        if picked.is_some() {
            self.node.metrics.attempts.inc();
        }
        picked
    }

    fn idle(&self, upstream: UpstreamKey) -> bool {
        let slots = self.catalog.upstream(upstream).map_or(0, |u| u.bear.slots);
        let heard = self.node.news.with(upstream, |heard| *heard).unwrap_or_default();
        heard.news.depth.max(heard.mine) < slots
    }

    fn spend(&mut self) -> bool {
        let spent = self.node.cfg.mode == Mode::Baseline || self.stats(|s| s.budget.spend());
        if spent {
            self.node.metrics.extra_attempts.inc();
        }
        spent
    }

    fn earn(&mut self) {
        let share = self.entry.policy.extra_share;
        self.stats(|s| s.budget.earn(share));
    }

    fn hedge_after(&mut self, _: UpstreamKey) -> Option<Duration> {
        if self.node.cfg.mode == Mode::Baseline || !self.node.cfg.hedge {
            return None;
        }
        self.stats(|s| s.times.at(HEDGE_QUANTILE))
    }
}
