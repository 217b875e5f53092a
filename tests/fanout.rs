//! The fan-out of a query: one snapshot, true coverage, bounded extra attempts, answers in time.

mod support;

use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{ms, seeds};
use tamarackdeck::{
    Attempt, AttemptKey, Choices, Effect, FanOut, FanOutOptions, Fault, Held, Key, Label, Missing,
    Outcome, Prefer, Progress, RawAnswer, Said, SendAttempt, ShardEntry, Snapshot, Tick,
    UpstreamKey, Why,
};

fn up(n: usize) -> UpstreamKey {
    UpstreamKey::new(n as u32, 0)
}

fn shards(count: usize, replicas: usize) -> Vec<ShardEntry> {
    let shard = |s| ShardEntry {
        name: format!("s{s}"),
        replicas: (0..replicas).map(|r| up(s * replicas + r)).collect(),
    };
    (0..count).map(shard).collect()
}

/// Choices that take replicas in order, with a counted budget.
struct InOrder {
    budget: u32,
    hedge: Option<Duration>,
    spent: u32,
}

impl Choices for InOrder {
    fn pick(
        &mut self,
        replicas: &[UpstreamKey],
        tried: &[UpstreamKey],
        _: Tick,
    ) -> Option<UpstreamKey> {
        replicas.iter().find(|r| !tried.contains(r)).or(replicas.first()).copied()
    }

    fn idle(&self, _: UpstreamKey) -> bool {
        true
    }

    fn spend(&mut self) -> bool {
        let ok = self.budget > 0;
        self.budget -= u32::from(ok);
        self.spent += u32::from(ok);
        ok
    }

    fn earn(&mut self) {}

    fn hedge_after(&mut self, _: UpstreamKey) -> Option<Duration> {
        self.hedge
    }
}

fn answered(send: &SendAttempt) -> Outcome {
    let body = Bytes::from(format!("{:?}", send.label));
    Attempt::new(send.label.clone()).hand().answer(RawAnswer {
        label: send.label.clone(),
        length: body.len(),
        body,
    })
}

fn not_run(why: Why) -> Outcome {
    Attempt::new(Label::default()).refuse(why)
}

fn not_held() -> Outcome {
    Attempt::new(Label::default()).hand().said(Said::NotHeld(Some(Held::default())))
}

/// What one attempt at the single shard comes to.
#[derive(Clone, Copy, Debug)]
enum Event {
    Answer,
    NotRun(Why),
    NotHeld,
    Unknown(Fault),
    Wait(u64),
}

struct Case {
    name: &'static str,
    prefer: Prefer,
    budget: u32,
    hedge_ms: Option<u64>,
    events: &'static [Event],
    sent: usize,
    end: Result<(), Missing>,
}

const SOFT_MS: u64 = 100;
const HARD_MS: u64 = 400;

