//! Which shards a gatherer opens connections to before requests need them.
//!
//! The load pattern: a few requests a second over hundreds of shards, on instances with a part of one core. After a start,
//! or when the servers have closed idle connections, the first request would open one to each shard at once; it then
//! dispatches nothing for tens of milliseconds and is late. Warming opens the same connections a few at a time.

use std::time::Duration;

use crate::state::arena::PoolKey;
use crate::state::time::Tick;

/// Interval between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of connections opened in a round, which leaves most of a small processor to requests.
const MAX_OPENS_PER_ROUND: usize = 16;
/// Time since the last request that was gathered, or since the start, after which connections are left to close.
const USE_TIMEOUT: Duration = Duration::from_secs(30);

/// The warming of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Warming {
    last_gathered: Tick,
    /// The position in the list of shards at which the next round begins.
    next: usize,
}

impl Warming {
    /// Records that this instance gathers a request.
    pub fn record_gather(&mut self, now: Tick) {
        self.last_gathered = now;
    }

    /// Returns the shards to open a connection to, each at most once; `is_open` says which have one.
    ///
    /// A process that has just started counts as used, so that it is warm before its first request.
    pub fn next_round(
        &mut self,
        shards: &[PoolKey],
        mut is_open: impl FnMut(PoolKey) -> bool,
        now: Tick,
    ) -> Vec<PoolKey> {
        if shards.is_empty() || now.since(self.last_gathered) >= USE_TIMEOUT {
            return Vec::new();
        }
        let mut chosen = Vec::new();
        let first = self.next % shards.len();
        for offset in 0..shards.len() {
            let index = (first + offset) % shards.len();
            if !is_open(shards[index]) {
                chosen.push(shards[index]);
                self.next = index + 1;
                if chosen.len() == MAX_OPENS_PER_ROUND {
                    break;
                }
            }
        }
        chosen
    }
}
