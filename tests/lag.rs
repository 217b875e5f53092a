//! When a request came that is read late.

mod support;

use std::time::Duration;

use support::ms;
use tamarackdeck::{LAG_SAMPLE_INTERVAL, Lag};

struct Case {
    name: &'static str,
    /// Milliseconds at which the timer fired.
    fired: &'static [u64],
    read: u64,
    came: u64,
}

const CASES: &[Case] = &[
    Case { name: "nothing known", fired: &[], read: 900, came: 900 },
    Case { name: "on time", fired: &[100, 150, 200], read: 210, came: 210 },
    Case { name: "a little late", fired: &[100, 350], read: 351, came: 351 },
    Case { name: "read before the late timer", fired: &[100], read: 1_000, came: 400 },
    Case { name: "read after it", fired: &[100, 1_000], read: 1_010, came: 410 },
    Case {
        name: "read after one that was on time again",
        fired: &[100, 1_000, 1_050],
        read: 1_060,
        came: 460,
    },
    Case {
        name: "read long after it",
        fired: &[100, 1_000, 1_050, 1_100, 1_150],
        read: 1_160,
        came: 1_160,
    },
];

#[test]
fn a_request_that_is_read_late_has_less_time_left() {
    assert_eq!(LAG_SAMPLE_INTERVAL, Duration::from_millis(50), "the cases are for this time");
    for case in CASES {
        let mut lag = Lag::default();
        case.fired.iter().for_each(|at| lag.record_tick(ms(*at)));
        assert_eq!(lag.arrival(ms(case.read)), ms(case.came), "{}", case.name);
    }
}
