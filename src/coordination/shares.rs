//! This instance's share of a limit that all instances keep together.

use std::time::Duration;

use crate::coordination::window::Window;
use crate::state::time::Tick;

/// Span over which arrivals at a cold server are bounded.
const COLD_SPAN: Duration = Duration::from_secs(1);

/// Connections to a server for each instance below which gatherers take half of them.
const FEW: u32 = 2;

/// Returns the connections that this instance may have to a server; one at least.
///
/// If there are few for each instance, half of them are for the `gatherers`, of which this instance is one
/// unless their number is zero: the others send to the servers of shards only now and then.
pub fn connections(limit: u32, instances: usize, gatherers: usize) -> u32 {
    let share = limit / instances.max(1) as u32;
    let gathers = if gatherers > 0 && share < FEW { limit / 2 / gatherers as u32 } else { 0 };
    share.max(gathers).max(1)
}

/// Arrivals at a cold server in the last second.
#[derive(Clone, Debug)]
pub struct ColdGate(Window);

impl Default for ColdGate {
    fn default() -> Self {
        Self(Window::new(COLD_SPAN))
    }
}

impl ColdGate {
    /// Says whether one more request may be sent; `rate` is what the server bears from all instances.
    ///
    /// A rate of zero is one that the configuration does not state: it does not bind. A share below
    /// one request a second lets none through.
    pub fn admits(&mut self, rate: f64, instances: usize, now: Tick) -> bool {
        let most = rate / instances.max(1) as f64;
        rate <= 0.0 || f64::from(self.0.count(now)) + 1.0 <= most
    }

    /// Counts a request that is sent.
    pub fn sent(&mut self, now: Tick) {
        self.0.add(now);
    }
}
