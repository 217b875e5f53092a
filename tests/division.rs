//! Division of sharded requests among gatherers, and the load that it answers.

mod support;

use std::time::Duration;

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{ms, seeds};
use tamarackdeck::{
    Decision, Division, Fault, GatherContext, GatherRefusal, InstanceId, Key, Member, PoolKey,
    RangeEnd, RangeProgress, RangeRatios, RangeRefusals, RangeStep, RangesDecision, Scatter,
    ScatterContext, ScatterOptions, SendResult, ServerKey, Tick, range_ratios,
};

fn member((name, domain, power): &(&str, &str, u32)) -> Member {
    let addr = "127.0.0.1:9".parse().unwrap();
    Member { id: InstanceId((*name).to_owned()), domain: (*domain).to_owned(), addr, power: *power }
}

const LARGE: &[(&str, &str, u32)] = &[
    ("a", "d", 120),
    ("x", "d", 500),
    ("y", "d", 500),
    ("z", "d", 500),
    ("b", "e", 120),
    ("u", "e", 500),
];

struct Case {
    name: &'static str,
    /// Name, failure domain and processor power of each member.
    members: &'static [(&'static str, &'static str, u32)],
    /// The member that has the request.
    me: usize,
    /// Number of shards in each failure domain.
    held: &'static [(&'static str, usize)],
    shard_count: usize,
    rate: f64,
    /// Number of shards in each range; empty if one instance gathers all of them.
    ranges: &'static [usize],
}

const CASES: &[Case] = &[
    Case {
        name: "one range for each gatherer",
        members: LARGE,
        me: 0,
        held: &[("d", 180)],
        shard_count: 180,
        rate: 1.0,
        ranges: &[60, 60, 60],
    },
    Case {
        name: "a gatherer divides its own requests too",
        members: LARGE,
        me: 1,
        held: &[("d", 180)],
        shard_count: 180,
        rate: 9.0,
        ranges: &[60, 60, 60],
    },
    Case {
        name: "ranges are not made small",
        members: LARGE,
        me: 0,
        held: &[("d", 70)],
        shard_count: 70,
        rate: 1.0,
        ranges: &[35, 35],
    },
    Case {
        name: "few shards are gathered by one instance",
        members: LARGE,
        me: 0,
        held: &[("d", 20)],
        shard_count: 20,
        rate: 1.0,
        ranges: &[],
    },
    Case {
        name: "an instance without near shards divides them in a domain that holds the most",
        members: LARGE,
        me: 4,
        held: &[("d", 180), ("f", 20)],
        shard_count: 180,
        rate: 1.0,
        ranges: &[60, 60, 60],
    },
    Case {
        name: "one gatherer",
        members: LARGE,
        me: 4,
        held: &[("e", 180)],
        shard_count: 180,
        rate: 1.0,
        ranges: &[],
    },
    Case {
        name: "no domain holds enough",
        members: LARGE,
        me: 0,
        held: &[("d", 60), ("e", 60)],
        shard_count: 180,
        rate: 1.0,
        ranges: &[],
    },
    Case {
        name: "a large instance with warm connections that is no gatherer",
        members: &[("a", "d", 500), ("b", "d", 500), ("c", "d", 500), ("e", "d", 500)],
        me: usize::MAX,
        held: &[("d", 180)],
        shard_count: 180,
        rate: 9.0,
        ranges: &[],
    },
];

fn names(division: &Division<'_>) -> Vec<String> {
    division.gatherers.iter().map(|m| m.id.name().to_owned()).collect()
}

