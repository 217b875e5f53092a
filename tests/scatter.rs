//! The scatter state machine: sends, hedges, retries and the time of the answer.

mod support;

use std::time::Duration;

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{ms, seeds};
use tamarackdeck::{
    Decision, Fault, Key, NotRunCode, PoolKey, Scatter, ScatterContext, ScatterOptions, SendResult,
    ServerKey, ShardSend, Tick,
};

const OVERDUE: Duration = Duration::from_millis(20);

fn pool(n: u32) -> PoolKey {
    PoolKey::new(n, 0)
}

/// A fixed number of servers per shard and one budget of extra sends.
struct Model {
    budget: u32,
    spent: u32,
    requests: IndexMap<PoolKey, u32>,
    servers: u32,
    /// Shards without a server.
    lacking: Vec<usize>,
    /// Picks that were not given back.
    picks: usize,
    dispatched_at: Option<Tick>,
}

impl Model {
    fn new(budget: u32, servers: u32) -> Self {
        Self {
            budget,
            spent: 0,
            requests: IndexMap::new(),
            servers,
            lacking: Vec::new(),
            picks: 0,
            dispatched_at: Some(ms(0)),
        }
    }
}

impl ScatterContext for Model {
    fn pick_server(&mut self, pool: PoolKey, avoid: &[ServerKey], _: Tick) -> Option<ServerKey> {
        if self.lacking.contains(&pool.index()) {
            return None;
        }
        let key = |n| ServerKey::new(pool.index() as u32 * 100 + n, 0);
        let picked = (0..self.servers).map(key).find(|k| !avoid.contains(k));
        self.picks += usize::from(picked.is_some());
        picked
    }

    fn cancel_pick(&mut self, _: ServerKey) {
        self.picks -= 1;
    }

    fn record_request(&mut self, pool: PoolKey, _: Tick) {
        *self.requests.entry(pool).or_default() += 1;
    }

    fn try_acquire_extra(&mut self, _: PoolKey, _: Tick) -> bool {
        let ok = self.spent < self.budget;
        self.spent += u32::from(ok);
        ok
    }

    fn hedge_delay(&mut self, _: ServerKey) -> Duration {
        OVERDUE
    }

    fn dispatched_at(&self, _: usize) -> Option<Tick> {
        self.dispatched_at
    }

    fn record_overdue(&mut self, _: ServerKey, _: Tick) {}
}

fn options(shards: u32) -> ScatterOptions {
    ScatterOptions {
        shards: (0..shards).map(pool).collect(),
        max_attempts: 2,
        idempotent: true,
        min_shard_ratio: 0.75,
        soft_deadline: ms(100),
        hard_deadline: ms(500),
        ..ScatterOptions::default()
    }
}

/// Returns the options of a range that may lack two of four shards, one at the soft deadline and none later.
fn ranged(opts: &ScatterOptions) -> ScatterOptions {
    ScatterOptions {
        max_attempts: 1,
        min_shard_ratio: 0.5,
        soft_shard_ratio: 0.75,
        late_shard_ratio: 1.0,
        ..opts.clone()
    }
}

/// What happens to a request, at a time in milliseconds.
#[derive(Clone, Copy)]
enum Event {
    /// The oldest send in flight of a shard ends with this result.
    Ends(usize, SendResult),
    Tick,
}

struct Case {
    name: &'static str,
    shards: u32,
    budget: u32,
    change: fn(&mut ScatterOptions),
    /// Shards without a server.
    lacking: &'static [usize],
    /// When the first sends are dispatched, in milliseconds.
    dispatched: Option<u64>,
    events: &'static [(u64, Event)],
    /// Number of sends to each shard.
    sends: &'static [usize],
    verdict: Decision,
}

const IN: SendResult = SendResult::Answered;
const LOST: SendResult = SendResult::Failed(Fault::Lost);
const SHED: SendResult = SendResult::NotRun(NotRunCode::Shed);

const BASE: Case = Case {
    name: "",
    shards: 4,
    budget: 9,
    change: |_| {},
    lacking: &[],
    dispatched: Some(0),
    events: &[],
    sends: &[1, 1, 1, 1],
    verdict: Decision::Wait,
};

