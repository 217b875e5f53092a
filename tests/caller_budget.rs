//! The budget of what is held for callers, replayed in virtual time: crowds that send nothing, stop short or do not read, and
//! ordinary callers beside them. What is held stays within the budget, and ordinary callers are served.

mod support;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{ms, seeds};
use tamarackdeck::{
    CONNECTION_BYTES, CallerBudget, CallerBudgetOptions, CallerKey, Eviction, Machine, Opening,
    UNREAD_BYTES,
};

const KIB: usize = 1 << 10;
/// Maximum size of a body, in bytes.
const MAX_BODY: usize = 256 * KIB;
/// Size of a segment of a body, in bytes.
const SEGMENT: usize = 4 * KIB;
/// Duration of a replay, in milliseconds.
const END: u64 = 20_000;

/// What a caller does on its connection; times are in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Script {
    /// From the opening of the connection to a whole head; `None` if it does not come.
    head_after: Option<u64>,
    /// Size of the body, and how much of it is sent each millisecond.
    body: usize,
    per_ms: usize,
    /// Bytes of the body that are never sent.
    missing: usize,
    /// Time that the request is at work.
    work: u64,
    answer: usize,
    /// Time in which the answer is read; `None` if it is not.
    read_after: Option<u64>,
}

const ORDINARY: Script = Script {
    head_after: Some(5),
    body: 16 * KIB,
    per_ms: 2 * KIB,
    missing: 0,
    work: 50,
    answer: 4 * KIB,
    read_after: Some(10),
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Head,
    Body { received: usize },
    Work { until: u64 },
    Answer { until: Option<u64> },
    Done,
    Refused,
    GivenUp,
    TurnedAway,
}

struct Caller {
    script: Script,
    key: Option<CallerKey>,
    opened_at: u64,
    phase: Phase,
}

struct Replay {
    budget: CallerBudget<usize>,
    opts: CallerBudgetOptions,
    callers: Vec<Caller>,
    open: Vec<usize>,
}

impl Replay {
    fn new(opts: CallerBudgetOptions) -> Self {
        Self { budget: CallerBudget::new(opts), opts, callers: Vec::new(), open: Vec::new() }
    }

    fn open(&mut self, script: Script, now: u64) -> usize {
        let index = self.callers.len();
        let key = loop {
            let (key, evicted) = match self.budget.open(index, ms(now)) {
                Opening::Open(key, evicted) => (Some(Some(key)), evicted),
                Opening::Wait(evicted) => (None, evicted),
                Opening::Full(evicted) => (Some(None), evicted),
            };
            self.give_up(evicted);
            self.close_given_up();
            if let Some(key) = key {
                break key;
            }
        };
        let phase = if key.is_some() { Phase::Head } else { Phase::TurnedAway };
        self.callers.push(Caller { script, key, opened_at: now, phase });
        self.open.extend(key.map(|_| index));
        index
    }

    /// Closes those that were given up, and those that were refused once they have their refusals.
    fn close_given_up(&mut self) {
        for &index in &self.open {
            let caller = &self.callers[index];
            if matches!(caller.phase, Phase::Refused | Phase::GivenUp) {
                self.budget.close(caller.key.unwrap());
            }
        }
        let is_open = |p: Phase| {
            !matches!(p, Phase::Done | Phase::Refused | Phase::GivenUp | Phase::TurnedAway)
        };
        self.open.retain(|index| is_open(self.callers[*index].phase));
    }

    fn give_up(&mut self, evicted: Vec<(usize, Eviction)>) {
        for (index, eviction) in evicted {
            let caller = &mut self.callers[index];
            assert!(!matches!(caller.phase, Phase::Work { .. }), "gave up a request at work");
            caller.phase = match eviction {
                Eviction::Body => Phase::Refused,
                Eviction::Connection => Phase::GivenUp,
            };
        }
    }

