//! Whether a whole failure domain is silent, judged by this instance's own requests.
//!
//! In a cut every server of a domain falls silent at once. Without this, each of them would have to
//! fail on its own, and a query over many shards would meet one of them for a long time.

use std::time::Duration;

use crate::coordination::outlier::Outlier;
use crate::state::time::Tick;

/// Misses without an answer from the domain between them from which on it counts as dark.
const DARK: u32 = 8;
/// Time over which the misses must be spread: those of one moment may be this instance's own pause.
const SPREAD: Duration = Duration::from_millis(50);
/// Misses that a refused connection counts for.
const REFUSED: u32 = 2;
/// Misses that a request without an answer, or a connection that did not open in time, counts for.
const SILENCE: u32 = 3;

/// What the last requests to the servers of a domain have shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Darkness {
    misses: u32,
    first: Tick,
    outlier: Outlier,
}

impl Darkness {
    /// Notes that an answer is overdue.
    pub fn overdue(&mut self, now: Tick) {
        self.miss(1, now);
    }

    /// Notes that a connection was refused.
    pub fn refused(&mut self, now: Tick) {
        self.miss(REFUSED, now);
    }

    /// Notes that a request got no answer at all.
    pub fn silent(&mut self, now: Tick) {
        self.miss(SILENCE, now);
    }

    fn miss(&mut self, count: u32, now: Tick) {
        if self.misses == 0 {
            self.first = now;
        }
        self.misses = self.misses.saturating_add(count);
        if self.misses >= DARK && now.since(self.first) >= SPREAD {
            self.misses = 0;
            self.outlier.eject(now);
        }
    }

    /// Notes that a server of the domain answered; says whether the domain was dark.
    pub fn answered(&mut self) -> bool {
        self.misses = 0;
        self.outlier.answered()
    }

    /// Says whether a request may be sent there: always, or as the single try of a dark domain.
    pub fn admits(&self, now: Tick) -> bool {
        self.outlier.admits(true, now)
    }

    /// Notes that a request is sent there.
    pub fn sent(&mut self) {
        self.outlier.sent();
    }

    /// Says whether the domain is dark.
    pub fn dark(&self) -> bool {
        self.outlier.ejected()
    }
}
