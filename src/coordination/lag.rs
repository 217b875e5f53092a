//! Scheduling lag of this process, measured by how late its own timer fires.
//!
//! A process that is short of CPU reads a request long after it arrived. Without a correction, the
//! arrival time and the deadline passed on to servers would be too late.

use std::time::Duration;

use crate::state::time::Tick;

/// Interval of the timer that samples the lag.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a sample counts; requests that arrived during the lag are read within it.
const SAMPLE_LIFETIME: Duration = Duration::from_millis(150);
/// Lag that is ignored, since a request arrives on average in the middle of the delay.
const TOLERANCE: Duration = Duration::from_millis(250);

/// The recent lag of a periodic timer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    due: Tick,
    lag: Duration,
    sampled_at: Tick,
}

impl Lag {
    /// Records that the timer fired; the next tick is due one [`SAMPLE_INTERVAL`] later.
    pub fn record_tick(&mut self, now: Tick) {
        let lag = now.since(self.due);
        let is_stale = now.since(self.sampled_at) >= SAMPLE_LIFETIME;
        if self.due != Tick::default() && (is_stale || lag >= self.lag) {
            (self.lag, self.sampled_at) = (lag, now);
        }
        self.due = now + SAMPLE_INTERVAL;
    }

    /// Estimates the latest time at which a request that is read now can have arrived.
    pub fn arrival(&self, now: Tick) -> Tick {
        let recent_lag =
            if now.since(self.sampled_at) < SAMPLE_LIFETIME { self.lag } else { Duration::ZERO };
        let overdue =
            if self.due == Tick::default() { Duration::ZERO } else { now.since(self.due) };
        now - recent_lag.max(overdue).saturating_sub(TOLERANCE)
    }
}