#[test]
fn each_gatherer_has_a_range_of_its_own() {
    for case in CASES {
        let members: Vec<Member> = case.members.iter().map(member).collect();
        let held: IndexMap<&str, usize> = case.held.iter().copied().collect();
        let divide = |me: &Member, rate| {
            let context = GatherContext { me, request_rate: rate, shard_count: case.shard_count };
            Division::new(context, &held, &members, |_| 0)
        };
        // the one that is no gatherer depends on the hashes of the names
        let me = members.get(case.me).unwrap_or_else(|| {
            let gatherers = names(&divide(&members[0], 0.0).expect("divided"));
            members.iter().find(|m| !gatherers.iter().any(|g| g == m.id.name())).unwrap()
        });
        let division = divide(me, case.rate);
        let lengths =
            division.as_ref().map_or(Vec::new(), |d| d.ranges.iter().map(|r| r.len()).collect());
        assert_eq!(lengths, case.ranges, "{}", case.name);
        let Some(division) = division else { continue };
        let mut next = 0;
        for (index, range) in division.ranges.iter().enumerate() {
            assert_eq!(range.start, next, "{}: ranges follow each other", case.name);
            next = range.end;
            let preferred: Vec<_> = division.preferred(index).map(|m| m.id.name()).collect();
            assert_eq!(preferred[0], division.gatherers[index].id.name(), "{}", case.name);
            assert_eq!(preferred.len(), division.gatherers.len(), "{}: all may take it", case.name);
        }
        assert_eq!(next, case.shard_count, "{}: every shard is in a range", case.name);
        let other = divide(&members[0], 0.0).map(|d| names(&d));
        assert!(
            other.is_none_or(|o| o == names(&division)),
            "{}: all agree on the order",
            case.name
        );
    }
}

/// Why gatherers refuse a range, one after the other.
struct RefusalCase {
    name: &'static str,
    refusals: &'static [GatherRefusal],
    /// Whether the gatherers are in the instance's own failure domain.
    is_nearby: bool,
    step: RangeStep,
    /// Whether the next request is refused without an offer.
    is_domain_cut: bool,
}

impl RefusalCase {
    const DEFAULT: Self = Self {
        name: "none yet",
        refusals: &[],
        is_nearby: true,
        step: RangeStep::Offer,
        is_domain_cut: false,
    };
}

const REFUSALS: &[RefusalCase] = &[
    RefusalCase::DEFAULT,
    RefusalCase { name: "a busy one", refusals: &[GatherRefusal::Busy], ..RefusalCase::DEFAULT },
    RefusalCase {
        name: "two busy ones",
        refusals: &[GatherRefusal::Busy, GatherRefusal::Busy],
        step: RangeStep::GatherHere,
        ..RefusalCase::DEFAULT
    },
    RefusalCase {
        name: "one with other routes",
        refusals: &[GatherRefusal::Version],
        step: RangeStep::GatherHere,
        ..RefusalCase::DEFAULT
    },
    RefusalCase {
        name: "one that is cut may be alone in it",
        refusals: &[GatherRefusal::Cut, GatherRefusal::Leaving],
        step: RangeStep::GatherHere,
        ..RefusalCase::DEFAULT
    },
    RefusalCase {
        name: "one that is cut: another is asked",
        refusals: &[GatherRefusal::Cut],
        ..RefusalCase::DEFAULT
    },
    RefusalCase {
        name: "a failure domain that is cut",
        refusals: &[GatherRefusal::Cut, GatherRefusal::Cut],
        step: RangeStep::Refuse { retry_after: Duration::from_millis(10) },
        is_domain_cut: true,
        ..RefusalCase::DEFAULT
    },
    RefusalCase {
        name: "another failure domain that is cut: the next request may go to a third one",
        refusals: &[GatherRefusal::Cut, GatherRefusal::Cut],
        is_nearby: false,
        step: RangeStep::Refuse { retry_after: Duration::from_millis(10) },
        ..RefusalCase::DEFAULT
    },
];

#[test]
fn a_range_that_gatherers_can_not_reach_is_refused() {
    for case in REFUSALS {
        let mut refusals = RangeRefusals::default();
        case.refusals.iter().for_each(|why| refusals.record(*why, case.is_nearby));
        assert_eq!(refusals.next_step(), case.step, "{}", case.name);
        assert_eq!(refusals.is_domain_cut(), case.is_domain_cut, "{}", case.name);
    }
}

