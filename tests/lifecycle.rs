//! A planned stop: callers are accepted during the notice, and what has begun is finished before the process ends.

mod support;

use std::time::Duration;

use support::ms;
use tamarackdeck::{
    CallerConnection, CallerLimits, Closing, ConnectionPhase, Instance, Starting, StopOptions,
    StopTimes, Tick, Unfinished,
};

struct Case {
    name: &'static str,
    unfinished: Unfinished,
    is_announced: bool,
    /// Time since the start of the stop, in milliseconds.
    at: u64,
    announces: bool,
    stops: bool,
}

const NOTHING: Unfinished = Unfinished { connections: 0, requests: 0, gathers: 0, changes: 0 };
const CASE: Case = Case {
    name: "",
    unfinished: NOTHING,
    is_announced: false,
    at: 2_000,
    announces: false,
    stops: false,
};

const CASES: &[Case] = &[
    Case { name: "nothing unfinished, peers do not know", announces: true, ..CASE },
    Case {
        name: "nothing unfinished, peers know",
        is_announced: true,
        announces: true,
        stops: true,
        ..CASE
    },
    Case {
        name: "a connection whose answer is being written",
        unfinished: Unfinished { connections: 1, ..NOTHING },
        at: 9_000,
        ..CASE
    },
    Case {
        name: "a request whose caller has left",
        unfinished: Unfinished { requests: 1, ..NOTHING },
        at: 9_000,
        ..CASE
    },
    Case {
        name: "a request of a peer",
        unfinished: Unfinished { gathers: 1, ..NOTHING },
        at: 9_000,
        ..CASE
    },
    Case {
        name: "a change of an operator",
        unfinished: Unfinished { changes: 1, ..NOTHING },
        at: 9_000,
        ..CASE
    },
    Case {
        name: "a request that lasts, shortly before the end",
        unfinished: Unfinished { requests: 1, ..NOTHING },
        at: 19_500,
        announces: true,
        ..CASE
    },
    Case {
        name: "a request that lasts, and peers know",
        unfinished: Unfinished { requests: 1, ..NOTHING },
        is_announced: true,
        at: 19_999,
        announces: true,
        ..CASE
    },
    Case {
        name: "maximum duration reached",
        unfinished: Unfinished { connections: 3, requests: 1, gathers: 1, changes: 1 },
        at: 20_000,
        announces: true,
        stops: true,
        ..CASE
    },
];

fn closing() -> Instance<Closing> {
    let times = StopTimes::new(&StopOptions::default(), ms(0));
    let leaving = Instance::<Starting>::default().serve().leave(times);
    leaving.try_close(times.accepts_until).unwrap()
}

#[test]
fn an_instance_stops_when_nothing_is_unfinished() {
    for case in CASES {
        let announces = closing().announces(case.unfinished, ms(case.at));
        assert_eq!(announces, case.announces, "{}", case.name);
        let stopped = closing().try_stop(case.unfinished, case.is_announced, ms(case.at));
        assert_eq!(stopped.is_ok(), case.stops, "{}", case.name);
    }
}

struct TimesCase {
    name: &'static str,
    opts: StopOptions,
    /// Until when connections are accepted, when peers are told at the latest, when requests are given up, and the end, in
    /// milliseconds.
    times: [u64; 4],
}

const fn opts(notice_ms: u64, max_ms: u64) -> StopOptions {
    let [notice, max_duration] = [Duration::from_millis(notice_ms), Duration::from_millis(max_ms)];
    StopOptions { notice, max_duration }
}

const TIMES: &[TimesCase] = &[
    TimesCase {
        name: "of the platform",
        opts: opts(2_800, 5_500),
        times: [2_800, 4_900, 5_300, 5_500],
    },
    TimesCase {
        name: "of the own interface",
        opts: opts(2_000, 20_000),
        times: [2_000, 19_400, 19_800, 20_000],
    },
    TimesCase { name: "short", opts: opts(50, 400), times: [50, 300, 350, 400] },
    TimesCase {
        name: "a notice of the whole stop",
        opts: opts(500, 400),
        times: [400, 300, 350, 400],
    },
    TimesCase { name: "none", opts: opts(0, 0), times: [0, 0, 0, 0] },
];

