//! A count of events over a sliding window, which may be too high but never too low.

use std::collections::VecDeque;
use std::time::Duration;

use crate::state::time::Tick;

/// Number of slices per window; a slice counts until all of it is outside the window.
const SLICES: u32 = 50;

/// The number of events in the last `span`.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    span: Duration,
    slices: VecDeque<(u64, u32)>,
    total: u32,
}

impl SlidingWindow {
    /// Creates an empty window over `span`.
    pub fn new(span: Duration) -> Self {
        Self { span, slices: VecDeque::new(), total: 0 }
    }

    fn slice(&self, at: Tick) -> u64 {
        at.0 / (self.span / SLICES).as_micros().max(1) as u64
    }

    fn expire(&mut self, now: Tick) {
        let slice = self.slice(now);
        while let Some((first, count)) = self.slices.front().copied()
            && first + u64::from(SLICES) < slice
        {
            self.total -= count;
            self.slices.pop_front();
        }
    }

    /// Records one event.
    pub fn add(&mut self, now: Tick) {
        self.expire(now);
        let slice = self.slice(now);
        match self.slices.back_mut() {
            Some((last, count)) if *last >= slice => *count += 1,
            _ => self.slices.push_back((slice, 1)),
        }
        self.total += 1;
    }

    /// Returns the number of events in the last span and at most one more slice.
    pub fn count(&mut self, now: Tick) -> u32 {
        self.expire(now);
        self.total
    }
}
