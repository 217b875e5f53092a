//! This instance's share of limits that hold for all instances together.

use std::time::Duration;

use crate::coordination::sliding_window::SlidingWindow;
use crate::state::time::Tick;

/// Window of the request limit of a cold server.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Connections per instance to a server below which half of them are reserved for gatherers.
const FEW_CONNECTIONS: u32 = 2;
/// Part of a shared limit that is reserved for gatherers, in addition to their even share of the rest.
const GATHERER_RESERVE: f64 = 0.5;

/// The role of an instance for sharded requests, which decides its share of the servers' limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Each instance gathers its own requests.
    #[default]
    Alone,
    /// It is one of this many gatherers.
    Gatherer(usize),
    /// It forwards its requests and gathers only if no gatherer accepts them.
    Asker,
}

impl Role {
    /// Returns this instance's share of a limit for all `instances`, from 0 to 1.
    pub fn share(self, instances: usize) -> f64 {
        let even_share = 1.0 / instances.max(1) as f64;
        match self {
            Role::Alone => even_share,
            Role::Asker => even_share * (1.0 - GATHERER_RESERVE),
            Role::Gatherer(count) => {
                even_share * (1.0 - GATHERER_RESERVE) + GATHERER_RESERVE / count.max(1) as f64
            }
        }
    }
}

/// The places of an instance among those that share limits, each from 0 to 1 and spread evenly.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Places {
    /// Its place among all instances.
    pub among_all: f64,
    /// Its place among those with the same role for sharded requests.
    pub in_role: f64,
}

/// Returns this instance's share of a rate that a server names, and its place among the instances with the same share.
///
/// Servers that get requests of sharded routes only are sent most of them by gatherers. Any other server is sent requests by
/// all instances alike; an uneven share would count for a part of its requests only, and the shares of all would exceed one.
pub fn limit_share(
    role: Role,
    places: Places,
    instances: usize,
    is_only_gathered: bool,
) -> (f64, f64) {
    if is_only_gathered {
        (role.share(instances), places.in_role)
    } else {
        (Role::Alone.share(instances), places.among_all)
    }
}

/// Returns the number of connections that this instance may have to a server, at least one.
///
/// If there are few per instance, half of them are reserved for gatherers, since the other instances
/// rarely send to the servers of shards.
pub fn connection_share(limit: u32, instances: usize, role: Role) -> u32 {
    let share = limit / instances.max(1) as u32;
    let reserved = match role {
        Role::Gatherer(count) if share < FEW_CONNECTIONS => limit / 2 / count.max(1) as u32,
        _ => 0,
    };
    share.max(reserved).max(1)
}

/// The rate limit of requests to a cold server.
#[derive(Clone, Debug)]
pub struct ColdLimiter(SlidingWindow);

impl Default for ColdLimiter {
    fn default() -> Self {
        Self(SlidingWindow::new(COLD_WINDOW))
    }
}

impl ColdLimiter {
    /// Returns whether one more request may be sent; `rate` is the limit for all instances, per second.
    ///
    /// A rate of zero means that the configuration sets none, which is no limit. A share below one
    /// request per second allows none.
    pub fn can_send(&mut self, rate: f64, instances: usize, now: Tick) -> bool {
        let limit = rate / instances.max(1) as f64;
        rate <= 0.0 || f64::from(self.0.count(now)) + 1.0 <= limit
    }

    /// Records a sent request.
    pub fn record_send(&mut self, now: Tick) {
        self.0.add(now);
    }
}
