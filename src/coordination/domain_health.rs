//! Detection of an unresponsive failure domain from this instance's own requests.
//!
//! A network partition makes all servers of a domain unresponsive at once. If each server had to be
//! ejected by its own failures, queries over many shards would keep hitting one of them for a long time.
//!
//! The load pattern of a false alarm: an instance without processor time for some tenths of a second misses answers of a
//! sound domain. Choosing other servers meanwhile does no harm; refusing requests does, and waits for a failed probe.

use std::time::Duration;

use crate::coordination::outlier::{OutlierDetector, Probe};
use crate::state::time::Tick;

/// Interval between two probes of an unresponsive domain.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Consecutive misses after which a domain counts as unresponsive.
const EJECT_MISSES: u32 = 8;
/// Minimum time span of the misses; a burst at one moment may come from a pause of this process.
const MIN_MISS_SPAN: Duration = Duration::from_millis(50);
/// Number of misses that a refused connection counts as.
const REFUSED_MISSES: u32 = 2;
/// Number of misses that an unanswered request or a connection timeout counts as.
const UNANSWERED_MISSES: u32 = 3;

/// The health of a failure domain, judged by recent requests to its servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct DomainHealth {
    misses: u32,
    first_miss_at: Tick,
    outlier: OutlierDetector,
    /// Whether a probe has failed since the domain became unresponsive.
    probe_failed: bool,
}

impl DomainHealth {
    /// Records that an answer is overdue.
    pub fn record_overdue(&mut self, now: Tick) {
        self.add_misses(1, now);
    }

    /// Records a refused connection.
    pub fn record_refused(&mut self, now: Tick) {
        self.add_misses(REFUSED_MISSES, now);
    }

    /// Records a request that got no answer at all.
    pub fn record_unanswered(&mut self, now: Tick) {
        self.add_misses(UNANSWERED_MISSES, now);
    }

    fn add_misses(&mut self, count: u32, now: Tick) {
        if self.misses == 0 {
            self.first_miss_at = now;
        }
        self.misses = self.misses.saturating_add(count);
        if self.misses >= EJECT_MISSES && now.since(self.first_miss_at) >= MIN_MISS_SPAN {
            self.misses = 0;
            self.outlier.eject(now);
        }
    }

    /// Records an answer from the domain; returns whether the domain was unresponsive.
    pub fn record_answer(&mut self) -> bool {
        self.misses = 0;
        self.probe_failed = false;
        self.outlier.record_answer()
    }

    /// Records that a connection to an unresponsive domain could not be opened.
    pub fn record_failed_probe(&mut self) {
        self.probe_failed = self.is_unresponsive();
    }

    /// Returns whether a request may be sent; an unresponsive domain gets one probe at a time.
    pub fn can_send(&self, now: Tick) -> bool {
        self.outlier.can_send(true, now)
    }

    /// Records a request sent to the domain, which may be the probe.
    pub fn record_send(&mut self) -> Option<Probe> {
        self.outlier.record_send()
    }

    /// Records the end of a probe. Any answer ends the ejection, so one that is still in flight then had none.
    pub fn end_probe(&mut self, probe: Probe, now: Tick) {
        self.outlier.end_or_fail_probe(probe, now);
    }

    /// Records that a probe was not sent.
    pub fn cancel_probe(&mut self, probe: Probe) {
        self.outlier.cancel_probe(probe);
    }

    /// Returns whether the domain is unresponsive.
    pub fn is_unresponsive(&self) -> bool {
        self.outlier.is_ejected()
    }

    /// Returns whether the domain is unreachable: it is unresponsive, and the last probe failed.
    pub fn is_unreachable(&self) -> bool {
        self.is_unresponsive() && self.probe_failed
    }
}