/// How the ranges of a request end, one after the other.
struct EndCase {
    name: &'static str,
    min_shard_ratio: f64,
    /// The number of shards of each range that ends, when it ends, in milliseconds, and how.
    ends: &'static [(usize, u64, RangeEnd)],
    /// The first decision that is not to wait, and when, in milliseconds.
    decision: (RangesDecision, u64),
}

/// Shards of the request of an [`EndCase`].
const END_SHARDS: usize = 90;
/// Its soft deadline, in milliseconds.
const END_SOFT: u64 = 100;
const WHOLE: RangeEnd = RangeEnd::Gathered { missing: 0 };
const FAILED: RangeEnd = RangeEnd::GivenUp { late: false };
const LATE: RangeEnd = RangeEnd::GivenUp { late: true };

const fn refused(retry_after_ms: u64) -> RangeEnd {
    RangeEnd::NotRun { retry_after: Duration::from_millis(retry_after_ms) }
}

const ENDS: &[EndCase] = &[
    EndCase {
        name: "all ranges are whole",
        min_shard_ratio: 0.95,
        ends: &[(30, 40, WHOLE), (30, 50, WHOLE), (30, 60, WHOLE)],
        decision: (RangesDecision::Answer, 60),
    },
    EndCase {
        name: "a range that is not needed is not waited for after the soft deadline",
        min_shard_ratio: 0.5,
        ends: &[(30, 40, WHOLE), (30, 50, WHOLE), (30, 160, WHOLE)],
        decision: (RangesDecision::Answer, END_SOFT),
    },
    EndCase {
        name: "a range that is needed is waited for",
        min_shard_ratio: 0.95,
        ends: &[(30, 40, WHOLE), (30, 50, WHOLE), (30, 160, WHOLE)],
        decision: (RangesDecision::Answer, 160),
    },
    EndCase {
        name: "a failed range puts the ratio out of reach",
        min_shard_ratio: 0.95,
        ends: &[(30, 40, WHOLE), (30, 50, FAILED)],
        decision: (RangesDecision::GiveUp { late: false }, 50),
    },
    EndCase {
        name: "a range passes its deadline",
        min_shard_ratio: 0.95,
        ends: &[(30, 40, WHOLE), (30, 500, LATE)],
        decision: (RangesDecision::GiveUp { late: true }, 500),
    },
    EndCase {
        name: "parts that gathered ranges leave out after a failed one put the ratio out of reach",
        min_shard_ratio: 0.5,
        ends: &[
            (30, 40, FAILED),
            (30, 50, RangeEnd::Gathered { missing: 10 }),
            (30, 60, RangeEnd::Gathered { missing: 10 }),
        ],
        decision: (RangesDecision::GiveUp { late: false }, 60),
    },
    EndCase {
        name: "all ranges are refused, and the request with them",
        min_shard_ratio: 0.95,
        ends: &[(30, 1, refused(60)), (30, 3, refused(200)), (30, 12, refused(60))],
        decision: (RangesDecision::Refuse { retry_after: Duration::from_millis(200) }, 12),
    },
    EndCase {
        name: "a range is refused while others may run",
        min_shard_ratio: 0.95,
        ends: &[(30, 1, refused(60)), (30, 90, WHOLE)],
        decision: (RangesDecision::GiveUp { late: false }, 21),
    },
    EndCase {
        name: "a range is refused after another one was gathered",
        min_shard_ratio: 0.95,
        ends: &[(30, 5, WHOLE), (30, 10, refused(60))],
        decision: (RangesDecision::GiveUp { late: false }, 10),
    },
    EndCase {
        name: "a range fails after another one was refused",
        min_shard_ratio: 0.95,
        ends: &[(30, 1, refused(60)), (30, 4, FAILED)],
        decision: (RangesDecision::GiveUp { late: false }, 4),
    },
    EndCase {
        name: "a refused range that is not needed",
        min_shard_ratio: 0.5,
        ends: &[(30, 1, refused(60)), (30, 50, WHOLE), (30, 60, WHOLE)],
        decision: (RangesDecision::Answer, 60),
    },
];

