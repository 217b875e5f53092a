//! Ejection of a server or failure domain, and the one probe that may end it.

mod support;

use std::time::Duration;

use support::ms;
use tamarackdeck::{DomainHealth, Probe, Sent, ServerStats, Tick};

/// How the probe of an ejected server ends.
#[derive(Clone, Copy)]
enum End {
    Answer,
    Failure,
    Shed,
    /// Its task is dropped, or it was never dispatched.
    Dropped,
    /// An answer to an earlier request ends the ejection; three failures begin another one, whose probe is in flight
    /// when this one's task is dropped.
    DroppedAfterNext,
}

struct ServerCase {
    name: &'static str,
    /// When probes are sent, in milliseconds after the ejection, and how each ends 100 ms later.
    probes: &'static [(u64, End)],
    /// Whether a request may be sent then, in milliseconds after the ejection.
    can_send: &'static [(u64, bool)],
}

/// The first ejection lasts 200 ms; each failed probe doubles it.
const SERVERS: &[ServerCase] = &[
    ServerCase { name: "no probe", probes: &[], can_send: &[(199, false), (200, true)] },
    ServerCase {
        name: "answered",
        probes: &[(200, End::Answer)],
        can_send: &[(299, false), (300, true)],
    },
    ServerCase {
        name: "failed",
        probes: &[(200, End::Failure)],
        can_send: &[(300, false), (699, false), (700, true)],
    },
    ServerCase {
        name: "shed",
        probes: &[(200, End::Shed)],
        can_send: &[(299, false), (300, true)],
    },
    ServerCase {
        name: "dropped: the wait is repeated",
        probes: &[(200, End::Dropped)],
        can_send: &[(300, false), (499, false), (500, true)],
    },
    ServerCase {
        name: "dropped before the ejection has lasted its time",
        probes: &[(50, End::Dropped)],
        can_send: &[(150, false), (199, false), (200, true)],
    },
    ServerCase {
        name: "dropped twice: the wait does not grow",
        probes: &[(200, End::Dropped), (500, End::Dropped)],
        can_send: &[(799, false), (800, true)],
    },
    ServerCase {
        name: "failed, then dropped: the longer wait is repeated",
        probes: &[(200, End::Failure), (700, End::Dropped)],
        can_send: &[(1_199, false), (1_200, true)],
    },
    ServerCase {
        name: "dropped, then answered",
        probes: &[(200, End::Dropped), (500, End::Answer)],
        can_send: &[(599, false), (600, true)],
    },
    ServerCase {
        name: "the end of an earlier ejection's probe is not that of the next one's",
        probes: &[(200, End::DroppedAfterNext)],
        can_send: &[(10_000, false)],
    },
];

const EJECTED_AT: u64 = 1_000;

fn eject(server: &mut ServerStats, at: u64) {
    (0..3).for_each(|_| server.record_failure(ms(at)));
}

fn end(server: &mut ServerStats, probe: Sent, end: End, at: u64) -> Option<Sent> {
    let mut next = None;
    match end {
        End::Answer => {
            server.record_answer(Duration::from_millis(9), Duration::from_millis(9), ms(at))
        }
        End::Failure => server.record_failure(ms(at)),
        End::Shed => server.record_shed(ms(at)),
        End::Dropped => {}
        End::DroppedAfterNext => {
            server.record_answer(Duration::from_millis(9), Duration::from_millis(9), ms(at));
            eject(server, at);
            next = Some(server.record_send(ms(at)));
        }
    }
    server.record_end(probe, ms(at));
    next
}

#[test]
fn an_ejection_is_never_longer_than_its_own_time_after_its_probe_has_ended() {
    let mut failures = Vec::new();
    for case in SERVERS {
        for (at, expected) in case.can_send {
            let mut server = ServerStats::default();
            eject(&mut server, EJECTED_AT);
            let mut in_flight = Vec::new();
            let mut pending = case.probes.iter().copied();
            let mut probe: Option<(u64, End, Sent)> = None;
            let mut next = pending.next();
            for now in EJECTED_AT..=EJECTED_AT + at {
                if let Some((_, how, sent)) = probe.take_if(|(sent_at, ..)| *sent_at + 100 == now) {
                    in_flight.extend(end(&mut server, sent, how, now));
                }
                if let Some((_, how)) = next.take_if(|(sent_at, _)| EJECTED_AT + *sent_at == now) {
                    probe = Some((now, how, server.record_send(ms(now))));
                    next = pending.next();
                }
            }
            if server.outlier.can_send(true, ms(EJECTED_AT + at)) != *expected {
                failures.push(format!("{}: after {at} ms not {expected}", case.name));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

struct DomainCase {
    name: &'static str,
    /// What is recorded while the probe is in flight, at 1200 ms.
    result: fn(&mut DomainHealth),
    /// How the probe ends.
    end: fn(&mut DomainHealth, Probe, Tick),
    /// Whether requests may be sent then, in milliseconds; the probe ends at 1300 ms.
    can_send: &'static [(u64, bool)],
}

/// The domain becomes unresponsive at 1000 ms; its probe is sent at 1200 ms.
const DOMAINS: &[DomainCase] = &[
    DomainCase {
        name: "an answer",
        result: |d| {
            d.record_answer();
        },
        end: DomainHealth::end_probe,
        can_send: &[(1_300, true)],
    },
    DomainCase {
        name: "not sent: the next request is the probe",
        result: |_| {},
        end: |domain, probe, _| domain.cancel_probe(probe),
        can_send: &[(1_300, true)],
    },
    DomainCase {
        name: "an answer, then not sent",
        result: |d| {
            d.record_answer();
        },
        end: |domain, probe, _| domain.cancel_probe(probe),
        can_send: &[(1_300, true)],
    },
    DomainCase {
        name: "no answer: the next wait is longer",
        result: |_| {},
        end: DomainHealth::end_probe,
        can_send: &[(1_300, false), (1_699, false), (1_700, true)],
    },
    DomainCase {
        name: "timed out",
        result: |d| d.record_unanswered(ms(1_250)),
        end: DomainHealth::end_probe,
        can_send: &[(1_300, false), (1_699, false), (1_700, true)],
    },
];

#[test]
fn a_domain_whose_probe_has_ended_gets_another() {
    let mut failures = Vec::new();
    for case in DOMAINS {
        for (at, expected) in case.can_send {
            let mut domain = DomainHealth::default();
            (0..3).for_each(|n| domain.record_unanswered(ms(900 + n * 50)));
            assert!(domain.is_unresponsive(), "{}", case.name);
            let probe = domain.record_send().expect("the probe");
            assert!(!domain.can_send(ms(9_000)), "{}: one probe at a time", case.name);
            assert!(domain.record_send().is_none(), "{}: one probe at a time", case.name);
            (case.result)(&mut domain);
            (case.end)(&mut domain, probe, ms(1_300));
            if domain.can_send(ms(*at)) != *expected {
                failures.push(format!("{}: after {at} ms not {expected}", case.name));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
