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

/// The request in flight to an ejected upstream that decides whether the ejection ends.
///
/// No other one is sent before it has ended, so its owner returns it to the detector however the request ends.
#[derive(Debug)]
#[must_use]
pub struct Probe {
    number: u32,
}

/// The health of an upstream, judged by recent requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    failures: u32,
    ejections: u32,
    retry_at: Option<Tick>,
    /// Number of the probe in flight.
    probe: Option<u32>,
    /// Probes so far.
    probe_count: u32,
}

impl OutlierDetector {
    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Returns whether a request may be sent; an ejected upstream gets one idempotent probe at a time.
    pub fn can_send(&self, idempotent: bool, now: Tick) -> bool {
        self.retry_at.is_none_or(|at| idempotent && self.probe.is_none() && at <= now)
    }

    /// Records a sent request, which is the probe if the upstream is ejected and none is in flight.
    pub fn record_send(&mut self) -> Option<Probe> {
        if !self.is_ejected() || self.probe.is_some() {
            return None;
        }
        self.probe_count = self.probe_count.wrapping_add(1);
        self.probe = Some(self.probe_count);
        Some(Probe { number: self.probe_count })
    }

    /// Records the end of a probe. One without a result repeats the wait before it.
    pub fn end_probe(&mut self, probe: Probe, now: Tick) {
        if self.is_in_flight(&probe) {
            self.probe = None;
            self.retry_at = self.retry_at.map(|at| if at <= now { now + self.wait() } else { at });
        }
    }

    /// Records the end of a probe; one without a result counts as failed.
    pub fn end_or_fail_probe(&mut self, probe: Probe, now: Tick) {
        if self.is_in_flight(&probe) {
            self.record_failure(now);
        }
    }

    /// Records that a probe was not sent; the next request is one.
    pub fn cancel_probe(&mut self, probe: Probe) {
        if self.is_in_flight(&probe) {
            self.record_neutral();
        }
    }

    /// Returns whether a probe has had no result yet.
    fn is_in_flight(&self, probe: &Probe) -> bool {
        self.probe == Some(probe.number)
    }

    /// Records an answer, which ends an ejection; returns whether the upstream was ejected.
    pub fn record_answer(&mut self) -> bool {
        let was_ejected = self.is_ejected();
        *self = Self { probe_count: self.probe_count, ..Self::default() };
        was_ejected
    }

    /// Records a request whose end says nothing about the upstream's health.
    pub fn record_neutral(&mut self) {
        self.probe = None;
    }

    /// Ejects the upstream at once, for instance because another upstream has its address.
    pub fn eject(&mut self, now: Tick) {
        self.failures = self.failures.saturating_add(1).max(EJECT_FAILURES);
        self.start_ejection(now);
    }

    /// Records a failure; returns whether it ejected the upstream.
    pub fn record_failure(&mut self, now: Tick) -> bool {
        self.failures = self.failures.saturating_add(1);
        let was_ejected = self.is_ejected();
        if was_ejected && self.probe.is_none() {
            return false; // sent before the ejection
        }
        if self.failures < EJECT_FAILURES {
            return false;
        }
        self.start_ejection(now);
        !was_ejected
    }

    fn start_ejection(&mut self, now: Tick) {
        self.probe = None;
        self.ejections = self.ejections.saturating_add(1);
        self.retry_at = Some(now + self.wait());
    }

    /// Returns the time from the last ejection, or failed probe, to the next probe.
    fn wait(&self) -> Duration {
        let doublings = self.ejections.saturating_sub(1).min(8);
        BASE_EJECTION_TIME.saturating_mul(1 << doublings).min(MAX_EJECTION_TIME)
    }
}
