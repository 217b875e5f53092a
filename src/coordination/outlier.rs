//! Ejection of an upstream that fails, judged by answered work and never by a health endpoint.

use std::time::Duration;

use crate::state::time::Tick;

/// Failures in a row after which an upstream is ejected.
const FAILURES: u32 = 3;
/// Time before an ejected upstream is tried for the first time.
const FIRST_WAIT: Duration = Duration::from_millis(200);
/// Longest time between two tries.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// What the last requests to an upstream have shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outlier {
    failures: u32,
    tries: u32,
    retry_at: Option<Tick>,
    trying: bool,
}

impl Outlier {
    /// Says whether the upstream is ejected.
    pub fn ejected(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Says whether a request may be sent: always, or as the single try of an ejected upstream.
    pub fn admits(&self, idempotent: bool, now: Tick) -> bool {
        self.retry_at.is_none_or(|at| idempotent && !self.trying && at <= now)
    }

    /// Notes that a request is sent.
    pub fn sent(&mut self) {
        self.trying = self.ejected();
    }

    /// Notes an answer; an ejected upstream is back. Says whether it was ejected.
    pub fn answered(&mut self) -> bool {
        let was = self.ejected();
        *self = Self::default();
        was
    }

    /// Notes a request that ended without saying anything of the upstream.
    pub fn neither(&mut self) {
        self.trying = false;
    }

    /// Ejects the upstream at once, for instance because another one has its address.
    pub fn eject(&mut self, now: Tick) {
        self.failures = self.failures.max(FAILURES - 1);
        self.trying = self.ejected();
        self.failed(now);
    }

    /// Notes a failure; says whether it ejected the upstream.
    pub fn failed(&mut self, now: Tick) -> bool {
        self.failures += 1;
        let was = self.ejected();
        if was && !self.trying {
            return false; // sent before the ejection
        }
        self.trying = false;
        if self.failures < FAILURES {
            return false;
        }
        let wait = FIRST_WAIT.saturating_mul(1 << self.tries.min(8)).min(LONGEST_WAIT);
        self.tries += 1;
        self.retry_at = Some(now + wait);
        !was
    }
}
