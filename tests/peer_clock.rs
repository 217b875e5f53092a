//! Estimates of a peer's clock, by which old messages are told from fresh ones.

mod support;

use std::time::Duration;

use support::ms;
use tamarackdeck::{PeerClock, Tick};

/// An exchange with a peer whose clock is `OFFSET_MS` ahead.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    sent: u64,
    /// Time until the peer stated its time, and from then until its reply was read, in milliseconds.
    there: u64,
    back: u64,
}

const OFFSET_MS: u64 = 70_000;

impl Exchange {
    fn clock(self) -> PeerClock {
        let (stated, received) = (self.sent + self.there, self.sent + self.there + self.back);
        PeerClock::from_exchange(ms(self.sent), ms(stated + OFFSET_MS), ms(received))
    }
}

struct Case {
    name: &'static str,
    exchanges: &'static [Exchange],
    now: u64,
    /// Maximum error stated at `now`, rounded down to milliseconds.
    max_error: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "the same way there and back",
        exchanges: &[Exchange { sent: 100, there: 5, back: 5 }],
        now: 110,
        max_error: 5,
    },
    Case {
        name: "the hello waited in the socket of a suspended peer",
        exchanges: &[Exchange { sent: 100, there: 400, back: 2 }],
        now: 502,
        max_error: 201,
    },
    Case {
        name: "the reply waited in the socket of a suspended instance",
        exchanges: &[Exchange { sent: 100, there: 2, back: 400 }],
        now: 502,
        max_error: 201,
    },
    Case {
        name: "a later exchange that was quicker counts",
        exchanges: &[
            Exchange { sent: 100, there: 400, back: 0 },
            Exchange { sent: 600, there: 2, back: 4 },
        ],
        now: 606,
        max_error: 3,
    },
    Case {
        name: "a later exchange that was slower does not count",
        exchanges: &[
            Exchange { sent: 100, there: 2, back: 4 },
            Exchange { sent: 600, there: 0, back: 400 },
        ],
        now: 1_000,
        max_error: 3,
    },
    Case {
        name: "an old estimate is less accurate, since clocks drift",
        exchanges: &[Exchange { sent: 0, there: 5, back: 5 }],
        now: 100_005,
        max_error: 15,
    },
];

#[test]
fn the_error_of_an_estimate_is_at_most_the_stated_one() {
    for case in CASES {
        let mut clock = case.exchanges[0].clock();
        for exchange in case.exchanges {
            clock.update(exchange.clock(), ms(exchange.sent + exchange.there + exchange.back));
        }
        let (now, actual) = (ms(case.now), ms(case.now + OFFSET_MS));
        let error = clock.max_error(now);
        assert_eq!(error.as_millis() as u64, case.max_error, "{}", case.name);
        let estimate: Tick = clock.peer_time(now);
        let off = estimate.since(actual).max(actual.since(estimate));
        assert!(off <= error + Duration::from_micros(1), "{}: off by {off:?}", case.name);
    }
}
