//! A planned stop: callers are taken on for the notice, and nothing under way is left behind.

mod support;

use support::ms;
use tamarackdeck::{InFlight, Instance, Starting, StopOptions};

struct Case {
    name: &'static str,
    left: InFlight,
    /// Milliseconds since the stop was asked for.
    at: u64,
    takes: bool,
    stops: bool,
}

const IDLE: InFlight = InFlight { requests: 0, gathers: 0 };

const CASES: &[Case] = &[
    Case { name: "idle, in the notice", left: IDLE, at: 1_999, takes: true, stops: false },
    Case { name: "idle, after it", left: IDLE, at: 2_000, takes: false, stops: true },
    Case {
        name: "a caller waits",
        left: InFlight { requests: 1, ..IDLE },
        at: 9_000,
        takes: false,
        stops: false,
    },
    Case {
        name: "a peer waits",
        left: InFlight { gathers: 1, ..IDLE },
        at: 9_000,
        takes: false,
        stops: false,
    },
    Case {
        name: "too long",
        left: InFlight { requests: 1, ..IDLE },
        at: 20_000,
        takes: false,
        stops: true,
    },
];

#[test]
fn an_instance_stops_when_nothing_is_left() {
    for case in CASES {
        let opts = StopOptions::default();
        let leaving = Instance::<Starting>::default().serve().leave(ms(0));
        assert_eq!(leaving.is_accepting(&opts, ms(case.at)), case.takes, "{}", case.name);
        assert_eq!(
            leaving.try_stop(&opts, case.left, ms(case.at)).is_ok(),
            case.stops,
            "{}",
            case.name
        );
    }
}