const CASES: &[Case] = &[
    Case { name: "sent to one server of each", ..BASE },
    Case {
        name: "a shard without a server is left out",
        lacking: &[1],
        sends: &[1, 0, 1, 1],
        ..BASE
    },
    Case {
        name: "nothing is sent if too few shards have a server",
        lacking: &[1, 3],
        sends: &[0, 0, 0, 0],
        verdict: Decision::GiveUp { ran: false },
        ..BASE
    },
    Case {
        name: "all shards answered",
        events: &[
            (5, Event::Ends(0, IN)),
            (5, Event::Ends(1, IN)),
            (6, Event::Ends(2, IN)),
            (7, Event::Ends(3, IN)),
        ],
        verdict: Decision::Answer,
        ..BASE
    },
    Case {
        name: "the minimum ratio is no answer before the soft deadline",
        events: &[(5, Event::Ends(0, IN)), (5, Event::Ends(1, IN)), (6, Event::Ends(2, IN))],
        ..BASE
    },
    Case {
        name: "the minimum ratio is an answer from the soft deadline on",
        budget: 0,
        events: &[
            (5, Event::Ends(0, IN)),
            (5, Event::Ends(1, IN)),
            (6, Event::Ends(2, IN)),
            (100, Event::Tick),
        ],
        verdict: Decision::Answer,
        ..BASE
    },
    Case {
        name: "less than the minimum ratio waits beyond the soft deadline",
        budget: 0,
        events: &[(5, Event::Ends(0, IN)), (5, Event::Ends(1, IN)), (150, Event::Tick)],
        ..BASE
    },
    Case {
        name: "the soft ratio is waited for at the soft deadline, if it is above the minimum",
        change: |opts| *opts = ranged(opts),
        events: &[(5, Event::Ends(0, IN)), (5, Event::Ends(1, IN)), (100, Event::Tick)],
        ..BASE
    },
    Case {
        name: "the soft ratio is an answer at the soft deadline",
        change: |opts| *opts = ranged(opts),
        events: &[
            (5, Event::Ends(0, IN)),
            (5, Event::Ends(1, IN)),
            (6, Event::Ends(2, IN)),
            (100, Event::Tick),
        ],
        verdict: Decision::Answer,
        ..BASE
    },
    Case {
        name: "the late ratio is waited for after the soft deadline",
        change: |opts| *opts = ranged(opts),
        events: &[
            (5, Event::Ends(0, IN)),
            (5, Event::Ends(1, IN)),
            (105, Event::Tick),
            (120, Event::Ends(2, IN)),
        ],
        ..BASE
    },
    Case {
        name: "a failed shard is not waited for at the soft deadline",
        change: |opts| *opts = ranged(opts),
        events: &[
            (5, Event::Ends(0, IN)),
            (5, Event::Ends(1, IN)),
            (6, Event::Ends(2, LOST)),
            (100, Event::Tick),
        ],
        verdict: Decision::Answer,
        ..BASE
    },
    Case {
        name: "the minimum ratio is an answer at the hard deadline",
        change: |opts| *opts = ranged(opts),
        events: &[(5, Event::Ends(0, IN)), (5, Event::Ends(1, IN)), (500, Event::Tick)],
        verdict: Decision::Answer,
        ..BASE
    },
    Case {
        name: "given up at the hard deadline",
        budget: 0,
        events: &[(5, Event::Ends(0, IN)), (500, Event::Tick)],
        verdict: Decision::GiveUp { ran: true },
        ..BASE
    },
    Case {
        name: "overdue answers are hedged",
        events: &[(5, Event::Ends(0, IN)), (20, Event::Tick)],
        sends: &[1, 2, 2, 2],
        ..BASE
    },
    Case {
        name: "an answer is overdue by the time since the dispatch",
        dispatched: Some(15),
        events: &[(20, Event::Tick), (34, Event::Tick)],
        ..BASE
    },
    Case {
        name: "a request that was dispatched late is hedged when its answer is overdue",
        dispatched: Some(15),
        events: &[(20, Event::Tick), (35, Event::Tick)],
        sends: &[2, 2, 2, 2],
        ..BASE
    },
    Case {
        name: "a request that is not dispatched yet is given more time",
        dispatched: None,
        events: &[(20, Event::Tick), (39, Event::Tick)],
        ..BASE
    },
    Case {
        name: "a request that is not dispatched for long is hedged",
        dispatched: None,
        events: &[(20, Event::Tick), (40, Event::Tick)],
        sends: &[2, 2, 2, 2],
        ..BASE
    },
    Case {
        name: "hedges end with the budget",
        budget: 1,
        events: &[(20, Event::Tick), (36, Event::Tick)],
        sends: &[2, 1, 1, 1],
        ..BASE
    },
    Case {
        name: "a refusal is sent elsewhere at once",
        events: &[(5, Event::Ends(2, SHED))],
        sends: &[1, 1, 2, 1],
        ..BASE
    },
    Case {
        name: "a failure is sent elsewhere at once",
        events: &[(5, Event::Ends(2, LOST))],
        sends: &[1, 1, 2, 1],
        ..BASE
    },
    Case {
        name: "a shard that only the budget denies stays open",
        budget: 0,
        events: &[
            (5, Event::Ends(0, IN)),
            (5, Event::Ends(1, IN)),
            (5, Event::Ends(2, IN)),
            (6, Event::Ends(3, LOST)),
        ],
        ..BASE
    },
    Case {
        name: "no more servers than allowed",
        events: &[(5, Event::Ends(2, SHED)), (6, Event::Ends(2, SHED)), (9, Event::Tick)],
        sends: &[1, 1, 2, 1],
        ..BASE
    },
    Case {
        name: "given up as soon as the minimum ratio is out of reach",
        events: &[
            (5, Event::Ends(2, SHED)),
            (6, Event::Ends(2, SHED)),
            (7, Event::Ends(3, SHED)),
            (8, Event::Ends(3, SHED)),
        ],
        sends: &[1, 1, 2, 2],
        verdict: Decision::GiveUp { ran: true },
        ..BASE
    },
    Case {
        name: "a single request refused by all has not run",
        shards: 1,
        events: &[(5, Event::Ends(0, SHED)), (6, Event::Ends(0, SHED))],
        sends: &[2],
        verdict: Decision::GiveUp { ran: false },
        ..BASE
    },
    Case {
        name: "an unsent request does not count as an attempt",
        shards: 1,
        change: |o| o.max_attempts = 1,
        events: &[(5, Event::Ends(0, SendResult::Unsent(NotRunCode::NotConnected)))],
        sends: &[2],
        ..BASE
    },
    Case {
        name: "a non-idempotent request is not hedged",
        shards: 1,
        change: |o| o.idempotent = false,
        events: &[(20, Event::Tick), (90, Event::Tick)],
        sends: &[1],
        ..BASE
    },
    Case {
        name: "a non-idempotent request that may have run is not sent again",
        shards: 1,
        change: |o| o.idempotent = false,
        events: &[(5, Event::Ends(0, LOST))],
        sends: &[1],
        verdict: Decision::GiveUp { ran: true },
        ..BASE
    },
    Case {
        name: "a non-idempotent request on a broken reused connection is not sent again",
        shards: 1,
        change: |o| o.idempotent = false,
        events: &[(5, Event::Ends(0, SendResult::Broken(Fault::Lost)))],
        sends: &[1],
        verdict: Decision::GiveUp { ran: true },
        ..BASE
    },
    Case {
        name: "a non-idempotent request is sent elsewhere after a refusal",
        shards: 1,
        change: |o| o.idempotent = false,
        events: &[(5, Event::Ends(0, SHED))],
        sends: &[2],
        ..BASE
    },
];

