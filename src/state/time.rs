//! Monotonic time as a plain number, so that decision code takes the time as an argument.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time on the monotonic clock of one process, in microseconds since the process started.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tick(pub u64);

impl Tick {
    /// Returns the time from `earlier` to `self`, or zero when `earlier` is later.
    pub fn since(self, earlier: Tick) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Tick {
    type Output = Tick;

    fn add(self, d: Duration) -> Tick {
        Tick(self.0.saturating_add(saturating_micros(d)))
    }
}

impl Sub<Duration> for Tick {
    type Output = Tick;

    fn sub(self, d: Duration) -> Tick {
        Tick(self.0.saturating_sub(saturating_micros(d)))
    }
}

/// Returns a duration in microseconds; one that no tick holds is as long as the longest.
fn saturating_micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
