//! How late this process handles what comes, judged by how late its own timer is.
//!
//! A process that is short of processor reads a request long after it came. What it takes for the
//! request's arrival is then too late, and so would be the deadline that servers get.

use std::time::Duration;

use crate::state::time::Tick;

/// Time between two looks at the timer.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the last lateness counts: what came meanwhile is read within that time.
const SAMPLE_LIFETIME: Duration = Duration::from_millis(150);
/// Lateness that does not count: what was read after it came in the middle of the delay.
const TOLERANCE: Duration = Duration::from_millis(250);

/// The lateness of a timer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    due: Tick,
    lag: Duration,
    sampled_at: Tick,
}

impl Lag {
    /// Notes that the timer fired; it is due next a [`LOOK`] later.
    pub fn record_tick(&mut self, now: Tick) {
        let late = now.since(self.due);
        let old = now.since(self.sampled_at) >= SAMPLE_LIFETIME;
        if self.due != Tick::default() && (old || late >= self.lag) {
            (self.lag, self.sampled_at) = (late, now);
        }
        self.due = now + SAMPLE_INTERVAL;
    }

    /// Returns when a request that is read now came, at the latest.
    pub fn arrival(&self, now: Tick) -> Tick {
        let recent =
            if now.since(self.sampled_at) < SAMPLE_LIFETIME { self.lag } else { Duration::ZERO };
        let overdue =
            if self.due == Tick::default() { Duration::ZERO } else { now.since(self.due) };
        now - recent.max(overdue).saturating_sub(TOLERANCE)
    }
}
