//! The budget of arrivals beyond the first (hedges and retries together) at one service.
//!
//! All instances share a bound over any sliding window: a ratio of the requests and a fixed number.
//! Each instance keeps to the ratio of its own requests and to its share of the fixed number, so their
//! sum keeps to the bound without a message.

use std::time::Duration;

use crate::coordination::sliding_window::SlidingWindow;
use crate::state::time::Tick;

/// Part of the ratio that is used: what other instances see may differ by a slice of the window.
const RATIO_FACTOR: f64 = 0.85;
/// Part of the fixed number that is used; the rest is for runs that ended within the window.
const SLACK_FACTOR: f64 = 0.7;

/// The bound that all instances keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// Extra arrivals for each request.
    pub ratio: f64,
    /// Extra arrivals beyond those.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) }
    }
}

/// One instance's part of the budget at one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    opts: RetryBudgetOptions,
    requests: SlidingWindow,
    extra_sends: SlidingWindow,
}

impl RetryBudget {
    /// Returns a budget of which nothing is spent.
    pub fn new(opts: RetryBudgetOptions) -> Self {
        Self {
            opts,
            requests: SlidingWindow::new(opts.window),
            extra_sends: SlidingWindow::new(opts.window),
        }
    }

    /// Counts a request for the service.
    pub fn record_request(&mut self, now: Tick) {
        self.requests.add(now);
    }

    /// Spends one extra arrival, if it is within the bound.
    ///
    /// `part` is this instance's part of the fixed number. A process that runs for less than a window has
    /// none of it: its former run may have spent it.
    pub fn try_acquire(&mut self, part: f64, now: Tick) -> bool {
        let own = f64::from(self.requests.count(now)) * self.opts.ratio * RATIO_FACTOR;
        let settled = now.0 >= self.opts.window.as_micros() as u64;
        let fixed = self.opts.slack * SLACK_FACTOR * part;
        let most = own + if settled { fixed } else { 0.0 };
        if f64::from(self.extra_sends.count(now)) + 1.0 > most {
            return false;
        }
        self.extra_sends.add(now);
        true
    }

    /// Returns the extra arrivals within the window.
    pub fn used(&mut self, now: Tick) -> u32 {
        self.extra_sends.count(now)
    }
}
