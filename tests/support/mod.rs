//! Helpers shared by several test files.
#![allow(dead_code)]

use tamarackdeck::{Reservation, SendPermit, ServerNotices, Tick};

/// Returns the seeds of a randomized test: `default_count` fixed ones, or those that `SEEDS` gives as a list
/// (`SEEDS=7,12`) or as a count (`SEEDS=x500`).
pub fn seeds(default_count: u64) -> Vec<u64> {
    match std::env::var("SEEDS") {
        Err(_) => (0..default_count).collect(),
        Ok(list) => match list.strip_prefix('x') {
            Some(count) => (0..count.parse().expect("a count")).collect(),
            None => list.split(',').map(|n| n.parse().expect("a seed")).collect(),
        },
    }
}

/// Converts milliseconds to a tick.
pub fn ms(n: u64) -> Tick {
    Tick(n * 1_000)
}

/// Returns the permit to send to a server that asked for nothing.
pub fn permit() -> SendPermit {
    ServerNotices::default()
        .permit(&Reservation::default(), Tick::default())
        .expect("it asked for nothing")
}
