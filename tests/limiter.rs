//! The limiter of an entry: it settles near what upstreams bear, and lets go when they bear all.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tamarackdeck::{Limiter, Tick};

struct Case {
    name: &'static str,
    /// Queries offered and borne, a second.
    offered: f64,
    borne: f64,
    /// Least and most queries taken on a second, at the end.
    taken: (f64, f64),
}

const CASES: &[Case] = &[
    Case { name: "below capacity", offered: 50.0, borne: 100.0, taken: (45.0, 55.0) },
    Case { name: "twice capacity", offered: 200.0, borne: 100.0, taken: (80.0, 110.0) },
    Case { name: "ten times capacity", offered: 1_000.0, borne: 100.0, taken: (80.0, 110.0) },
    Case { name: "a small share", offered: 20.0, borne: 5.0, taken: (3.5, 7.0) },
];

/// Offers load for 30 seconds to upstreams with one queue; returns the rate taken on in the last 15.
fn run(offered: f64, borne: f64) -> f64 {
    let mut rng = StdRng::seed_from_u64(3);
    let mut limiter = Limiter::default();
    let (mut now, mut queue, mut taken) = (Tick(0), 0.0f64, 0.0);
    while now < Tick(30_000_000) {
        let gap = -rng.random_range(1e-9f64..1.0).ln() / offered;
        now = now + Duration::from_secs_f64(gap);
        queue = (queue - gap * borne).max(0.0);
        if limiter.try_admit(now) {
            queue += 1.0;
            taken += f64::from(u8::from(now > Tick(15_000_000)));
        }
        // the queue counts as long when a tenth of a second's work waits
        let depth = queue / (borne * 0.1).max(2.0) * 4.0;
        limiter.record_depth(depth, now);
    }
    taken / 15.0
}

#[test]
fn the_rate_taken_on_settles_at_what_is_borne() {
    for case in CASES {
        let taken = run(case.offered, case.borne);
        assert!((case.taken.0..=case.taken.1).contains(&taken), "{}: {taken}", case.name);
    }
}

#[test]
fn it_lets_go_when_the_load_has_passed() {
    let mut limiter = Limiter::default();
    let mut now = Tick(1_000_000);
    (0..50).for_each(|_| assert!(limiter.try_admit(now)));
    (0..20).for_each(|_| limiter.record_depth(9.0, now));
    assert!(limiter.rate().is_some());
    for _ in 0..100 {
        now = now + Duration::from_millis(200);
        limiter.try_admit(now);
        limiter.record_depth(0.0, now);
    }
    assert_eq!(limiter.rate(), None);
}