/// Replays a case; returns the first decision that is not to wait, and when.
fn first_decision(case: &EndCase) -> (RangesDecision, u64) {
    let mut progress = RangeProgress::new(END_SHARDS, case.min_shard_ratio, ms(END_SOFT));
    let mut ends = case.ends.iter();
    let (mut next, mut now) = (ends.next(), ms(0));
    loop {
        let decision = progress.decision(now);
        if decision != RangesDecision::Wait {
            return (decision, now.0 / 1_000);
        }
        let wake = progress.next_wake(now);
        let end_at = next.map(|(_, at, _)| ms(*at));
        now = end_at.into_iter().chain(wake).min().expect("waits for nothing");
        if let Some((len, _, end)) = next.filter(|_| end_at == Some(now)) {
            progress.record(*len, *end, now);
            next = ends.next();
        }
    }
}

#[test]
fn a_divided_request_ends_as_its_ranges_allow() {
    for case in ENDS {
        assert_eq!(first_decision(case), case.decision, "{}", case.name);
    }
}

/// Requests on gatherers whose processors are slower than those that they were sized for.
struct LoadCase {
    name: &'static str,
    shard_count: usize,
    /// Processor power of each of three gatherers, in thousandths of a core.
    power: u32,
    /// Requests per second to the domain.
    rate: f64,
    /// Processor time for one shard, dispatch and part together.
    shard_cost: Duration,
    /// Minimum share of the requests whose parts have all been read within [`GATHER_TIME`].
    min_share: f64,
}

/// Time for gathering within a target of 120 ms: without the ways to caller and gatherer, and the slowest answer.
const GATHER_TIME: Duration = Duration::from_millis(60);

const LOADS: &[LoadCase] = &[
    LoadCase {
        name: "180 shards, as sized",
        shard_count: 180,
        power: 500,
        rate: 16.0,
        shard_cost: Duration::from_micros(75),
        min_share: 0.99,
    },
    LoadCase {
        name: "180 shards, processors half as fast",
        shard_count: 180,
        power: 500,
        rate: 16.0,
        shard_cost: Duration::from_micros(150),
        min_share: 0.95,
    },
    LoadCase {
        name: "270 shards, processors half as fast",
        shard_count: 270,
        power: 500,
        rate: 16.0,
        shard_cost: Duration::from_micros(150),
        min_share: 0.8,
    },
    LoadCase {
        name: "180 shards, gatherers of an eighth of a core",
        shard_count: 180,
        power: 120,
        rate: 1.0,
        shard_cost: Duration::from_micros(75),
        min_share: 0.95,
    },
];

/// Replays requests on processors that each work on one range after the other; returns the share that is gathered in time.
fn replay(case: &LoadCase, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let members = ["x", "y", "z"].map(|name| member(&(name, "d", case.power)));
    let held: IndexMap<&str, usize> = [("d", case.shard_count)].into_iter().collect();
    let mut busy_until: IndexMap<&str, f64> = members.iter().map(|m| (m.id.name(), 0.0)).collect();
    let cost = case.shard_cost.as_secs_f64() * 1_000.0 / f64::from(case.power);
    let (mut now, mut in_time) = (0.0, 0);
    const REQUESTS: usize = 2_000;
    for _ in 0..REQUESTS {
        now += -rng.random_range(1e-9f64..1.0).ln() / case.rate;
        let me = &members[rng.random_range(0..members.len())];
        let context = GatherContext { me, request_rate: 0.0, shard_count: case.shard_count };
        let division = Division::new(context, &held, &members, |_| 0);
        let ranges = match &division {
            Some(d) => {
                d.ranges.iter().enumerate().map(|(i, r)| (d.gatherers[i], r.len())).collect()
            }
            None => vec![(me, case.shard_count)],
        };
        let mut gathered_at = now;
        for (gatherer, shards) in ranges {
            let busy = &mut busy_until[gatherer.id.name()];
            *busy = busy.max(now) + shards as f64 * cost;
            gathered_at = gathered_at.max(*busy);
        }
        in_time += usize::from(gathered_at - now <= GATHER_TIME.as_secs_f64());
    }
    in_time as f64 / REQUESTS as f64
}

