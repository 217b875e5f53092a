//! A planned stop: callers are taken on for the notice, and nothing under way is left behind.

mod support;

use support::ms;
use tamarackdeck::{Instance, Starting, StopOptions, UnderWay};

struct Case {
    name: &'static str,
    left: UnderWay,
    /// Milliseconds since the stop was asked for.
    at: u64,
    takes: bool,
    stops: bool,
}

const IDLE: UnderWay = UnderWay { flights: 0, gathered: 0 };

const CASES: &[Case] = &[
    Case { name: "idle, in the notice", left: IDLE, at: 1_999, takes: true, stops: false },
    Case { name: "idle, after it", left: IDLE, at: 2_000, takes: false, stops: true },
    Case {
        name: "a caller waits",
        left: UnderWay { flights: 1, ..IDLE },
        at: 9_000,
        takes: false,
        stops: false,
    },
    Case {
        name: "a peer waits",
        left: UnderWay { gathered: 1, ..IDLE },
        at: 9_000,
        takes: false,
        stops: false,
    },
    Case {
        name: "too long",
        left: UnderWay { flights: 1, ..IDLE },
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
        assert_eq!(leaving.takes(&opts, ms(case.at)), case.takes, "{}", case.name);
        assert_eq!(
            leaving.stop(&opts, case.left, ms(case.at)).is_ok(),
            case.stops,
            "{}",
            case.name
        );
    }
}