    fn step(&mut self, now: u64) {
        for index in self.open.clone() {
            let Caller { script, key: Some(key), opened_at, phase } = self.callers[index] else {
                continue;
            };
            let (mut evicted, at) = (Vec::new(), ms(now));
            match phase {
                Phase::Head if script.head_after.is_some_and(|after| now >= opened_at + after) => {
                    self.budget.begin_head(key, at);
                    self.budget.begin_body(key);
                    self.callers[index].phase = Phase::Body { received: 0 };
                }
                Phase::Body { received } => {
                    let sent = script.body - script.missing;
                    let next = sent.min(received + script.per_ms);
                    let segments = |bytes: usize| bytes.div_ceil(SEGMENT) * SEGMENT;
                    let grant = self.budget.hold(key, segments(next) - segments(received), at);
                    self.callers[index].phase = Phase::Body { received: next };
                    if !grant.is_granted {
                        self.callers[index].phase = Phase::Refused;
                    }
                    evicted = grant.evicted;
                    if grant.is_granted && next == script.body {
                        let grant = self.budget.begin_work(key, script.body, at);
                        self.callers[index].phase = match grant.is_granted {
                            true => Phase::Work { until: now + script.work },
                            false => Phase::Refused,
                        };
                        evicted.extend(grant.evicted);
                    }
                }
                Phase::Work { until } if now >= until => {
                    self.callers[index].phase =
                        Phase::Answer { until: script.read_after.map(|after| now + after) };
                    evicted = self.budget.begin_answer(key, script.answer, at);
                }
                Phase::Answer { until: Some(until) } if now >= until => {
                    self.budget.finish_answer(key, at);
                    self.budget.close(key);
                    self.callers[index].phase = Phase::Done;
                }
                _ => {}
            }
            self.give_up(evicted);
        }
        self.close_given_up();
    }

    fn check(&self, name: &str, now: u64) {
        let (bytes, connections) = (self.budget.bytes(), self.budget.connections());
        // an answer is held whatever else is
        assert!(bytes <= self.opts.max_bytes + MAX_BODY, "{name}: {bytes} bytes at {now}");
        assert!(connections <= self.opts.max_connections, "{name}: {connections} at {now}");
    }
}

/// A crowd that comes after a second and stays, beside an ordinary caller each 20 ms.
struct Crowd {
    name: &'static str,
    machine: Machine,
    script: Script,
    /// Connections that it opens each millisecond, in how many milliseconds.
    opens_per_ms: usize,
    opens_for: u64,
    ordinary: Script,
    /// Whether all ordinary callers are served; a crowd of whole requests takes what they would have.
    serves_all: bool,
}

const SMALL: Machine = Machine { memory_bytes: 64 << 20, descriptors: 300 };
const USUAL: Machine = Machine { memory_bytes: 260 << 20, descriptors: 4_100 };
const LEAST: Machine = Machine { memory_bytes: 160 << 20, descriptors: 4_100 };

const CROWD: Crowd = Crowd {
    name: "",
    machine: USUAL,
    script: Script { body: MAX_BODY, missing: 1, ..ORDINARY },
    opens_per_ms: 1,
    opens_for: 5_000,
    ordinary: ORDINARY,
    serves_all: true,
};

const CROWDS: &[Crowd] = &[
    Crowd { name: "bodies a byte short", ..CROWD },
    Crowd { name: "bodies a byte short, on the smallest machine", machine: LEAST, ..CROWD },
    Crowd {
        name: "bodies a byte short, all at once",
        script: Script { body: MAX_BODY, missing: 1, per_ms: MAX_BODY, ..ORDINARY },
        opens_per_ms: 40,
        opens_for: 100,
        ..CROWD
    },
    Crowd {
        name: "bodies that trickle on",
        script: Script { body: MAX_BODY, missing: 1, per_ms: 16, ..ORDINARY },
        ..CROWD
    },
    Crowd {
        name: "bodies a byte short beside slow callers",
        ordinary: Script { body: 4 * KIB, per_ms: 2, ..ORDINARY },
        ..CROWD
    },
    Crowd {
        name: "connections that send nothing",
        machine: SMALL,
        script: Script { head_after: None, ..ORDINARY },
        ..CROWD
    },
    Crowd {
        name: "answers that nobody reads",
        script: Script { body: 0, answer: MAX_BODY, read_after: None, ..ORDINARY },
        ..CROWD
    },
    Crowd {
        name: "whole bodies, slow servers",
        script: Script { body: MAX_BODY, work: 5_000, ..ORDINARY },
        serves_all: false,
        ..CROWD
    },
    Crowd {
        name: "whole bodies in a calm that serves them",
        script: Script { body: MAX_BODY, per_ms: 16 * KIB, ..ORDINARY },
        ..CROWD
    },
];