#[test]
fn requests_to_many_shards_meet_their_target_on_slow_processors() {
    for case in LOADS {
        for seed in seeds(20) {
            let share = replay(case, seed);
            println!("case: {}, seed {seed}: {share:.3}", case.name);
            assert!(share >= case.min_share, "{}, seed {seed}: {share:.3} in time", case.name);
        }
    }
}

/// A request to 180 shards in six ranges, of which 9 may be missing. Each shard answers after 50 ms, or, with a
/// probability, after 50 ms and an exponentially distributed time.
struct SlowShardsCase {
    name: &'static str,
    slow_probability: f64,
    /// Mean of the time beyond 50 ms, in milliseconds.
    extra_ms: f64,
    /// Number of shards, all of one range, that fail at once.
    failed: usize,
    /// Minimum share of requests that are answered by the soft deadline, and at all.
    min_in_time: f64,
    min_answered: f64,
}

const SLOW_SHARDS: &[SlowShardsCase] = &[
    SlowShardsCase {
        name: "one shard in fifty is slow",
        slow_probability: 0.02,
        extra_ms: 400.0,
        failed: 0,
        min_in_time: 0.8,
        min_answered: 0.99,
    },
    SlowShardsCase {
        name: "shards of one range fail together",
        slow_probability: 0.0,
        extra_ms: 1.0,
        failed: 5,
        min_in_time: 1.0,
        min_answered: 1.0,
    },
    SlowShardsCase {
        name: "one shard in twelve is slow",
        slow_probability: 0.083,
        extra_ms: 400.0,
        failed: 0,
        min_in_time: 0.0,
        min_answered: 0.8,
    },
    SlowShardsCase {
        name: "a third of the shards are somewhat late",
        slow_probability: 0.33,
        extra_ms: 100.0,
        failed: 0,
        min_in_time: 0.0,
        min_answered: 0.8,
    },
];

const SOFT_MS: f64 = 120.0;
const HARD_MS: f64 = 1_000.0;

/// Returns the shares of requests that are answered by the soft deadline, and at all.
fn replay_slow_shards(case: &SlowShardsCase, seed: u64, ratios: RangeRatios) -> (f64, f64) {
    const REQUESTS: usize = 400;
    let tick = |at: f64| Tick((at * 1_000.0) as u64);
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut in_time, mut answered) = (0, 0);
    for _ in 0..REQUESTS {
        let mut answers = vec![50.0; 180];
        for at in &mut answers {
            if rng.random_bool(case.slow_probability) {
                *at += -rng.random_range(1e-9f64..1.0).ln() * case.extra_ms;
            }
        }
        let mut ends: Vec<ShardEnd> =
            answers.iter().map(|at| (tick(*at), SendResult::Answered)).collect();
        ends[..case.failed].fill((ms(5), LOST));
        let answered_at = run_divided(&ends, 1, ratios)
            .and_then(|(decision, at)| (decision == RangesDecision::Answer).then_some(at));
        answered += usize::from(answered_at.is_some());
        in_time += usize::from(answered_at.is_some_and(|at| at <= tick(SOFT_MS)));
    }
    (in_time as f64 / REQUESTS as f64, answered as f64 / REQUESTS as f64)
}

