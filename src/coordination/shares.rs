//! This instance's share of a limit that all instances keep together.

use std::time::Duration;

use crate::coordination::sliding_window::SlidingWindow;
use crate::state::time::Tick;

/// Span over which arrivals at a cold server are bounded.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Connections to a server for each instance below which gatherers take half of them.
const FEW_CONNECTIONS: u32 = 2;
/// Part of a shared number that gatherers have for themselves, beside their even share of the rest.
const GATHERER_RESERVE: f64 = 0.5;

/// What an instance does for requests over shards, which decides its share of limits at their servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Each instance gathers its own requests.
    #[default]
    Alone,
    /// It is one of so many that gather.
    Gatherer(usize),
    /// It hands its requests on, and gathers only when there is nobody to take them.
    Asker,
}

impl Role {
    /// Returns this instance's part of a number that all `instances` share.
    pub fn share(self, instances: usize) -> f64 {
        let even = 1.0 / instances.max(1) as f64;
        match self {
            Role::Alone => even,
            Role::Asker => even * (1.0 - GATHERER_RESERVE),
            Role::Gatherer(count) => {
                even * (1.0 - GATHERER_RESERVE) + GATHERER_RESERVE / count.max(1) as f64
            }
        }
    }
}

/// Returns the connections that this instance may have to a server; one at least.
///
/// If there are few for each instance, half of them are for the gatherers: the others send to the servers of
/// shards only now and then.
pub fn connection_share(limit: u32, instances: usize, role: Role) -> u32 {
    let share = limit / instances.max(1) as u32;
    let gathers = match role {
        Role::Gatherer(count) if share < FEW_CONNECTIONS => limit / 2 / count.max(1) as u32,
        _ => 0,
    };
    share.max(gathers).max(1)
}

/// Arrivals at a cold server in the last second.
#[derive(Clone, Debug)]
pub struct ColdLimiter(SlidingWindow);

impl Default for ColdLimiter {
    fn default() -> Self {
        Self(SlidingWindow::new(COLD_WINDOW))
    }
}

impl ColdLimiter {
    /// Says whether one more request may be sent; `rate` is what the server bears from all instances.
    ///
    /// A rate of zero is one that the configuration does not state: it does not bind. A share below
    /// one request a second lets none through.
    pub fn can_send(&mut self, rate: f64, instances: usize, now: Tick) -> bool {
        let most = rate / instances.max(1) as f64;
        rate <= 0.0 || f64::from(self.0.count(now)) + 1.0 <= most
    }

    /// Counts a request that is sent.
    pub fn record_send(&mut self, now: Tick) {
        self.0.add(now);
    }
}
