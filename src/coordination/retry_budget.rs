//! The budget of extra sends, that is hedges and retries, to one service.
//!
//! All instances together stay within a ratio of the requests plus a fixed slack over any sliding
//! window. Each instance applies the ratio to its own requests and uses its share of the slack, so the
//! sum stays within the bound without coordination messages.

use std::time::Duration;

use crate::coordination::sliding_window::SlidingWindow;
use crate::state::time::Tick;

/// Part of the ratio that is used, since windows of different instances may be off by one slice.
const RATIO_FACTOR: f64 = 0.85;
/// Part of the slack that is used; the rest covers processes that ended within the window.
const SLACK_FACTOR: f64 = 0.7;

/// The bound on extra sends for all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// Extra sends allowed per request.
    pub ratio: f64,
    /// Extra sends allowed in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) }
    }
}

/// One instance's share of the budget for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    opts: RetryBudgetOptions,
    requests: SlidingWindow,
    extra_sends: SlidingWindow,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(opts: RetryBudgetOptions) -> Self {
        Self {
            opts,
            requests: SlidingWindow::new(opts.window),
            extra_sends: SlidingWindow::new(opts.window),
        }
    }

    /// Records a request for the service.
    pub fn record_request(&mut self, now: Tick) {
        self.requests.add(now);
    }

    /// Takes one extra send from the budget and returns whether the bound allowed it.
    ///
    /// `share` is this instance's share of the slack. A process younger than one window gets no slack,
    /// because its previous run may have used it.
    pub fn try_acquire(&mut self, share: f64, now: Tick) -> bool {
        let from_ratio = f64::from(self.requests.count(now)) * self.opts.ratio * RATIO_FACTOR;
        let has_slack = now.0 >= self.opts.window.as_micros() as u64;
        let slack = self.opts.slack * SLACK_FACTOR * share;
        let limit = from_ratio + if has_slack { slack } else { 0.0 };
        if f64::from(self.extra_sends.count(now)) + 1.0 > limit {
            return false;
        }
        self.extra_sends.add(now);
        true
    }

    /// Returns the number of extra sends within the window.
    pub fn used(&mut self, now: Tick) -> u32 {
        self.extra_sends.count(now)
    }
}
