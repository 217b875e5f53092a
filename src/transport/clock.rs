//! The monotonic clock of the process.

use std::time::{Duration, Instant, SystemTime};

use crate::state::time::Tick;

/// A monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Tick {
        Tick(self.start.elapsed().as_micros() as u64)
    }

    /// Returns the time of day, as the time since the Unix epoch; it may jump, and differs between machines.
    pub fn time_of_day(&self) -> Duration {
        SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
    }

    /// Sleeps until `at`.
    pub async fn sleep_until(&self, at: Tick) {
        tokio::time::sleep_until((self.start + Duration::from_micros(at.0)).into()).await;
    }
}