#[test]
fn the_times_of_a_stop_are_within_it() {
    for case in TIMES {
        let times = StopTimes::new(&case.opts, ms(10_000));
        let StopTimes { accepts_until, departs_at, answers_at, ends_at } = times;
        let expected = case.times.map(|at| ms(10_000 + at));
        assert_eq!([accepts_until, departs_at, answers_at, ends_at], expected, "{}", case.name);
        let leaving = Instance::<Starting>::default().serve().leave(times);
        assert!(leaving.is_accepting(ms(9_999)), "{}", case.name);
        let before = Tick(accepts_until.0 - 1);
        assert!(leaving.try_close(before).is_err(), "{}", case.name);
    }
}

#[derive(Clone, Copy)]
enum Event {
    Read,
    Request,
    Answer,
    Write,
    Flush,
}

struct PhaseCase {
    name: &'static str,
    events: &'static [Event],
    phase: ConnectionPhase,
    /// From when on a stop closes the connection, in milliseconds, with three seconds for a head.
    closes_at: Option<u64>,
    /// From when on its caller has taken too long.
    expires_at: Option<u64>,
}

const OPENED_AT: u64 = 10_000;
const READ_AT: u64 = 10_700;
const WRITTEN_AT: u64 = 11_000;
const LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 1 << 20,
    header_timeout: Duration::from_millis(3_000),
    idle_timeout: Duration::from_millis(15_000),
};
const PHASES: &[PhaseCase] = &[
    PhaseCase {
        name: "nothing received",
        events: &[],
        phase: ConnectionPhase::Fresh,
        closes_at: Some(OPENED_AT + 3_000),
        expires_at: Some(OPENED_AT + 15_000),
    },
    PhaseCase {
        name: "a part of a head",
        events: &[Event::Read],
        phase: ConnectionPhase::Reading,
        closes_at: Some(READ_AT + 3_000),
        expires_at: Some(READ_AT + 3_000),
    },
    PhaseCase {
        name: "a request is handled, and the rest of its body comes",
        events: &[Event::Read, Event::Request, Event::Read, Event::Flush],
        phase: ConnectionPhase::Busy,
        closes_at: None,
        expires_at: None,
    },
    PhaseCase {
        name: "an answer is handed over and not written",
        events: &[Event::Read, Event::Request, Event::Answer],
        phase: ConnectionPhase::Busy,
        closes_at: None,
        expires_at: Some(READ_AT + 15_000),
    },
    PhaseCase {
        name: "an answer is written",
        events: &[Event::Read, Event::Request, Event::Answer, Event::Flush],
        phase: ConnectionPhase::Idle,
        closes_at: Some(READ_AT),
        expires_at: Some(READ_AT + 15_000),
    },
    PhaseCase {
        name: "a part of a second head",
        events: &[Event::Read, Event::Request, Event::Answer, Event::Flush, Event::Read],
        phase: ConnectionPhase::Reading,
        closes_at: Some(READ_AT + 3_000),
        expires_at: Some(READ_AT + 3_000),
    },
    PhaseCase {
        name: "a second request, while what was handed over before is written",
        events: &[
            Event::Read,
            Event::Request,
            Event::Answer,
            Event::Flush,
            Event::Request,
            Event::Flush,
        ],
        phase: ConnectionPhase::Busy,
        closes_at: None,
        expires_at: None,
    },
    PhaseCase {
        name: "an answer that is read slowly",
        events: &[Event::Read, Event::Request, Event::Answer, Event::Write],
        phase: ConnectionPhase::Busy,
        closes_at: None,
        expires_at: Some(WRITTEN_AT + 15_000),
    },
];

#[test]
fn a_connection_is_closed_by_what_it_is_doing() {
    for case in PHASES {
        let mut conn = CallerConnection::open(ms(OPENED_AT));
        for event in case.events {
            match event {
                Event::Read => {
                    conn.record_read(ms(READ_AT));
                }
                Event::Request => conn.record_request(),
                Event::Answer => conn.record_answer(ms(READ_AT)),
                Event::Write => conn.record_write(ms(WRITTEN_AT)),
                Event::Flush => {
                    conn.record_flush(ms(READ_AT));
                }
            }
        }
        assert_eq!(conn.phase(), case.phase, "{}", case.name);
        assert_eq!(conn.expires_at(&LIMITS), case.expires_at.map(ms), "{}", case.name);
        assert_eq!(conn.closes_at(), None, "{}: before the stop closes any", case.name);
        conn.begin_close(Duration::from_secs(3));
        assert_eq!(conn.closes_at(), case.closes_at.map(ms), "{}", case.name);
    }
}
