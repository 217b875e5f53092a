//! Outlier detection: ejects failing upstreams by the results of real requests, never by a health
//! endpoint.

use std::time::Duration;

use crate::state::time::Tick;

/// Consecutive failures after which an upstream is ejected.
const EJECT_FAILURES: u32 = 3;
/// Time from the ejection of an upstream to the first probe, doubled after each failed probe.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(200);
/// Maximum time between two probes.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(3);

/// The health of an upstream, judged by recent requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    failures: u32,
    ejections: u32,
    retry_at: Option<Tick>,
    probe_in_flight: bool,
}

impl OutlierDetector {
    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Returns whether a request may be sent; an ejected upstream gets one idempotent probe at a time.
    pub fn can_send(&self, idempotent: bool, now: Tick) -> bool {
        self.retry_at.is_none_or(|at| idempotent && !self.probe_in_flight && at <= now)
    }

    /// Records a sent request, which is the probe if the upstream is ejected.
    pub fn record_send(&mut self) {
        self.probe_in_flight = self.is_ejected();
    }

    /// Records an answer, which ends an ejection; returns whether the upstream was ejected.
    pub fn record_answer(&mut self) -> bool {
        let was_ejected = self.is_ejected();
        *self = Self::default();
        was_ejected
    }

    /// Records a request whose end says nothing about the upstream's health.
    pub fn record_neutral(&mut self) {
        self.probe_in_flight = false;
    }

    /// Ejects the upstream at once, for instance because another upstream has its address.
    pub fn eject(&mut self, now: Tick) {
        self.failures = self.failures.max(EJECT_FAILURES - 1);
        self.probe_in_flight = self.is_ejected();
        self.record_failure(now);
    }

    /// Records a failure; returns whether it ejected the upstream.
    pub fn record_failure(&mut self, now: Tick) -> bool {
        self.failures += 1;
        let was_ejected = self.is_ejected();
        if was_ejected && !self.probe_in_flight {
            return false; // sent before the ejection
        }
        self.probe_in_flight = false;
        if self.failures < EJECT_FAILURES {
            return false;
        }
        let wait =
            BASE_EJECTION_TIME.saturating_mul(1 << self.ejections.min(8)).min(MAX_EJECTION_TIME);
        self.ejections += 1;
        self.retry_at = Some(now + wait);
        !was_ejected
    }
}