#[test]
fn slow_and_failed_shards_of_a_range_cost_no_more_than_those_of_a_request() {
    for case in SLOW_SHARDS {
        for seed in seeds(5) {
            let (in_time, answered) = replay_slow_shards(case, seed, range_ratios(0.95, 180, 30));
            let same_for_all = RangeRatios {
                min_shard_ratio: 0.95,
                soft_shard_ratio: 0.95,
                late_shard_ratio: 0.95,
            };
            let (before, before_at_all) = replay_slow_shards(case, seed, same_for_all);
            println!(
                "case: {}, seed {seed}: {in_time:.3} in time, {answered:.3} at all; {before:.3} and {before_at_all:.3} with the \
                 request's ratio in each range",
                case.name
            );
            assert!(
                in_time >= case.min_in_time,
                "{}, seed {seed}: {in_time:.3} in time",
                case.name
            );
            assert!(answered >= case.min_answered, "{}, seed {seed}: {answered:.3}", case.name);
        }
    }
}

/// A number of servers for each shard, and a budget that is spent.
struct SpentBudget {
    servers: u32,
}

impl ScatterContext for SpentBudget {
    fn pick_server(&mut self, pool: PoolKey, avoid: &[ServerKey], _: Tick) -> Option<ServerKey> {
        let key = |n| ServerKey::new(pool.index() as u32 * 10 + n, 0);
        (0..self.servers).map(key).find(|key| !avoid.contains(key))
    }

    fn record_request(&mut self, _: PoolKey, _: Tick) {}

    fn try_acquire_extra(&mut self, _: PoolKey, _: Tick) -> bool {
        false
    }

    fn hedge_delay(&mut self, _: ServerKey) -> Duration {
        Duration::from_secs(10)
    }

    fn dispatched_at(&self, _: usize) -> Option<Tick> {
        Some(ms(0))
    }

    fn record_overdue(&mut self, _: ServerKey, _: Tick) {}
}

/// What some shards of a request do; the others answer after 50 ms.
#[derive(Clone, Copy)]
struct ShardEnds {
    /// Their indices.
    shards: &'static [usize],
    /// When they end, in milliseconds.
    at: u64,
    result: SendResult,
}

/// A request to 180 shards, of which 9 may be missing, with a soft deadline at 120 ms.
struct DividedCase {
    name: &'static str,
    /// Number of servers of each shard; the second one takes a budget that is spent.
    servers: u32,
    ends: &'static [ShardEnds],
    /// When it is answered, in milliseconds, if one instance gathers all shards.
    whole_at: u64,
    /// When it is answered at the latest if it is divided in six ranges: all shards that can answer have by then.
    divided_by: u64,
}

const LOST: SendResult = SendResult::Failed(Fault::Lost);

const DIVIDED: &[DividedCase] = &[
    DividedCase {
        name: "one shard of each range is late",
        servers: 1,
        ends: &[ShardEnds {
            shards: &[0, 30, 60, 90, 120, 150],
            at: 150,
            result: SendResult::Answered,
        }],
        whole_at: 120,
        divided_by: 120,
    },
    DividedCase {
        name: "four shards of a range have failed and one of it is late",
        servers: 1,
        ends: &[
            ShardEnds { shards: &[0, 1, 2, 3], at: 5, result: LOST },
            ShardEnds { shards: &[4], at: 150, result: SendResult::Answered },
        ],
        whole_at: 120,
        divided_by: 150,
    },
    DividedCase {
        name: "four shards of a range have failed and one of each range is late",
        servers: 1,
        ends: &[
            ShardEnds { shards: &[0, 1, 2, 3], at: 5, result: LOST },
            ShardEnds { shards: &[4, 30, 60, 90, 120, 150], at: 150, result: SendResult::Answered },
        ],
        whole_at: 150,
        divided_by: 150,
    },
    DividedCase {
        name: "four shards of a range were lost, and only the budget keeps them from being tried again",
        servers: 2,
        ends: &[ShardEnds { shards: &[0, 1, 2, 3], at: 5, result: LOST }],
        whole_at: 120,
        divided_by: 150,
    },
];

