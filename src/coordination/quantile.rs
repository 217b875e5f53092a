//! A learnt quantile of answer times, from a histogram whose old counts fade.

use std::time::Duration;

/// Buckets; each is a quarter of an octave wide, from 64 µs to about 67 s.
const BUCKETS: usize = 80;
/// Upper end of the first bucket, in microseconds.
const FIRST_US: f64 = 64.0;
/// Count at which all buckets are halved.
const DECAY_COUNT: u32 = 1_024;
/// Count below which nothing has been learnt yet.
const MIN_COUNT: u32 = 50;

/// Answer times seen lately.
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
    /// Adds an answer time.
    pub fn record(&mut self, took: Duration) {
        let us = (took.as_micros() as f64).max(FIRST_US);
        let bucket = ((us / FIRST_US).log2() * 4.0).ceil() as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= DECAY_COUNT {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Returns the time within which `share` of the answers came, once enough were seen.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        if self.total < MIN_COUNT {
            return None;
        }
        let want = (f64::from(self.total) * share).ceil() as u32;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|c| {
            seen += c;
            seen >= want
        })?;
        Some(Duration::from_micros((FIRST_US * (bucket as f64 / 4.0).exp2()) as u64))
    }
}