const CASES: &[Case] = &[
    Case {
        name: "first answer",
        prefer: Prefer::Tail,
        budget: 0,
        hedge_ms: None,
        events: &[Event::Answer],
        sent: 1,
        end: Ok(()),
    },
    Case {
        name: "a refusal costs no budget",
        prefer: Prefer::Tail,
        budget: 0,
        hedge_ms: None,
        events: &[Event::NotRun(Why::QueueFull), Event::Answer],
        sent: 2,
        end: Ok(()),
    },
    Case {
        name: "a failure costs budget",
        prefer: Prefer::Tail,
        budget: 0,
        hedge_ms: None,
        events: &[Event::Unknown(Fault::Lost), Event::Wait(SOFT_MS)],
        sent: 1,
        end: Err(Missing::Failed(Fault::Lost)),
    },
    Case {
        name: "a failure is tried again at another replica",
        prefer: Prefer::Tail,
        budget: 1,
        hedge_ms: None,
        events: &[Event::Unknown(Fault::Mismatch), Event::Answer],
        sent: 2,
        end: Ok(()),
    },
    Case {
        name: "a straggler is hedged",
        prefer: Prefer::Tail,
        budget: 1,
        hedge_ms: Some(20),
        events: &[Event::Wait(20), Event::Answer],
        sent: 2,
        end: Ok(()),
    },
    Case {
        name: "no hedge without budget",
        prefer: Prefer::Tail,
        budget: 0,
        hedge_ms: Some(20),
        events: &[Event::Wait(20), Event::Answer],
        sent: 1,
        end: Ok(()),
    },
    Case {
        name: "tail first answers at the soft deadline",
        prefer: Prefer::Tail,
        budget: 0,
        hedge_ms: None,
        events: &[Event::Wait(SOFT_MS)],
        sent: 1,
        end: Err(Missing::Deadline),
    },
    Case {
        name: "coverage first waits to the hard deadline",
        prefer: Prefer::Coverage,
        budget: 0,
        hedge_ms: None,
        events: &[Event::Wait(SOFT_MS), Event::Wait(HARD_MS - 1), Event::Answer],
        sent: 1,
        end: Ok(()),
    },
    Case {
        name: "no replica holds the snapshot",
        prefer: Prefer::Tail,
        budget: 0,
        hedge_ms: None,
        events: &[Event::NotHeld, Event::NotHeld],
        sent: 2,
        end: Err(Missing::Refused(Why::NotHeld)),
    },
    Case {
        name: "both refuse, then one takes it",
        prefer: Prefer::Tail,
        budget: 0,
        hedge_ms: None,
        events: &[
            Event::NotRun(Why::Ejected),
            Event::NotRun(Why::TooLate),
            Event::Wait(30),
            Event::Answer,
        ],
        sent: 3,
        end: Ok(()),
    },
];

fn options(prefer: Prefer, may_restart: bool) -> FanOutOptions {
    let (soft, hard) = (ms(SOFT_MS), ms(HARD_MS));
    FanOutOptions { request: 7, soft, hard, prefer, may_restart, ..Default::default() }
}

fn sends(effects: Vec<Effect>, flying: &mut Vec<SendAttempt>, cancelled: &mut Vec<AttemptKey>) {
    for effect in effects {
        match effect {
            Effect::Send(send) => flying.push(send),
            Effect::Cancel(key) => cancelled.push(key),
        }
    }
}

#[test]
fn one_shard_is_asked_as_the_policy_says() {
    for case in CASES {
        let mut choices = InOrder {
            budget: case.budget,
            hedge: case.hedge_ms.map(Duration::from_millis),
            spent: 0,
        };
        let opts = options(case.prefer, false);
        let (mut fan, effects) =
            FanOut::start(opts, Snapshot(3), &shards(1, 2), &mut choices, ms(0));
        let (mut sent, mut cancelled, mut now) = (Vec::new(), Vec::new(), ms(0));
        sends(effects, &mut sent, &mut cancelled);
        for event in case.events {
            let last = sent.last().unwrap().clone();
            let outcome = match event {
                Event::Wait(at) => {
                    now = now.max(ms(*at));
                    sends(fan.tick(&mut choices, now), &mut sent, &mut cancelled);
                    continue;
                }
                Event::Answer => answered(&last),
                Event::NotRun(why) => not_run(*why),
                Event::NotHeld => not_held(),
                Event::Unknown(fault) => Attempt::new(Label::default()).hand().lost(*fault),
            };
            sends(fan.outcome(last.key, outcome, &mut choices, now), &mut sent, &mut cancelled);
        }
        assert_eq!(fan.progress(now), Progress::Done, "{}", case.name);
        let (answer, _) = fan.finish();
        assert_eq!(sent.len(), case.sent, "{}: attempts", case.name);
        let end = answer.missing.first().map_or(Ok(()), |(_, why)| Err(*why));
        assert_eq!(end, case.end, "{}", case.name);
    }
}

