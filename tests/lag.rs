//! Estimated arrival times of requests that are read late.

mod support;

use std::time::Duration;

use support::ms;
use tamarackdeck::{LAG_SAMPLE_INTERVAL, Lag};

struct Case {
    name: &'static str,
    /// Times at which the timer fired, in milliseconds.
    fired: &'static [u64],
    read: u64,
    arrival: u64,
}

const CASES: &[Case] = &[
    Case { name: "no samples", fired: &[], read: 900, arrival: 900 },
    Case { name: "on time", fired: &[100, 150, 200], read: 210, arrival: 210 },
    Case { name: "a little late", fired: &[100, 350], read: 351, arrival: 351 },
    Case { name: "read before the late timer", fired: &[100], read: 1_000, arrival: 400 },
    Case { name: "read after the late timer", fired: &[100, 1_000], read: 1_010, arrival: 410 },
    Case {
        name: "read after the timer is on time again",
        fired: &[100, 1_000, 1_050],
        read: 1_060,
        arrival: 460,
    },
    Case {
        name: "read long after the late timer",
        fired: &[100, 1_000, 1_050, 1_100, 1_150],
        read: 1_160,
        arrival: 1_160,
    },
];

#[test]
fn a_request_that_is_read_late_has_less_time_left() {
    assert_eq!(LAG_SAMPLE_INTERVAL, Duration::from_millis(50), "the cases assume this interval");
    for case in CASES {
        let mut lag = Lag::default();
        case.fired.iter().for_each(|at| lag.record_tick(ms(*at)));
        assert_eq!(lag.arrival(ms(case.read)), ms(case.arrival), "{}", case.name);
    }
}
