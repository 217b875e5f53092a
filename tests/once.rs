//! Idempotency keys: at most one run, and a request reported as not run has not run, on a platform that may come back from an
//! older copy.

mod support;

use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{permit, seeds};
use tamarackdeck::{
    Attempt, Claim, ClaimAction, ConnectionUse, Expected, Fault, Label, NotRunCode, Outcome,
    RawAnswer, RecentClaims, Rewrite, Step, StoreEra, Tick, WriteOutcome, rewrite_step,
    settle_claim, step_after_create, step_after_read, step_before_create,
};

const MS: fn(u64) -> Duration = Duration::from_millis;
const KEY: &str = "once/booking/key";

fn claim(token: u64, digest: u64, answer: Option<&str>) -> Claim {
    Claim { token, digest, answer: answer.map(Into::into) }
}

/// The second era of a platform that came back so many milliseconds ago.
fn restored(ms: u64) -> Option<StoreEra> {
    Some(StoreEra { number: 2, restored: Some(MS(ms)) })
}

struct Case {
    name: &'static str,
    found: Option<Option<(u64, u64, Option<&'static str>)>>,
    era: fn() -> Option<StoreEra>,
    step: fn() -> Step,
}

const DEFAULT_CASE: Case = Case {
    name: "no answer",
    found: None,
    era: || None,
    step: || Step::Refuse(NotRunCode::PlatformAway),
};

const CASES: &[Case] = &[
    DEFAULT_CASE,
    Case { name: "no claim", found: Some(None), ..DEFAULT_CASE },
    Case {
        name: "own claim",
        found: Some(Some((1, 5, None))),
        step: || Step::Send,
        ..DEFAULT_CASE
    },
    Case {
        name: "own claim, after a restore",
        found: Some(Some((1, 5, None))),
        era: || restored(5_999),
        step: || Step::Withdraw,
    },
    Case {
        name: "own claim, long after a restore",
        found: Some(Some((1, 5, None))),
        era: || restored(6_000),
        step: || Step::Send,
    },
    Case {
        name: "in flight",
        found: Some(Some((2, 5, None))),
        step: || Step::Unsettled(Fault::Unsettled),
        ..DEFAULT_CASE
    },
    Case {
        name: "answered",
        found: Some(Some((2, 5, Some("a")))),
        step: || Step::Replay("a".into()),
        ..DEFAULT_CASE
    },
    Case {
        name: "answered, after a restore",
        found: Some(Some((2, 5, Some("a")))),
        era: || restored(10),
        step: || Step::Replay("a".into()),
    },
    Case {
        name: "another body",
        found: Some(Some((2, 6, Some("a")))),
        step: || Step::Refuse(NotRunCode::KeyReused),
        ..DEFAULT_CASE
    },
];

#[test]
fn the_claim_read_back_decides_the_next_step() {
    for case in CASES {
        let found =
            case.found.map(|f| f.map(|(token, digest, answer)| claim(token, digest, answer)));
        let step = step_after_read(found, &claim(1, 5, None), (case.era)());
        assert_eq!(step, (case.step)(), "{}", case.name);
    }
}

struct CreateCase {
    name: &'static str,
    era: Option<StoreEra>,
    before: Option<Step>,
    applied: Step,
}

#[test]
fn nothing_runs_under_an_unused_key_while_lost_claims_are_written_again() {
    let refused = || Some(Step::Refuse(NotRunCode::PlatformRestored));
    let cases = [
        CreateCase { name: "no era stated", era: None, before: None, applied: Step::Send },
        CreateCase {
            name: "never restored",
            era: Some(StoreEra { number: 9, restored: None }),
            before: None,
            applied: Step::Send,
        },
        CreateCase {
            name: "just restored",
            era: restored(0),
            before: refused(),
            applied: Step::Withdraw,
        },
        CreateCase {
            name: "restored, all had the time",
            era: restored(6_000),
            before: None,
            applied: Step::Send,
        },
    ];
    for case in cases {
        assert_eq!(step_before_create(case.era), case.before, "{}", case.name);
        let after = step_after_create(WriteOutcome::Applied, case.era);
        assert_eq!(after, case.applied, "{}", case.name);
    }
}

struct RewriteCase {
    name: &'static str,
    found: Claim,
    restored_ms: u64,
    step: Rewrite,
}

#[test]
fn a_lost_claim_replaces_what_its_key_has_again() {
    let cases = [
        RewriteCase {
            name: "written",
            found: claim(1, 5, Some("a")),
            restored_ms: 100,
            step: Rewrite::Done,
        },
        RewriteCase {
            name: "written, without the answer",
            found: claim(1, 5, None),
            restored_ms: 9_000,
            step: Rewrite::Replace,
        },
        RewriteCase {
            name: "of a request that is withdrawn",
            found: claim(2, 5, None),
            restored_ms: 100,
            step: Rewrite::Replace,
        },
        RewriteCase {
            name: "of a request that may have run",
            found: claim(2, 5, None),
            restored_ms: 6_000,
            step: Rewrite::TooLate,
        },
    ];
    for case in cases {
        let step =
            rewrite_step(&case.found, &claim(1, 5, Some("a")), restored(case.restored_ms).unwrap());
        assert_eq!(step, case.step, "{}", case.name);
    }
}

#[test]
fn remembered_claims_are_bounded_in_time_and_bytes() {
    let mut recent = RecentClaims::default();
    let at = |s| Tick::default() + Duration::from_secs(s);
    for n in 0..10 {
        recent.record(&format!("k{n}"), claim(n, 5, None), 1, at(n));
    }
    let lost = |recent: &mut RecentClaims, now| -> Vec<u64> {
        recent.lost(2, at(now)).iter().map(|(_, claim)| claim.token).collect()
    };
    assert_eq!(lost(&mut recent, 60), Vec::from_iter(0..10));
    assert_eq!(lost(&mut recent, 65), Vec::from_iter(5..10));
    recent.record_written("k6", &claim(6, 5, None), 2);
    recent.record_written("k7", &claim(7, 5, Some("another answer")), 2);
    assert_eq!(lost(&mut recent, 65), [5, 7, 8, 9]);
    recent.record_unwritten("k6");
    recent.forget("k8");
    assert_eq!(lost(&mut recent, 65), [5, 6, 7, 9]);
    recent.record_answer("k9", &"a".repeat((16 << 20) - 600), at(65));
    assert_eq!(lost(&mut recent, 65), [7, 9], "the oldest are forgotten first");
    assert_eq!(lost(&mut recent, 70), Vec::<u64>::new());
    assert!(recent.is_empty());
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
    instance: usize,
    object: Expected,
    at: At,
    ran: bool,
}

/// What an instance knows; it is gone when it dies.
#[derive(Default)]
struct Instance {
    recent: RecentClaims,
    /// Era and the time of its restore, as a reply has stated them.
    era: Option<(u64, Option<Tick>)>,
    /// Time by which it hears of the last restore, from its reads of the instance list.
    hears_at: Option<Tick>,
    /// Time of its next look whether claims are lost.
    looks_at: Tick,
}

struct World {
    rng: StdRng,
    now: Tick,
    object: Option<(u64, Claim)>,
    versions: u64,
    copy: (Option<(u64, Claim)>, u64),
    era: u64,
    restored_at: Option<Tick>,
    instances: Vec<Instance>,
    /// An instance that held claims has died.
    has_lost_holder: bool,
    /// The claims of an instance that died were lost as well: nobody can write them again.
    is_excused: bool,
}

/// Most that an instance needs to hear of a restore: an interval of its reads, and a call.
const MAX_HEARING_MS: u64 = 3_500;
/// Interval of the looks whether claims are lost.
const LOOK_MS: u64 = 500;
/// Duration of a load; below the time for which claims are remembered.
const LOAD_S: u64 = 50;

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(1..4);
        Self {
            rng,
            now: Tick::default(),
            object: None,
            versions: 0,
            copy: (None, 0),
            era: 1,
            restored_at: None,
            instances: (0..count).map(|_| Instance::default()).collect(),
            has_lost_holder: false,
            is_excused: false,
        }
    }

    fn restore(&mut self) {
        (self.object, self.versions) = self.copy.clone();
        self.era += 1;
        self.restored_at = Some(self.now);
        self.is_excused |= self.has_lost_holder;
        for instance in &mut self.instances {
            instance.hears_at = Some(self.now + MS(self.rng.random_range(0..=MAX_HEARING_MS)));
        }
    }

    /// Replaces an instance by a new process; its requests end with it.
    fn kill(&mut self, at: usize, requests: &mut [Request]) {
        let died = std::mem::take(&mut self.instances[at]);
        self.instances[at].looks_at = self.now;
        for r in requests.iter_mut().filter(|r| r.instance == at) {
            if !matches!(r.at, At::Done(_)) {
                r.at = At::Done(Response::Unknown);
            }
        }
        if !died.recent.is_empty() {
            self.has_lost_holder = true;
            self.is_excused |= self.restored_at.is_some_and(|at| self.now.since(at) < MS(6_000));
        }
    }

    /// Lets time pass; every instance hears and looks in time.
    fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        while self.now < until {
            self.now = until.min(self.now + MS(100));
            for at in 0..self.instances.len() {
                if self.instances[at].hears_at.is_some_and(|hears_at| hears_at <= self.now) {
                    self.hear(at);
                }
                if self.instances[at].looks_at <= self.now {
                    self.instances[at].looks_at = self.now + MS(LOOK_MS);
                    self.rewrite_lost(at);
                }
            }
        }
    }

    /// A reply reaches an instance.
    fn hear(&mut self, at: usize) {
        self.instances[at].era = Some((self.era, self.restored_at));
        self.instances[at].hears_at = None;
    }

    fn era_known(&self, at: usize) -> Option<StoreEra> {
        let (number, restored_at) = self.instances[at].era?;
        Some(StoreEra { number, restored: restored_at.map(|at| self.now.since(at)) })
    }

    fn number_known(&self, at: usize) -> Option<u64> {
        self.era_known(at).map(|era| era.number)
    }

    fn rewrite_lost(&mut self, at: usize) {
        let Some(era) = self.era_known(at) else { return };
        for (key, claim) in self.instances[at].recent.lost(era.number, self.now) {
            let created = Expected { version: 0, era: Some(era.number) };
            let mut written = self.put(claim.clone(), created) == WriteOutcome::Applied;
            self.hear(at);
            if let (false, Some((version, found))) = (written, self.object.clone()) {
                let object = Expected { version, era: Some(self.era) };
                written = match rewrite_step(&found, &claim, self.era_known(at).unwrap()) {
                    Rewrite::Replace => self.put(claim.clone(), object) == WriteOutcome::Applied,
                    Rewrite::Done | Rewrite::TooLate => true,
                };
            }
            if written {
                self.instances[at].recent.record_written(&key, &claim, era.number);
            }
        }
    }

    /// Writes an object; the answer may be lost before or after the write takes effect.
    fn write(
        &mut self,
        instance: usize,
        apply: impl FnOnce(&mut Self) -> WriteOutcome,
    ) -> WriteOutcome {
        match self.rng.random_range(0..6) {
            0 => WriteOutcome::Unknown,
            1 => {
                apply(self);
                WriteOutcome::Unknown
            }
            _ => {
                let written = apply(self);
                self.hear(instance);
                written
            }
        }
    }

    fn is_as_expected(&self, expected: Expected) -> bool {
        self.object.as_ref().map_or(0, |(v, _)| *v) == expected.version
            && expected.era.is_none_or(|era| era == self.era)
    }

    fn put(&mut self, claim: Claim, expected: Expected) -> WriteOutcome {
        if !self.is_as_expected(expected) {
            return WriteOutcome::Conflict;
        }
        self.versions += 1;
        self.object = Some((self.versions, claim));
        WriteOutcome::Applied
    }

    fn remove(&mut self, expected: Expected) -> WriteOutcome {
        if self.is_as_expected(expected) {
            self.object = None;
        }
        WriteOutcome::Applied
    }

    /// Removes the claim of a request, which is looked for first if the era is no longer that of its version.
    fn remove_claim(&mut self, r: &mut Request) {
        if self.number_known(r.instance) != r.object.era {
            let Some((version, found)) = self.object.clone() else { return };
            if found.token != r.claim.token {
                return;
            }
            r.object = Expected { version, era: self.number_known(r.instance) };
        }
        let object = r.object;
        self.write(r.instance, |w| w.remove(object));
    }

    fn read_back(&mut self, r: &mut Request) -> Step {
        let era = self.number_known(r.instance);
        let found = self.rng.random_bool(0.8).then(|| self.object.clone());
        if found.is_some() {
            self.hear(r.instance);
        }
        if let Some(Some((version, _))) = &found {
            r.object = Expected { version: *version, era };
        }
        let found = found.map(|f| f.map(|(_, claim)| claim));
        step_after_read(found, &r.claim, self.era_known(r.instance))
    }

    fn step(&mut self, r: &mut Request) {
        let next = match &r.at {
            At::Create => match step_before_create(self.era_known(r.instance)) {
                Some(step) => match self.read_back(r) {
                    Step::Refuse(NotRunCode::PlatformAway) => step,
                    found => found,
                },
                None => {
                    let claim = r.claim.clone();
                    let era = self.number_known(r.instance);
                    let written = self.write(r.instance, |w| w.put(claim, Expected::version(0)));
                    r.object = Expected { version: self.versions, era };
                    step_after_create(written, self.era_known(r.instance))
                }
            },
            At::ReadBack => self.read_back(r),
            At::Send => {
                let (outcome, ran) = self.send();
                r.ran |= ran;
                r.at = At::Settle(settle_claim(&outcome));
                r.claim.answer = matches!(outcome, Outcome::Answer(_)).then(|| "done".to_owned());
                return;
            }
            At::Settle(kind) => {
                let kind = *kind;
                self.settle(r, kind);
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
            Step::Send => {
                let (era, now) = (r.object.era.unwrap_or_default(), self.now);
                self.instances[r.instance].recent.record(KEY, r.claim.clone(), era, now);
                At::Send
            }
            Step::Withdraw => {
                self.remove_claim(r);
                At::Done(Response::NotRun)
            }
            Step::Replay(_) => At::Done(Response::Answered),
            Step::Refuse(_) => At::Done(Response::NotRun),
            Step::Unsettled(_) => At::Done(Response::Unknown),
        };
    }

    fn settle(&mut self, r: &mut Request, kind: ClaimAction) {
        match kind {
            ClaimAction::Record => {
                let (claim, object, now) = (r.claim.clone(), r.object, self.now);
                self.instances[r.instance].recent.record_answer(KEY, "done", now);
                let record = |w: &mut Self| {
                    let found = w.object.as_ref().map(|(_, found)| found.token);
                    let written = w.put(claim, object);
                    let is_own = written == WriteOutcome::Conflict || found == Some(r.claim.token);
                    assert!(is_own, "an answer was recorded in the claim of another request");
                    written
                };
                if self.write(r.instance, record) != WriteOutcome::Applied {
                    self.instances[r.instance].recent.record_unwritten(KEY);
                }
            }
            ClaimAction::Remove => {
                self.instances[r.instance].recent.forget(KEY);
                self.remove_claim(r);
            }
            ClaimAction::Keep => {}
        }
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

fn check(requests: &[Request], is_excused: bool, seed: u64) {
    let runs = requests.iter().filter(|r| r.ran).count();
    assert!(runs <= 1 || is_excused, "seed {seed}: {runs} runs");
    for r in requests {
        let refused = matches!(r.at, At::Done(Response::NotRun));
        assert!(!(refused && r.ran), "seed {seed}: refused as not run, but it ran");
        let answered = matches!(r.at, At::Done(Response::Answered));
        assert!(!answered || runs >= 1, "seed {seed}: answered without a run");
    }
}

fn request(world: &mut World, token: u64) -> Request {
    Request {
        claim: claim(token, 5, None),
        instance: world.rng.random_range(0..world.instances.len()),
        object: Expected::version(0),
        at: At::Create,
        ran: false,
    }
}

#[test]
fn at_most_one_run_and_no_false_refusals() {
    for seed in seeds(30_000) {
        let mut world = World::new(seed);
        let count = world.rng.random_range(1..5);
        let mut requests: Vec<_> = (0..count).map(|token| request(&mut world, token)).collect();
        for _ in 0..60 {
            let at = world.rng.random_range(0..requests.len());
            world.step(&mut requests[at]);
        }
        check(&requests, false, seed);
    }
}

/// Retries of one key over most of a minute, while the platform comes back from older copies and instances die and start.
#[test]
fn a_key_whose_claim_the_platform_has_lost_runs_once() {
    let (mut restored, mut excused) = (0, 0);
    for seed in seeds(20_000) {
        let mut world = World::new(seed);
        let mut requests: Vec<Request> = Vec::new();
        let (restores, deaths) = (world.rng.random_range(0..4), world.rng.random_bool(0.2));
        let end = Tick::default() + Duration::from_secs(LOAD_S);
        while world.now < end {
            match world.rng.random_range(0..40) {
                0 => world.copy = (world.object.clone(), world.versions),
                1 if world.era <= restores => world.restore(),
                2 if deaths => {
                    let at = world.rng.random_range(0..world.instances.len());
                    world.kill(at, &mut requests);
                }
                3..10 => {
                    let by = MS(world.rng.random_range(0..1_500));
                    world.advance(by);
                }
                10 if requests.len() < 12 => {
                    let r = request(&mut world, requests.len() as u64);
                    requests.push(r);
                }
                _ if !requests.is_empty() => {
                    // the newest most of all, since the others have ended
                    let at = requests.len() - 1 - world.rng.random_range(0..requests.len().min(3));
                    world.step(&mut requests[at]);
                }
                _ => {}
            }
        }
        check(&requests, world.is_excused, seed);
        restored += usize::from(world.era > 1);
        excused += usize::from(world.is_excused);
    }
    println!(
        "{restored} loads with a restore, {excused} where claims were lost with their instance"
    );
    assert!(restored > 2 * excused);
}
