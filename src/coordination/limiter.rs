//! The rate of queries that an entry takes on for a service, lowered while upstreams' queues are long.
//!
//! A query is of use only when nearly all shards answer, so above capacity it is better to refuse some
//! queries whole than some shards of each. The rate falls by a factor and rises slowly, as a window does
//! in Chiu and Jain, "Analysis of the increase and decrease algorithms" (1989).

use std::time::Duration;

use crate::state::time::Tick;

/// Requests at an upstream for each slot, on average over a query's upstreams, from which on
/// the queues count as long.
const LONG: f64 = 4.0;
/// Weight of one query in the moving mean of what queries see.
const WEIGHT: f64 = 0.2;
/// Factor by which the rate falls.
const FALL: f64 = 0.92;
/// Factor by which it rises.
const RISE: f64 = 1.08;
/// Time between two changes of the rate.
const STEP: Duration = Duration::from_millis(200);
/// Time over which the rate taken on is averaged.
const WINDOW_S: f64 = 1.0;
/// Queries that may be taken on at once, as time of the rate.
const BURST_S: f64 = 0.1;

/// The limiter of one service at one instance; without a rate it takes on every query.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limiter {
    rate: Option<f64>,
    depth: f64,
    tokens: f64,
    taken: f64,
    at: Tick,
    changed: Tick,
    refused: bool,
}

impl Limiter {
    /// Takes a query on, or refuses it.
    pub fn admit(&mut self, now: Tick) -> bool {
        self.pass(now);
        if self.rate.is_some() && self.tokens < 1.0 {
            self.refused = true;
            return false;
        }
        self.tokens -= 1.0;
        self.taken += 1.0;
        true
    }

    fn pass(&mut self, now: Tick) {
        let secs = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.taken *= (-secs / WINDOW_S).exp();
        if let Some(rate) = self.rate {
            self.tokens = (self.tokens + rate * secs).min((rate * BURST_S).max(2.0));
        }
    }

    /// Takes in what a query saw: requests for each slot, on average over its warm upstreams.
    pub fn saw(&mut self, depth: f64, now: Tick) {
        self.depth += (depth - self.depth) * WEIGHT;
        if now.since(self.changed) < STEP {
            return;
        }
        self.pass(now);
        let taken = self.taken / WINDOW_S;
        if self.depth > LONG {
            let base = self.rate.map_or(taken, |r| r.min(taken));
            self.set((base * FALL).max(1.0), now);
        } else if let Some(rate) = self.rate {
            if self.refused {
                self.set(rate * RISE, now);
            } else if rate > taken * 2.0 {
                self.rate = None;
            } else {
                self.set(rate * RISE * RISE, now);
            }
        }
    }

    fn set(&mut self, rate: f64, now: Tick) {
        if self.rate.is_none() {
            self.tokens = 0.0;
        }
        self.rate = Some(rate);
        self.changed = now;
        self.refused = false;
    }

    /// Returns the rate in force, in queries a second.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }
}
