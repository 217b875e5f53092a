//! What several test files share.
#![allow(dead_code)]

use tamarackdeck::Tick;

/// Returns the seeds of a randomised run: `first` fixed ones, or those that `SEEDS` asks for, as a
/// list (`SEEDS=7,12`) or as a count (`SEEDS=x500`).
pub fn seeds(first: u64) -> Vec<u64> {
    match std::env::var("SEEDS") {
        Err(_) => (0..first).collect(),
        Ok(s) => match s.strip_prefix('x') {
            Some(count) => (0..count.parse().expect("a count")).collect(),
            None => s.split(',').map(|n| n.parse().expect("a seed")).collect(),
        },
    }
}

/// Returns a time in milliseconds.
pub fn ms(n: u64) -> Tick {
    Tick(n * 1_000)
}
