//! When the callers that are turned away may return.
//!
//! The load pattern: all servers of a service ask for time, and every caller of an instance is turned away at once. If all
//! were told the same time, they would return at one moment and be refused again. Each caller gets the next place in a
//! queue that moves as fast as this instance's share of the servers can take requests, so that those who were turned
//! away first return first.

use std::time::Duration;

use crate::state::time::Tick;

/// Maximum time that a caller is told to wait after servers are free again; most callers do not wait for longer.
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// What this instance's share of a service can take.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceShare {
    /// Maximum concurrent requests of the service's servers together.
    pub slots: u32,
    /// Usual answer time.
    pub usual: Duration,
    /// Number of instances that send to the service.
    pub instances: usize,
}

impl ServiceShare {
    /// Returns the time between two requests at the highest rate that the share can take.
    fn interval(self) -> Duration {
        self.usual.mul_f64(self.instances.max(1) as f64 / f64::from(self.slots.max(1)))
    }
}

/// The places given to callers of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnTimes {
    last: Tick,
}

impl ReturnTimes {
    /// Gives the next place, at `free_at` or later, and returns the time until then.
    ///
    /// Beyond the maximum spread the places begin again, since the queue is longer than callers wait.
    pub fn next(&mut self, free_at: Tick, share: ServiceShare, now: Tick) -> Duration {
        let free_at = free_at.max(now);
        let next = self.last + share.interval();
        self.last =
            if next <= free_at || next.since(free_at) > MAX_SPREAD { free_at } else { next };
        self.last.since(now)
    }
}
