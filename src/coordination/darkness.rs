//! Whether a whole failure domain is silent, judged by this instance's own requests.
//!
//! In a cut every server of a domain falls silent at once. Without this, each of them would have to
//! fail on its own, and a query over many shards would meet one of them for a long time.

use std::time::Duration;

use crate::coordination::outlier::OutlierDetector;
use crate::state::time::Tick;

/// Misses without an answer from the domain between them from which on it counts as dark.
const EJECT_MISSES: u32 = 8;
/// Time over which the misses must be spread: those of one moment may be this instance's own pause.
const MIN_MISS_SPAN: Duration = Duration::from_millis(50);
/// Misses that a refused connection counts for.
const REFUSED_MISSES: u32 = 2;
/// Misses that a request without an answer, or a connection that did not open in time, counts for.
const UNANSWERED_MISSES: u32 = 3;

/// What the last requests to the servers of a domain have shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct DomainHealth {
    misses: u32,
    first_miss_at: Tick,
    outlier: OutlierDetector,
}

impl DomainHealth {
    /// Notes that an answer is overdue.
    pub fn record_overdue(&mut self, now: Tick) {
        self.add_misses(1, now);
    }

    /// Notes that a connection was refused.
    pub fn record_refused(&mut self, now: Tick) {
        self.add_misses(REFUSED_MISSES, now);
    }

    /// Notes that a request got no answer at all.
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

    /// Notes that a server of the domain answered; says whether the domain was dark.
    pub fn record_answer(&mut self) -> bool {
        self.misses = 0;
        self.outlier.record_answer()
    }

    /// Says whether a request may be sent there: always, or as the single try of a dark domain.
    pub fn can_send(&self, now: Tick) -> bool {
        self.outlier.can_send(true, now)
    }

    /// Notes that a request is sent there.
    pub fn record_send(&mut self) {
        self.outlier.record_send();
    }

    /// Says whether the domain is dark.
    pub fn is_unresponsive(&self) -> bool {
        self.outlier.is_ejected()
    }
}
