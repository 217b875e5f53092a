//! When the callers that are turned away may return.
//!
//! The load pattern: all servers of a service ask for time, and every caller of an instance is turned away at once. If all
//! were told the same time, they would return at one moment and be refused again. The same holds where servers name a rate
//! that is used up. Each caller gets the next place in a
//! queue that moves as fast as this instance's share of the servers can take requests, so that those who were turned
//! away first return first.

use std::time::Duration;

use crate::state::time::Tick;

/// Maximum time that a caller is told to wait after servers are free again; most callers do not wait for longer.
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// Returns from when a caller may return, if this instance may send its request from `free_at` and the servers asked for time
/// until `asked_until`.
///
/// What is left between the two is the wait for this instance's part of a rate; another instance may have room sooner.
pub fn return_from(free_at: Tick, asked_until: Tick, now: Tick) -> Tick {
    free_at.min(asked_until.max(now + MAX_SPREAD))
}

/// What this instance's share of a service can take.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceShare {
    /// Maximum concurrent requests of the service's servers together.
    pub slots: u64,
    /// Usual answer time.
    pub usual: Duration,
    /// Number of instances that send to the service.
    pub instances: usize,
    /// Requests per second that this instance may send, if the servers name rates.
    pub limited_rate: Option<f64>,
}

impl ServiceShare {
    /// Returns the slots of servers together; an entry may state any number of them.
    pub fn total_slots(slots: impl Iterator<Item = u32>) -> u64 {
        slots.map(u64::from).fold(0, u64::saturating_add)
    }

    /// Returns the time between two requests at the highest rate that the share can take.
    fn interval(self) -> Duration {
        let by_slots = self.usual.mul_f64(self.instances.max(1) as f64 / self.slots.max(1) as f64);
        let by_rate = self.limited_rate.map(f64::recip).map(Duration::try_from_secs_f64);
        by_rate.map_or(by_slots, |interval| by_slots.max(interval.unwrap_or(Duration::MAX)))
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
