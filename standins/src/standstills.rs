//! Spans in which the machine did not run this process, as its own timer saw them.
//!
//! The timeouts of a deployment of real processes are in real time. A machine that stands still, for instance because
//! its host runs something else, exceeds them without a fault of the deployment.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Interval of the timer.
const INTERVAL: Duration = Duration::from_millis(5);
/// Delay of the timer from which it counts as a standstill; a machine with idle processors stays far below.
const MIN_STANDSTILL: Duration = Duration::from_millis(20);

/// Measures standstills from its start until it is dropped.
#[derive(Debug)]
pub struct Standstills {
    spans: Arc<Mutex<Vec<(Instant, Instant)>>>,
    stop: Arc<AtomicBool>,
}

impl Drop for Standstills {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Standstills {
    /// Starts a thread that sleeps and looks how late it wakes.
    pub fn start() -> Self {
        let this = Self { spans: Arc::default(), stop: Arc::default() };
        let (spans, stop) = (this.spans.clone(), this.stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let due = Instant::now() + INTERVAL;
                thread::sleep(INTERVAL);
                let woken = Instant::now();
                if woken - due >= MIN_STANDSTILL {
                    spans.lock().push((due, woken));
                }
            }
        });
        this
    }

    /// Returns the sum of the standstills between two times.
    pub fn total(&self, from: Instant, until: Instant) -> Duration {
        total(&self.spans.lock(), from, until)
    }
}

/// Returns how much of the time between `from` and `until` is within `spans`.
pub fn total(spans: &[(Instant, Instant)], from: Instant, until: Instant) -> Duration {
    let overlap = |(start, end): &(Instant, Instant)| {
        (*end.min(&until)).saturating_duration_since(*start.max(&from))
    };
    spans.iter().map(overlap).sum()
}
