//! Slow start of a cold upstream: the permitted rate doubles with answered work.

use std::time::Duration;

use crate::state::fleet::Bear;
use crate::state::time::Tick;

/// Tokens that may gather while nothing is sent; one, so that a cold upstream sees no burst.
const BURST: f64 = 1.0;

/// The ramp of one upstream; only its steward has one.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    answered: u32,
    tokens: f64,
    at: Tick,
}

impl Ramp {
    /// Returns a ramp at its foot; a former steward may have sent a request just now.
    pub fn cold(now: Tick) -> Self {
        Self { answered: 0, tokens: 0.0, at: now }
    }

    /// Returns a ramp that goes on where a former steward was.
    pub fn resume(answered: u32, now: Tick) -> Self {
        Self { answered, tokens: 0.0, at: now }
    }

    /// Returns the requests answered since the start.
    pub fn answered(&self) -> u32 {
        self.answered
    }

    /// Counts an answer.
    pub fn count(&mut self) {
        self.answered = self.answered.saturating_add(1);
    }

    /// Returns the permitted rate, in requests a second.
    pub fn rate(&self, bear: &Bear) -> f64 {
        let doublings = (self.answered / bear.cold_step.max(1)).min(30);
        bear.cold_rate * f64::from(1u32 << doublings)
    }

    /// Says whether the upstream bears full load.
    pub fn warm(&self, bear: &Bear) -> bool {
        self.rate(bear) >= bear.warm_rate
    }

    /// Returns the requests that may be under way at once: one until it is nearly warm.
    pub fn at_once(&self, bear: &Bear, slots: u32) -> u32 {
        if self.rate(bear) * 2.0 >= bear.warm_rate { slots } else { slots.min(1) }
    }

    /// Takes the right to send one request now, if there is one.
    pub fn take(&mut self, bear: &Bear, now: Tick) -> bool {
        if self.warm(bear) {
            return true;
        }
        self.refill(bear, now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns when the next request may be sent.
    pub fn ready_at(&self, bear: &Bear, now: Tick) -> Tick {
        let mut later = *self;
        later.refill(bear, now);
        let missing = (1.0 - later.tokens).max(0.0);
        now + Duration::from_secs_f64(missing / self.rate(bear).max(0.001) + 1e-6)
    }

    fn refill(&mut self, bear: &Bear, now: Tick) {
        let gained = now.since(self.at).as_secs_f64() * self.rate(bear);
        self.tokens = (self.tokens + gained).min(BURST);
        self.at = self.at.max(now);
    }
}
