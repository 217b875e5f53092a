//! A planned stop: callers are accepted during the notice, and the work in flight is finished.

mod support;

use support::ms;
use tamarackdeck::{InFlight, Instance, Starting, StopOptions};

struct Case {
    name: &'static str,
    in_flight: InFlight,
    /// Time since the start of the stop, in milliseconds.
    at: u64,
    accepts: bool,
    stops: bool,
}

const IDLE: InFlight = InFlight { requests: 0, gathers: 0 };

const CASES: &[Case] = &[
    Case {
        name: "idle, during the notice",
        in_flight: IDLE,
        at: 1_999,
        accepts: true,
        stops: false,
    },
    Case {
        name: "idle, after the notice",
        in_flight: IDLE,
        at: 2_000,
        accepts: false,
        stops: true,
    },
    Case {
        name: "a request of a caller in flight",
        in_flight: InFlight { requests: 1, ..IDLE },
        at: 9_000,
        accepts: false,
        stops: false,
    },
    Case {
        name: "a request of a peer in flight",
        in_flight: InFlight { gathers: 1, ..IDLE },
        at: 9_000,
        accepts: false,
        stops: false,
    },
    Case {
        name: "maximum duration reached",
        in_flight: InFlight { requests: 1, ..IDLE },
        at: 20_000,
        accepts: false,
        stops: true,
    },
];

#[test]
fn an_instance_stops_when_nothing_is_in_flight() {
    for case in CASES {
        let opts = StopOptions::default();
        let leaving = Instance::<Starting>::default().serve().leave(ms(0));
        assert_eq!(leaving.is_accepting(&opts, ms(case.at)), case.accepts, "{}", case.name);
        assert_eq!(
            leaving.try_stop(&opts, case.in_flight, ms(case.at)).is_ok(),
            case.stops,
            "{}",
            case.name
        );
    }
}
