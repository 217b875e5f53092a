//! The adaptive limiter: it settles near the capacity of the upstreams and is lifted without overload.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tamarackdeck::{Limiter, Tick};

struct Case {
    name: &'static str,
    /// Queries offered, and queries that the upstreams can serve, per second.
    offered: f64,
    capacity: f64,
    /// Minimum and maximum rate of admitted queries at the end, per second.
    admitted: (f64, f64),
}

const CASES: &[Case] = &[
    Case { name: "below capacity", offered: 50.0, capacity: 100.0, admitted: (45.0, 55.0) },
    Case { name: "twice capacity", offered: 200.0, capacity: 100.0, admitted: (80.0, 110.0) },
    Case { name: "ten times capacity", offered: 1_000.0, capacity: 100.0, admitted: (80.0, 110.0) },
    Case { name: "a small share", offered: 20.0, capacity: 5.0, admitted: (3.5, 7.0) },
];

/// Offers load for 30 seconds to upstreams with one queue; returns the admitted rate of the last 15 seconds.
fn run(offered: f64, capacity: f64) -> f64 {
    let mut rng = StdRng::seed_from_u64(3);
    let mut limiter = Limiter::default();
    let (mut now, mut queue, mut admitted) = (Tick(0), 0.0f64, 0.0);
    while now < Tick(30_000_000) {
        let gap = -rng.random_range(1e-9f64..1.0).ln() / offered;
        now = now + Duration::from_secs_f64(gap);
        queue = (queue - gap * capacity).max(0.0);
        if limiter.try_admit(now) {
            queue += 1.0;
            admitted += f64::from(u8::from(now > Tick(15_000_000)));
        }
        // the queue counts as long when it holds the work of 100 ms
        let depth = queue / (capacity * 0.1).max(2.0) * 4.0;
        limiter.record_depth(depth, now);
    }
    admitted / 15.0
}

#[test]
fn the_admitted_rate_settles_at_the_capacity() {
    for case in CASES {
        let admitted = run(case.offered, case.capacity);
        assert!(
            (case.admitted.0..=case.admitted.1).contains(&admitted),
            "{}: {admitted}",
            case.name
        );
    }
}

#[test]
fn the_limit_is_lifted_after_the_overload() {
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