#[test]
fn a_lost_snapshot_asks_for_a_new_start_only_when_allowed() {
    for (may_restart, want) in [(true, Progress::SnapshotLost), (false, Progress::Done)] {
        let mut choices = InOrder { budget: 0, hedge: None, spent: 0 };
        let opts = options(Prefer::Coverage, may_restart);
        let (mut fan, effects) =
            FanOut::start(opts, Snapshot(3), &shards(1, 1), &mut choices, ms(0));
        let Effect::Send(send) = &effects[0] else { panic!("no attempt") };
        fan.outcome(send.key, not_held(), &mut choices, ms(1));
        assert_eq!(fan.progress(ms(1)), want);
    }
}

/// Drives a query with random outcomes, late and doubled ones among them, and checks its answer.
fn random_query(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (count, replicas) = (rng.random_range(1..8), rng.random_range(1..4));
    let prefer = if rng.random_bool(0.5) { Prefer::Tail } else { Prefer::Coverage };
    let budget = rng.random_range(0..6);
    let mut choices = InOrder { budget, hedge: Some(Duration::from_millis(15)), spent: 0 };
    let opts = options(prefer, rng.random_bool(0.5));
    let snapshot = Snapshot(rng.random_range(1..9));
    let (mut fan, effects) =
        FanOut::start(opts, snapshot, &shards(count, replicas), &mut choices, ms(0));
    let (mut flying, mut cancelled, mut now) = (Vec::new(), Vec::new(), ms(0));
    sends(effects, &mut flying, &mut cancelled);
    let (mut attempts, mut seen) = (Vec::new(), Vec::new());
    let progress = loop {
        for send in flying.iter().filter(|s| !seen.contains(&s.label.attempt)) {
            assert_eq!(send.label.snapshot, Some(snapshot), "one snapshot");
            assert!(!attempts.contains(&send.label.attempt), "attempts are numbered once");
            attempts.push(send.label.attempt);
        }
        seen.clone_from(&attempts);
        let progress = fan.progress(now);
        if progress != Progress::Running {
            break progress;
        }
        assert!(fan.wake() <= opts.hard, "it wakes by its hard deadline");
        if flying.is_empty() || rng.random_bool(0.3) {
            // the driver sleeps no longer than it was told
            let wake = fan.wake().max(now);
            now =
                if rng.random_bool(0.5) { wake } else { wake.min(now + Duration::from_millis(3)) };
            sends(fan.tick(&mut choices, now), &mut flying, &mut cancelled);
            continue;
        }
        let at = rng.random_range(0..flying.len());
        // some are answered twice: they stay in flight
        let send = if rng.random_bool(0.9) { flying.swap_remove(at) } else { flying[at].clone() };
        let outcome = match rng.random_range(0..10) {
            0 => not_run(Why::QueueFull),
            1 => not_held(),
            2 => Attempt::new(Label::default()).hand().lost(Fault::Timeout),
            3 => {
                let wrong = Label { shard: "other".into(), ..send.label.clone() };
                let raw = RawAnswer { label: wrong, length: 1, body: Bytes::from("x") };
                Attempt::new(send.label.clone()).hand().answer(raw)
            }
            _ => answered(&send),
        };
        sends(fan.outcome(send.key, outcome, &mut choices, now), &mut flying, &mut cancelled);
    };
    if progress == Progress::SnapshotLost {
        return;
    }
    assert!(now <= opts.hard, "answered by the hard deadline");
    let (answer, _) = fan.finish();
    assert_eq!(answer.total, count);
    assert_eq!(answer.parts.len() + answer.missing.len(), count, "every shard is there or missing");
    for (shard, body) in &answer.parts {
        let body = String::from_utf8_lossy(body);
        assert!(body.contains(&format!("{shard:?}")), "the answer of {shard} is {body}");
        assert!(body.contains(&format!("{snapshot:?}")), "from one snapshot");
    }
    assert!(choices.spent <= budget);
}

#[test]
fn any_order_of_outcomes_gives_one_snapshot_and_true_coverage() {
    for seed in seeds(30_000) {
        let run = std::panic::catch_unwind(|| random_query(seed));
        assert!(run.is_ok(), "seed {seed}; replay with SEEDS={seed}");
    }
}
