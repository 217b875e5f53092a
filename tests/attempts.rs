//! Attempts: what counts as an answer, and which refusals are true.

use bytes::Bytes;
use tamarackdeck::{Attempt, Fault, Held, Label, Outcome, RawAnswer, Said, Snapshot, Why};

fn label() -> Label {
    Label { request: 1, attempt: 2, shard: "s".into(), snapshot: Some(Snapshot(3)) }
}

struct AnswerCase {
    name: &'static str,
    change: fn(&mut RawAnswer),
    fault: Option<Fault>,
}

const ANSWERS: &[AnswerCase] = &[
    AnswerCase { name: "whole", change: |_| {}, fault: None },
    AnswerCase {
        name: "shorter than stated",
        change: |a| a.length += 1,
        fault: Some(Fault::Truncated),
    },
    AnswerCase {
        name: "longer than stated",
        change: |a| a.length -= 1,
        fault: Some(Fault::Truncated),
    },
    AnswerCase {
        name: "another request",
        change: |a| a.label.request = 9,
        fault: Some(Fault::Mismatch),
    },
    AnswerCase {
        name: "another attempt",
        change: |a| a.label.attempt = 9,
        fault: Some(Fault::Mismatch),
    },
    AnswerCase {
        name: "another shard",
        change: |a| a.label.shard = "t".into(),
        fault: Some(Fault::Mismatch),
    },
    AnswerCase {
        name: "another snapshot",
        change: |a| a.label.snapshot = Some(Snapshot(4)),
        fault: Some(Fault::Mismatch),
    },
    AnswerCase {
        name: "no snapshot",
        change: |a| a.label.snapshot = None,
        fault: Some(Fault::Mismatch),
    },
];

#[test]
fn only_a_whole_answer_to_this_attempt_counts() {
    for case in ANSWERS {
        let mut raw = RawAnswer { label: label(), length: 4, body: Bytes::from("body") };
        (case.change)(&mut raw);
        let outcome = Attempt::new(label()).hand().answer(raw);
        let want = case.fault.map_or(Outcome::Answer(Bytes::from("body")), Outcome::Unknown);
        assert_eq!(outcome, want, "{}", case.name);
    }
}

struct SaidCase {
    said: Said,
    why: Why,
}

const SAID: &[SaidCase] = &[
    SaidCase { said: Said::Shed, why: Why::Shed },
    SaidCase { said: Said::Draining, why: Why::Leaving },
    SaidCase { said: Said::TooLate, why: Why::TooLate },
    SaidCase { said: Said::Cancelled, why: Why::Cancelled },
    SaidCase {
        said: Said::NotHeld(Some(Held { oldest: Snapshot(1), newest: Snapshot(2) })),
        why: Why::NotHeld,
    },
];

#[test]
fn after_the_hand_over_only_the_upstreams_word_makes_a_refusal() {
    for case in SAID {
        let Outcome::NotRun(refusal) = Attempt::new(label()).hand().said(case.said) else {
            panic!("{:?} is no refusal", case.said);
        };
        assert_eq!(refusal.why(), case.why);
    }
    for fault in [Fault::Lost, Fault::Timeout, Fault::PeerLost, Fault::Upstream] {
        assert_eq!(Attempt::new(label()).hand().lost(fault), Outcome::Unknown(fault));
    }
    let back = Attempt::new(label()).hand().unsent();
    assert!(
        matches!(back.refuse(Why::NotConnected), Outcome::NotRun(_)),
        "given back whole, it may be refused"
    );
}
