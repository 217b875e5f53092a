//! The budget of arrivals beyond the first (hedges and retries together) at one service.
//!
//! All instances share a bound over any sliding window: a ratio of the requests and a fixed number.
//! Each instance keeps to the ratio of its own requests and to its share of the fixed number, so their
//! sum keeps to the bound without a message.

use std::time::Duration;

use crate::coordination::window::Window;
use crate::state::time::Tick;

/// Part of the ratio that is used: what other instances see may differ by a slice of the window.
const RATIO_USED: f64 = 0.85;
/// Part of the fixed number that is used; the rest is for runs that ended within the window.
const FIXED_USED: f64 = 0.7;

/// The bound that all instances keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraOptions {
    /// Extra arrivals for each request.
    pub ratio: f64,
    /// Extra arrivals beyond those.
    pub fixed: f64,
    /// Length of the sliding window.
    pub span: Duration,
}

impl Default for ExtraOptions {
    fn default() -> Self {
        Self { ratio: 0.2, fixed: 20.0, span: Duration::from_secs(10) }
    }
}

/// One instance's part of the budget at one service.
#[derive(Clone, Debug)]
pub struct Extras {
    opts: ExtraOptions,
    first: Window,
    extra: Window,
}

impl Extras {
    /// Returns a budget of which nothing is spent.
    pub fn new(opts: ExtraOptions) -> Self {
        Self { opts, first: Window::new(opts.span), extra: Window::new(opts.span) }
    }

    /// Counts a request for the service.
    pub fn request(&mut self, now: Tick) {
        self.first.add(now);
    }

    /// Spends one extra arrival, if it is within the bound.
    ///
    /// `part` is this instance's part of the fixed number. A process that runs for less than a window has
    /// none of it: its former run may have spent it.
    pub fn spend(&mut self, part: f64, now: Tick) -> bool {
        let own = f64::from(self.first.count(now)) * self.opts.ratio * RATIO_USED;
        let settled = now.0 >= self.opts.span.as_micros() as u64;
        let fixed = self.opts.fixed * FIXED_USED * part;
        let most = own + if settled { fixed } else { 0.0 };
        if f64::from(self.extra.count(now)) + 1.0 > most {
            return false;
        }
        self.extra.add(now);
        true
    }

    /// Returns the extra arrivals within the window.
    pub fn spent(&mut self, now: Tick) -> u32 {
        self.extra.count(now)
    }
}
