//! Attempts: which answers are accepted, and when a request is known not to have run.

mod support;

use bytes::Bytes;
use support::permit;
use tamarackdeck::{
    Attempt, ConnectionUse, Dispatched, Fault, Label, NotRunCode, Outcome, RawAnswer, Replied,
    Snapshot, SnapshotRange, UpstreamRefusal, is_final_status, parse_label,
};

fn label() -> Label {
    Label { request: 1, attempt: 2, shard: "s".into(), snapshot: Some(Snapshot(3)) }
}

fn dispatched() -> Attempt<Dispatched> {
    Attempt::new(label().to_string()).dispatch(permit())
}

fn replied() -> Attempt<Replied> {
    dispatched().identify(Some(&label().to_string()), ConnectionUse::Reused).unwrap()
}

struct AnswerCase {
    name: &'static str,
    change: fn(&mut Label, &mut usize),
    fault: Option<Fault>,
}

const ANSWERS: &[AnswerCase] = &[
    AnswerCase { name: "complete", change: |_, _| {}, fault: None },
    AnswerCase {
        name: "shorter than stated",
        change: |_, stated| *stated += 1,
        fault: Some(Fault::Truncated),
    },
    AnswerCase {
        name: "longer than stated",
        change: |_, stated| *stated -= 1,
        fault: Some(Fault::Truncated),
    },
    AnswerCase {
        name: "another request",
        change: |l, _| l.request = 9,
        fault: Some(Fault::Mismatch),
    },
    AnswerCase {
        name: "another attempt",
        change: |l, _| l.attempt = 9,
        fault: Some(Fault::Mismatch),
    },
    AnswerCase {
        name: "another shard",
        change: |l, _| l.shard = "t".into(),
        fault: Some(Fault::Mismatch),
    },
    AnswerCase {
        name: "another snapshot",
        change: |l, _| l.snapshot = Some(Snapshot(4)),
        fault: Some(Fault::Mismatch),
    },
    AnswerCase {
        name: "no snapshot",
        change: |l, _| l.snapshot = None,
        fault: Some(Fault::Mismatch),
    },
];

#[test]
fn only_a_complete_answer_to_this_attempt_is_accepted() {
    for case in ANSWERS {
        let (mut echoed, mut stated) = (label(), 4);
        (case.change)(&mut echoed, &mut stated);
        let raw = RawAnswer {
            stated_length: Some(stated),
            received_length: 4,
            answer: Bytes::from("body"),
        };
        let echoed = echoed.to_string();
        let outcome = match dispatched().identify(Some(&echoed), ConnectionUse::First) {
            Ok(replied) => replied.complete(raw),
            Err(fault) => Outcome::Unknown(fault),
        };
        let want = case.fault.map_or(Outcome::Answer(Bytes::from("body")), Outcome::Unknown);
        assert_eq!(outcome, want, "{}", case.name);
    }
}

struct IdentityCase {
    name: &'static str,
    echoed: fn(String) -> Option<String>,
    connection: ConnectionUse,
    is_own: bool,
}

const IDENTITIES: &[IdentityCase] = &[
    IdentityCase {
        name: "its own label",
        echoed: Some,
        connection: ConnectionUse::Reused,
        is_own: true,
    },
    IdentityCase {
        name: "another label on a new connection",
        echoed: |label| Some(label + "x"),
        connection: ConnectionUse::First,
        is_own: false,
    },
    IdentityCase {
        name: "no label, on a new connection",
        echoed: |_| None,
        connection: ConnectionUse::First,
        is_own: true,
    },
    IdentityCase {
        name: "no label, where an earlier request's reply may come late",
        echoed: |_| None,
        connection: ConnectionUse::Reused,
        is_own: false,
    },
    IdentityCase {
        name: "an empty label",
        echoed: |_| Some(String::new()),
        connection: ConnectionUse::First,
        is_own: false,
    },
];

#[test]
fn a_reply_that_may_be_another_requests_neither_answers_nor_refuses() {
    for case in IDENTITIES {
        let echoed = (case.echoed)(label().to_string());
        let identified = dispatched().identify(echoed.as_deref(), case.connection);
        let want = if case.is_own { None } else { Some(Fault::Mismatch) };
        assert_eq!(identified.err(), want, "{}", case.name);
    }
}

struct RefusalCase {
    refusal: UpstreamRefusal,
    code: NotRunCode,
}

const REFUSALS: &[RefusalCase] = &[
    RefusalCase { refusal: UpstreamRefusal::Shed, code: NotRunCode::Shed },
    RefusalCase { refusal: UpstreamRefusal::Draining, code: NotRunCode::Leaving },
    RefusalCase { refusal: UpstreamRefusal::TooLate, code: NotRunCode::TooLate },
    RefusalCase { refusal: UpstreamRefusal::Replaced, code: NotRunCode::Replaced },
    RefusalCase {
        refusal: UpstreamRefusal::NotHeld(Some(SnapshotRange {
            oldest: Snapshot(1),
            newest: Snapshot(2),
        })),
        code: NotRunCode::NotHeld,
    },
];

#[test]
fn after_dispatch_only_the_upstream_can_refuse() {
    for case in REFUSALS {
        let Outcome::<Bytes>::NotRun(refusal) = replied().refused_by_upstream(case.refusal) else {
            panic!("{:?} is no refusal", case.refusal);
        };
        assert_eq!(refusal.reason(), case.code);
    }
    for fault in [Fault::Lost, Fault::Timeout, Fault::Upstream] {
        assert_eq!(
            Attempt::new(label().to_string()).dispatch(permit()).fail(fault),
            Outcome::<Bytes>::Unknown(fault)
        );
    }
    let back = Attempt::new(label().to_string()).dispatch(permit()).into_pending();
    assert!(
        matches!(back.refuse(NotRunCode::NotConnected), Outcome::<Bytes>::NotRun(_)),
        "an attempt returned unsent may be refused"
    );
}

#[test]
fn a_label_is_parsed_from_its_text() {
    let labels = [label(), Label { snapshot: None, shard: "a.b".into(), ..label() }];
    for label in labels {
        assert_eq!(parse_label(&label.to_string()), Some(label));
    }
    for text in ["", "1", "1.2", "1.2.x.s", "a.2.3.s", "1.2.3"] {
        assert_eq!(parse_label(text), None, "{text}");
    }
}

/// A status of a server's answer.
struct StatusCase {
    status: u16,
    is_final: bool,
}

const STATUSES: &[StatusCase] = &[
    StatusCase { status: 0, is_final: false },
    StatusCase { status: 99, is_final: false },
    StatusCase { status: 100, is_final: false },
    StatusCase { status: 101, is_final: false },
    StatusCase { status: 199, is_final: false },
    StatusCase { status: 200, is_final: true },
    StatusCase { status: 304, is_final: true },
    StatusCase { status: 599, is_final: true },
    StatusCase { status: 600, is_final: false },
    StatusCase { status: 999, is_final: false },
    StatusCase { status: 2_000, is_final: false },
];

#[test]
fn only_a_final_status_answers() {
    for case in STATUSES {
        assert_eq!(is_final_status(case.status), case.is_final, "{}", case.status);
    }
}
