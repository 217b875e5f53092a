//! Quantiles of answer times from a histogram that decays old counts.

use std::time::Duration;

/// Number of buckets, each a quarter of an octave wide, from 64 µs to about 67 s.
const BUCKETS: usize = 80;
/// Upper bound of the first bucket, in microseconds.
const FIRST_US: f64 = 64.0;
/// Total count at which all buckets are halved.
const DECAY_COUNT: u32 = 1_024;
/// Minimum count for an estimate.
const MIN_COUNT: u32 = 50;

/// A histogram of recent answer times.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl LatencyHistogram {
    /// Records an answer time.
    pub fn record(&mut self, latency: Duration) {
        let us = (latency.as_micros() as f64).max(FIRST_US);
        let bucket = ((us / FIRST_US).log2() * 4.0).ceil() as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= DECAY_COUNT {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Returns the time within which `share` of the answers arrived, or `None` below the minimum count.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        if self.total < MIN_COUNT {
            return None;
        }
        let target_rank = (f64::from(self.total) * share).ceil() as u32;
        let mut rank = 0;
        let bucket = self.counts.iter().position(|c| {
            rank += c;
            rank >= target_rank
        })?;
        Some(Duration::from_micros((FIRST_US * (bucket as f64 / 4.0).exp2()) as u64))
    }
}