#[test]
fn crowds_stay_within_the_budget_and_ordinary_callers_are_served() {
    for case in CROWDS {
        let mut replay = Replay::new(CallerBudgetOptions::for_machine(case.machine));
        let mut ordinary = Vec::new();
        for now in 0..END {
            if now % 20 == 0 && now < END - 4_000 {
                ordinary.push(replay.open(case.ordinary, now));
            }
            if (1_000..1_000 + case.opens_for).contains(&now) {
                for _ in 0..case.opens_per_ms {
                    replay.open(case.script, now);
                }
            }
            replay.step(now);
            replay.check(case.name, now);
        }
        let is_served = |index: &&usize| replay.callers[**index].phase == Phase::Done;
        let served = ordinary.iter().filter(is_served).count();
        println!("{}: {served} of {} ordinary callers", case.name, ordinary.len());
        assert!(!case.serves_all || served == ordinary.len(), "{}: {served}", case.name);
        let after: Vec<_> = ordinary.iter().rev().take(100).collect();
        let served = after.into_iter().filter(is_served).count();
        assert_eq!(served, 100, "{}: ordinary callers afterwards", case.name);
        for caller in &replay.callers {
            caller.key.iter().for_each(|key| replay.budget.close(*key));
        }
        assert_eq!((replay.budget.bytes(), replay.budget.connections()), (0, 0), "{}", case.name);
    }
}

/// A step on one of two connections, and what it gives up.
struct Choice {
    name: &'static str,
    /// Bytes of the body that each connection holds, and when its head began.
    bodies: [(usize, u64); 2],
    /// Bytes that the second connection wants at 10 s.
    wants: usize,
    is_granted: bool,
    evicted: &'static [(usize, Eviction)],
}

const MIB: usize = 1 << 20;

const CHOICES: &[Choice] = &[
    Choice {
        name: "there is room",
        bodies: [(MIB, 0), (MIB, 0)],
        wants: MIB,
        is_granted: true,
        evicted: &[],
    },
    Choice {
        name: "as large, and older",
        bodies: [(2 * MIB, 1_000), (2 * MIB, 5_000)],
        wants: MIB,
        is_granted: true,
        evicted: &[(0, Eviction::Body)],
    },
    Choice {
        name: "as old, and larger",
        bodies: [(3 * MIB, 1_000), (MIB, 1_000)],
        wants: MIB,
        is_granted: true,
        evicted: &[(0, Eviction::Body)],
    },
    Choice {
        name: "the one that wants more has held the most for the longest",
        bodies: [(MIB, 5_000), (3 * MIB, 1_000)],
        wants: MIB,
        is_granted: false,
        evicted: &[(1, Eviction::Body)],
    },
    Choice {
        name: "more than there is",
        bodies: [(MIB, 1_000), (MIB, 5_000)],
        wants: 8 * MIB,
        is_granted: false,
        evicted: &[(0, Eviction::Body), (1, Eviction::Body)],
    },
];

#[test]
fn what_has_held_the_most_for_the_longest_goes_first() {
    for case in CHOICES {
        let max_bytes = 4 * MIB + 2 * CONNECTION_BYTES;
        let opts = CallerBudgetOptions { max_bytes, max_connections: 2 };
        let budget = CallerBudget::new(opts);
        let keys = [0, 1].map(|n: usize| {
            let (bytes, since) = case.bodies[n];
            let Opening::Open(key, _) = budget.open(n, ms(since)) else { panic!("{}", case.name) };
            budget.begin_head(key, ms(since));
            budget.begin_body(key);
            assert!(budget.hold(key, bytes, ms(since)).is_granted, "{}", case.name);
            key
        });
        let grant = budget.hold(keys[1], case.wants, ms(10_000));
        assert_eq!(grant.is_granted, case.is_granted, "{}", case.name);
        assert_eq!(grant.evicted, case.evicted, "{}", case.name);
    }
}