fn play(case: &Case) -> (Scatter, Vec<ShardSend>, u64) {
    let mut model = Model {
        dispatched_at: case.dispatched.map(ms),
        lacking: case.lacking.to_vec(),
        ..Model::new(case.budget, 2)
    };
    let mut opts = options(case.shards);
    (case.change)(&mut opts);
    let (mut scatter, mut sends) = Scatter::start(opts, &mut model, ms(0));
    let mut ended = vec![0; case.shards as usize];
    let mut last = 0;
    for (at, event) in case.events {
        last = *at;
        match event {
            Event::Tick => sends.extend(scatter.hedge_overdue(&mut model, ms(*at))),
            Event::Ends(shard, end) => {
                let of = sends.iter().filter(|o| o.shard == *shard).nth(ended[*shard]);
                let server = of.unwrap_or_else(|| panic!("{}: nothing sent", case.name)).server;
                ended[*shard] += 1;
                sends.extend(scatter.record_result((*shard, server), *end, &mut model, ms(*at)));
            }
        }
    }
    assert_eq!(model.picks, sends.len(), "{}: picks that are not sent are given back", case.name);
    (scatter, sends, last)
}

#[test]
fn what_is_sent_and_when_it_is_answered() {
    for case in CASES {
        let (scatter, sends, last) = play(case);
        let sends: Vec<_> = (0..case.shards as usize)
            .map(|s| sends.iter().filter(|o| o.shard == s).count())
            .collect();
        assert_eq!(sends, case.sends, "{}", case.name);
        assert_eq!(scatter.decision(ms(last)), case.verdict, "{}", case.name);
    }
}

