//! Ejection of an upstream that fails, judged by answered work and never by a health endpoint.

use std::time::Duration;

use crate::state::time::Tick;

/// Failures in a row after which an upstream is ejected.
const EJECT_FAILURES: u32 = 3;
/// Time before an ejected upstream is tried for the first time.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(200);
/// Longest time between two tries.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(3);

/// What the last requests to an upstream have shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    failures: u32,
    ejections: u32,
    retry_at: Option<Tick>,
    probe_in_flight: bool,
}

impl OutlierDetector {
    /// Says whether the upstream is ejected.
    pub fn is_ejected(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Says whether a request may be sent: always, or as the single try of an ejected upstream.
    pub fn can_send(&self, idempotent: bool, now: Tick) -> bool {
        self.retry_at.is_none_or(|at| idempotent && !self.probe_in_flight && at <= now)
    }

    /// Notes that a request is sent.
    pub fn record_send(&mut self) {
        self.probe_in_flight = self.is_ejected();
    }

    /// Notes an answer; an ejected upstream is back. Says whether it was ejected.
    pub fn record_answer(&mut self) -> bool {
        let was = self.is_ejected();
        *self = Self::default();
        was
    }

    /// Notes a request that ended without saying anything of the upstream.
    pub fn record_neutral(&mut self) {
        self.probe_in_flight = false;
    }

    /// Ejects the upstream at once, for instance because another one has its address.
    pub fn eject(&mut self, now: Tick) {
        self.failures = self.failures.max(EJECT_FAILURES - 1);
        self.probe_in_flight = self.is_ejected();
        self.record_failure(now);
    }

    /// Notes a failure; says whether it ejected the upstream.
    pub fn record_failure(&mut self, now: Tick) -> bool {
        self.failures += 1;
        let was = self.is_ejected();
        if was && !self.probe_in_flight {
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
        !was
    }
}