/// The part of a machine for callers.
struct Part {
    machine: Machine,
    max_bytes: usize,
    max_connections: usize,
}

const PARTS: &[Part] = &[
    Part { machine: USUAL, max_bytes: 65 << 20, max_connections: 1_950 },
    Part { machine: LEAST, max_bytes: 40 << 20, max_connections: 1_950 },
    Part { machine: SMALL, max_bytes: 16 << 20, max_connections: 75 },
    Part {
        machine: Machine { memory_bytes: 512 << 20, descriptors: 8_192 },
        max_bytes: 128 << 20,
        max_connections: 3_996,
    },
    Part {
        machine: Machine { memory_bytes: 256 << 20, descriptors: 1_024 },
        max_bytes: 64 << 20,
        max_connections: 412,
    },
];

#[test]
fn callers_have_a_part_of_the_machine() {
    for case in PARTS {
        let opts = CallerBudgetOptions::for_machine(case.machine);
        let expected = CallerBudgetOptions {
            max_bytes: case.max_bytes,
            max_connections: case.max_connections,
        };
        assert_eq!(opts, expected, "{:?}", case.machine);
    }
}

/// Any order of calls, of connections that are open or not, keeps the count of what is held.
#[test]
fn any_order_of_calls_keeps_the_count() {
    for seed in seeds(300) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let max_bytes = rng.random_range(4..40) * CONNECTION_BYTES;
        let opts = CallerBudgetOptions { max_bytes, max_connections: rng.random_range(1..12) };
        let budget = CallerBudget::new(opts);
        let mut keys: Vec<CallerKey> = Vec::new();
        for now in 0..400 {
            let at = ms(now * rng.random_range(1..20));
            if let Opening::Open(key, _) = budget.open(0, at) {
                keys.push(key);
            }
            let Some(key) = keys.get(rng.random_range(0..keys.len().max(1))).copied() else {
                continue;
            };
            let bytes = rng.random_range(0..2 * UNREAD_BYTES);
            match rng.random_range(0..7) {
                0 => budget.begin_head(key, at),
                1 => budget.begin_body(key),
                2 => drop(budget.hold(key, bytes, at)),
                3 => drop(budget.begin_work(key, bytes, at)),
                4 => drop(budget.begin_answer(key, bytes.min(max_bytes / 4), at)),
                5 => budget.finish_answer(key, at),
                _ => budget.close(key),
            }
            assert!(budget.connections() <= opts.max_connections, "seed {seed}");
        }
        for key in keys {
            budget.close(key);
        }
        assert_eq!((budget.bytes(), budget.connections()), (0, 0), "seed {seed}");
    }
}

/// Threads that open, fill and close connections at the same time; each closes what it has opened, whether or not it was given up.
#[test]
fn threads_that_use_the_budget_at_the_same_time_leave_nothing_behind() {
    let opts = CallerBudgetOptions { max_bytes: 6 * CONNECTION_BYTES, max_connections: 4 };
    let budget = CallerBudget::new(opts);
    std::thread::scope(|scope| {
        for seed in 0..4 {
            let budget = &budget;
            scope.spawn(move || {
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                for now in 1..20_000 {
                    let Opening::Open(key, _) = budget.open(seed, ms(now)) else { continue };
                    budget.begin_head(key, ms(now));
                    budget.begin_body(key);
                    drop(budget.hold(key, rng.random_range(0..2 * CONNECTION_BYTES), ms(now)));
                    if budget.begin_work(key, SEGMENT, ms(now)).is_granted {
                        drop(budget.begin_answer(key, SEGMENT, ms(now)));
                        budget.finish_answer(key, ms(now));
                    }
                    budget.close(key);
                }
            });
        }
    });
    assert_eq!((budget.bytes(), budget.connections()), (0, 0));
    // nothing counts as about to be closed, so that a full budget makes room
    for n in 0..4 {
        assert!(matches!(budget.open(n, ms(20_000 + n)), Opening::Open(..)));
    }
    assert!(matches!(budget.open(9, ms(30_000)), Opening::Wait(evicted) if evicted.len() == 1));
}