/// Random results at random times: the invariants hold after each step, and every request ends.
fn randomised(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let shards = rng.random_range(1..12u32);
    let max_attempts = rng.random_range(1..4);
    let idempotent = rng.random_bool(0.7);
    let min_shard_ratio = rng.random_range(0.0..1.0);
    let budget = rng.random_range(0..10);
    let opts = ScatterOptions { max_attempts, idempotent, min_shard_ratio, ..options(shards) };
    let mut model = Model::new(budget, rng.random_range(0..4));
    model.lacking = (0..shards as usize).filter(|_| rng.random_bool(0.1)).collect();
    let (mut scatter, sends) = Scatter::start(opts, &mut model, ms(0));
    assert_eq!(model.picks, sends.len(), "picks that are not sent are given back");
    let mut in_flight = sends.clone();
    let mut arrived = vec![0; shards as usize];
    let mut in_shards = vec![false; shards as usize];
    let mut may_have_run = vec![false; shards as usize];
    let mut at = 0;
    loop {
        match scatter.decision(ms(at)) {
            Decision::Answer => {
                let parts = in_shards.iter().filter(|i| **i).count();
                assert!(parts as f64 >= min_shard_ratio * f64::from(shards) - 1e-6 && parts > 0);
                assert_eq!(scatter.missing_shards().len() + parts, shards as usize);
                break;
            }
            Decision::GiveUp { ran } => {
                let any = may_have_run.iter().any(|r| *r) || !in_flight.is_empty();
                assert!(ran || !any, "reported as not run, though it may have run");
                break;
            }
            Decision::Wait => {}
        }
        assert!(at <= 500, "a request ends at its hard deadline");
        at += rng.random_range(1..10);
        let new = if !in_flight.is_empty() && rng.random_bool(0.6) {
            let send = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
            let end = match rng.random_range(0..6) {
                0 => SendResult::Unsent(NotRunCode::NotConnected),
                1 => SHED,
                2 => LOST,
                3 => SendResult::Broken(Fault::Timeout),
                _ => IN,
            };
            if !matches!(end, SendResult::Unsent(_)) {
                arrived[send.shard] += 1;
            }
            in_shards[send.shard] |= end == IN;
            may_have_run[send.shard] |=
                matches!(end, SendResult::Answered | SendResult::Failed(_) | SendResult::Broken(_));
            let target = (send.shard, send.server);
            scatter.record_result(target, end, &mut model, ms(at)).into_iter().collect()
        } else {
            scatter.hedge_overdue(&mut model, ms(at))
        };
        for send in &new {
            assert!(idempotent || !may_have_run[send.shard], "sent again though it may have run");
            let under_way = in_flight.iter().filter(|o| o.shard == send.shard).count();
            assert!(arrived[send.shard] + under_way < max_attempts, "more servers than allowed");
            assert!(!in_shards[send.shard], "sent though the shard has answered");
        }
        in_flight.extend(new);
    }
    assert!(model.spent <= budget);
    assert!(model.requests.values().all(|n| *n == 1), "one request for each service");
}

#[test]
fn any_order_of_events_keeps_the_invariants() {
    for seed in seeds(30_000) {
        randomised(seed);
    }
}
