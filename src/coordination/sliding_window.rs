//! A count over a sliding span of time, never too low for any span of that length.

use std::collections::VecDeque;
use std::time::Duration;

use crate::state::time::Tick;

/// Slices that a span is counted in; events share a slice, and a slice counts until it is wholly past.
const SLICES: u32 = 50;

/// Events of the last `span`.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    span: Duration,
    slices: VecDeque<(u64, u32)>,
    total: u32,
}

impl SlidingWindow {
    /// Returns an empty window over `span`.
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

    /// Counts one event.
    pub fn add(&mut self, now: Tick) {
        self.expire(now);
        let slice = self.slice(now);
        match self.slices.back_mut() {
            Some((last, count)) if *last >= slice => *count += 1,
            _ => self.slices.push_back((slice, 1)),
        }
        self.total += 1;
    }

    /// Returns the events of the last span, and at most one slice more.
    pub fn count(&mut self, now: Tick) -> u32 {
        self.expire(now);
        self.total
    }
}
