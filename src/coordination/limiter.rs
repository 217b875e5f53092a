//! Adaptive admission control for the queries of a service, driven by the queue depth of upstreams.
//!
//! A query is useful only when nearly all shards answer, so above capacity it is better to refuse some
//! queries whole than some shards of each. The rate falls by a factor and rises slowly, as a window does
//! in Chiu and Jain, "Analysis of the increase and decrease algorithms" (1989).

use std::time::Duration;

use crate::state::time::Tick;

/// Requests per slot, averaged over a query's upstreams, above which the queues count as long.
const LONG_QUEUE_DEPTH: f64 = 4.0;
/// Weight of one query in the moving average of the queue depth.
const DEPTH_WEIGHT: f64 = 0.2;
/// Multiplicative decrease of the rate.
const DECREASE_FACTOR: f64 = 0.92;
/// Multiplicative increase of the rate.
const INCREASE_FACTOR: f64 = 1.08;
/// Minimum time between two changes of the rate.
const ADJUST_INTERVAL: Duration = Duration::from_millis(200);
/// Averaging window of the admitted rate, in seconds.
const RATE_WINDOW_S: f64 = 1.0;
/// Burst size, in seconds of the rate.
const BURST_S: f64 = 0.1;

/// The limiter of one service on one instance; while no rate is set, it admits every query.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limiter {
    rate: Option<f64>,
    depth: f64,
    tokens: f64,
    admitted: f64,
    refilled_at: Tick,
    adjusted_at: Tick,
    refused: bool,
}

impl Limiter {
    /// Returns whether a query is admitted, and counts it if so.
    pub fn try_admit(&mut self, now: Tick) -> bool {
        self.refill(now);
        if self.rate.is_some() && self.tokens < 1.0 {
            self.refused = true;
            return false;
        }
        self.tokens -= 1.0;
        self.admitted += 1.0;
        true
    }

    fn refill(&mut self, now: Tick) {
        let secs = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.admitted *= (-secs / RATE_WINDOW_S).exp();
        if let Some(rate) = self.rate {
            self.tokens = (self.tokens + rate * secs).min((rate * BURST_S).max(2.0));
        }
    }

    /// Records the queue depth that a query saw: requests per slot, averaged over its warm upstreams.
    pub fn record_depth(&mut self, depth: f64, now: Tick) {
        self.depth += (depth - self.depth) * DEPTH_WEIGHT;
        if now.since(self.adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        self.refill(now);
        let admitted_rate = self.admitted / RATE_WINDOW_S;
        if self.depth > LONG_QUEUE_DEPTH {
            let base = self.rate.map_or(admitted_rate, |r| r.min(admitted_rate));
            self.set_rate((base * DECREASE_FACTOR).max(1.0), now);
        } else if let Some(rate) = self.rate {
            if self.refused {
                self.set_rate(rate * INCREASE_FACTOR, now);
            } else if rate > admitted_rate * 2.0 {
                self.rate = None;
            } else {
                self.set_rate(rate * INCREASE_FACTOR * INCREASE_FACTOR, now);
            }
        }
    }

    fn set_rate(&mut self, rate: f64, now: Tick) {
        if self.rate.is_none() {
            self.tokens = 0.0;
        }
        self.rate = Some(rate);
        self.adjusted_at = now;
        self.refused = false;
    }

    /// Returns the rate limit in force, in queries per second, if any.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }
}
