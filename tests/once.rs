//! Idempotency keys: at most one run, and a request reported as not run has not run.

mod support;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{permit, seeds};
use tamarackdeck::{
    Attempt, Claim, ClaimAction, ConnectionUse, Fault, Label, NotRunCode, Outcome, RawAnswer, Step,
    WriteOutcome, settle_claim, step_after_create, step_after_read,
};

fn claim(token: u64, digest: u64, answer: Option<&str>) -> Claim {
    Claim { token, digest, answer: answer.map(Into::into) }
}

struct Case {
    name: &'static str,
    found: Option<Option<(u64, u64, Option<&'static str>)>>,
    step: fn() -> Step,
}

const CASES: &[Case] = &[
    Case { name: "no answer", found: None, step: || Step::Refuse(NotRunCode::PlatformAway) },
    Case { name: "no claim", found: Some(None), step: || Step::Refuse(NotRunCode::PlatformAway) },
    Case { name: "own claim", found: Some(Some((1, 5, None))), step: || Step::Send },
    Case {
        name: "in flight",
        found: Some(Some((2, 5, None))),
        step: || Step::Unsettled(Fault::Unsettled),
    },
    Case {
        name: "answered",
        found: Some(Some((2, 5, Some("a")))),
        step: || Step::Replay("a".into()),
    },
    Case {
        name: "another body",
        found: Some(Some((2, 6, Some("a")))),
        step: || Step::Refuse(NotRunCode::KeyReused),
    },
];

#[test]
fn the_claim_read_back_decides_the_next_step() {
    for case in CASES {
        let found =
            case.found.map(|f| f.map(|(token, digest, answer)| claim(token, digest, answer)));
        assert_eq!(step_after_read(found, &claim(1, 5, None)), (case.step)(), "{}", case.name);
    }
}

/// The response to a caller.
#[derive(Debug, PartialEq)]
enum Response {
    Answered,
    NotRun,
    Unknown,
}

/// The current step of one request with the key.
enum At {
    Create,
    ReadBack,
    Send,
    Settle(ClaimAction),
    Done(Response),
}

struct Request {
    claim: Claim,
    version: u64,
    at: At,
    ran: bool,
}

struct World {
    rng: StdRng,
    object: Option<(u64, Claim)>,
    versions: u64,
}

impl World {
    /// Writes an object; the answer may be lost before or after the write takes effect.
    fn write(&mut self, apply: impl FnOnce(&mut Self) -> WriteOutcome) -> WriteOutcome {
        match self.rng.random_range(0..6) {
            0 => WriteOutcome::Unknown,
            1 => {
                apply(self);
                WriteOutcome::Unknown
            }
            _ => apply(self),
        }
    }

    fn put(&mut self, claim: Claim, version: u64) -> WriteOutcome {
        if self.object.as_ref().map_or(0, |(v, _)| *v) != version {
            return WriteOutcome::Conflict;
        }
        self.versions += 1;
        self.object = Some((self.versions, claim));
        WriteOutcome::Applied
    }

    fn step(&mut self, r: &mut Request) {
        let next = match &r.at {
            At::Create => {
                let claim = r.claim.clone();
                let written = self.write(|w| w.put(claim, 0));
                r.version = self.versions;
                step_after_create(written)
            }
            At::ReadBack => {
                let answers = self.rng.random_bool(0.8);
                let found = answers.then(|| self.object.clone());
                if let Some(Some((version, _))) = &found {
                    r.version = *version;
                }
                step_after_read(found.map(|f| f.map(|(_, claim)| claim)), &r.claim)
            }
            At::Send => {
                let (outcome, ran) = self.send();
                r.ran |= ran;
                r.at = At::Settle(settle_claim(&outcome));
                r.claim.answer = matches!(outcome, Outcome::Answer(_)).then(|| "done".to_owned());
                return;
            }
            At::Settle(kind) => {
                let (kind, claim, version) = (*kind, r.claim.clone(), r.version);
                match kind {
                    ClaimAction::Record => drop(self.write(|w| w.put(claim, version))),
                    ClaimAction::Remove => drop(self.write(|w| {
                        let is_own = w.object.as_ref().is_some_and(|(v, _)| *v == version);
                        w.object.take_if(|_| is_own);
                        WriteOutcome::Applied
                    })),
                    ClaimAction::Keep => {}
                }
                r.at = At::Done(match kind {
                    ClaimAction::Record => Response::Answered,
                    ClaimAction::Remove => Response::NotRun,
                    ClaimAction::Keep => Response::Unknown,
                });
                return;
            }
            At::Done(_) => return,
        };
        r.at = match next {
            Step::ReadBack => At::ReadBack,
            Step::Send => At::Send,
            Step::Replay(_) => At::Done(Response::Answered),
            Step::Refuse(_) => At::Done(Response::NotRun),
            Step::Unsettled(_) => At::Done(Response::Unknown),
        };
    }

    /// Sends to an upstream that answers, refuses, or is lost before or after the run.
    fn send(&mut self) -> (Outcome, bool) {
        let attempt = Attempt::new(Label::default().to_string());
        let raw =
            RawAnswer { stated_length: Some(2), received_length: 2, answer: Bytes::from("ok") };
        match self.rng.random_range(0..4) {
            0 => (attempt.refuse(NotRunCode::NotConnected), false),
            1 => (attempt.dispatch(permit()).fail(Fault::Lost), false),
            2 => (attempt.dispatch(permit()).fail(Fault::Timeout), true),
            _ => {
                let label = Label::default().to_string();
                let replied =
                    attempt.dispatch(permit()).identify(Some(&label), ConnectionUse::Reused);
                (replied.unwrap().complete(raw), true)
            }
        }
    }
}

#[test]
fn at_most_one_run_and_no_false_refusals() {
    for seed in seeds(30_000) {
        let mut world = World { rng: StdRng::seed_from_u64(seed), object: None, versions: 0 };
        let count = world.rng.random_range(1..5);
        let new = |token| Request {
            claim: claim(token, 5, None),
            version: 0,
            at: At::Create,
            ran: false,
        };
        let mut requests: Vec<_> = (0..count).map(new).collect();
        for _ in 0..60 {
            let at = world.rng.random_range(0..requests.len());
            world.step(&mut requests[at]);
        }
        let runs = requests.iter().filter(|r| r.ran).count();
        assert!(runs <= 1, "seed {seed}: {runs} runs");
        for r in &requests {
            let refused = matches!(r.at, At::Done(Response::NotRun));
            assert!(!(refused && r.ran), "seed {seed}: refused as not run, but it ran");
            let answered = matches!(r.at, At::Done(Response::Answered));
            assert!(!answered || runs == 1, "seed {seed}: answered without a run");
        }
    }
}