/// When a shard ends, and how.
type ShardEnd = (Tick, SendResult);

/// Runs the state machine of some shards; returns when it ends, and how.
fn run_range(shards: &[ShardEnd], servers: u32, ratios: RangeRatios) -> (Tick, RangeEnd) {
    let RangeRatios { min_shard_ratio, soft_shard_ratio, late_shard_ratio } = ratios;
    let opts = ScatterOptions {
        shards: (0..shards.len() as u32).map(|n| PoolKey::new(n, 0)).collect(),
        max_attempts: 2,
        idempotent: true,
        min_shard_ratio,
        soft_shard_ratio,
        late_shard_ratio,
        soft_deadline: ms(SOFT_MS as u64),
        hard_deadline: ms(HARD_MS as u64),
    };
    let mut servers = SpentBudget { servers };
    let (mut scatter, sends) = Scatter::start(opts, &mut servers, ms(0));
    let mut ends: Vec<_> = sends.iter().map(|s| (shards[s.shard], s.shard, s.server)).collect();
    ends.sort_by_key(|((at, _), ..)| *at);
    let mut ends = ends.into_iter().peekable();
    let mut now = ms(0);
    loop {
        while let Some(((_, result), shard, server)) = ends.next_if(|((at, _), ..)| *at <= now) {
            scatter.record_result((shard, server), result, &mut servers, now);
        }
        scatter.hedge_overdue(&mut servers, now);
        match scatter.decision(now) {
            Decision::Answer => {
                let missing = scatter.missing_shards().len();
                return (now, RangeEnd::Gathered { missing });
            }
            Decision::GiveUp { .. } => return (now, RangeEnd::GivenUp { late: false }),
            Decision::Wait => {}
        }
        let next_end = ends.peek().map(|((at, _), ..)| *at);
        now = scatter.next_wake(now).min(next_end.unwrap_or(ms(HARD_MS as u64)));
    }
}

/// Runs the state machines of a request in ranges of 30 shards; returns its end, and when.
fn run_divided(
    shards: &[ShardEnd],
    servers: u32,
    ratios: RangeRatios,
) -> Option<(RangesDecision, Tick)> {
    let mut ends: Vec<_> =
        shards.chunks(30).map(|range| run_range(range, servers, ratios)).collect();
    ends.sort_by_key(|(at, _)| *at);
    let mut progress = RangeProgress::new(shards.len(), 0.95, ms(SOFT_MS as u64));
    ends.iter().find_map(|(at, end)| {
        progress.record(30, *end, *at);
        // a range that answers in time may wait for those that end later until the soft deadline
        [*at, (*at).max(ms(SOFT_MS as u64))].into_iter().find_map(|at| {
            let decision = progress.decision(at);
            (decision != RangesDecision::Wait).then_some((decision, at))
        })
    })
}

#[test]
fn a_divided_request_is_answered_where_an_undivided_one_is() {
    let mut failures = Vec::new();
    for case in DIVIDED {
        let mut shards = vec![(ms(50), SendResult::Answered); 180];
        for ends in case.ends {
            ends.shards.iter().for_each(|n| shards[*n] = (ms(ends.at), ends.result));
        }
        let (at, end) = run_range(&shards, case.servers, range_ratios(0.95, 180, 180));
        assert!(matches!(end, RangeEnd::Gathered { .. }), "{}: {end:?}", case.name);
        assert_eq!(at, ms(case.whole_at), "{}", case.name);
        let decision = run_divided(&shards, case.servers, range_ratios(0.95, 180, 30));
        println!("case: {}: {decision:?}", case.name);
        let is_answered = decision
            .is_some_and(|(d, at)| d == RangesDecision::Answer && at <= ms(case.divided_by));
        if !is_answered {
            println!("failed: {}: {decision:?}", case.name);
            failures.push(case.name);
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
