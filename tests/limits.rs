//! Limits shared by all instances without coordination messages: retry budgets, cold servers, connections.

mod support;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{ms, seeds};
use tamarackdeck::{ColdLimiter, RetryBudget, RetryBudgetOptions, Role, Tick, connection_share};

const SPAN: Duration = Duration::from_secs(10);
const OPTS: RetryBudgetOptions = RetryBudgetOptions { ratio: 0.2, slack: 58.0, window: SPAN };

/// One run of one instance, whose clock starts at zero.
struct Instance {
    start: u64,
    budget: RetryBudget,
    /// Number of instances that it knows of, never fewer than there are.
    instance_count: usize,
    role: Role,
}

/// Instances with different loads and views, restarted at random times, that use all of their budget.
/// The bound is the one that the users set: over any window, the ratio of the requests of that window,
/// of the previous one or of the one half a window earlier, whichever are most, plus the slack.
fn budget(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let n = rng.random_range(2..12usize);
    let instance_count = |rng: &mut StdRng| n + rng.random_range(0..4);
    let rates: Vec<f64> = (0..n).map(|_| rng.random_range(0.1..2.0)).collect();
    let gatherers = rng.random_range(0..=n);
    let role = |i: usize, rng: &mut StdRng| match (gatherers, i < gatherers) {
        (0, _) => Role::Alone,
        (_, true) => Role::Gatherer(gatherers + rng.random_range(0..2)),
        (_, false) => Role::Asker,
    };
    let mut instances: Vec<Instance> = (0..n)
        .map(|i| Instance {
            start: 0,
            budget: RetryBudget::new(OPTS),
            instance_count: instance_count(&mut rng),
            role: role(i, &mut rng),
        })
        .collect();
    let (mut requests, mut extra_sends) = (Vec::new(), Vec::new());
    for at in (0..60_000u64).step_by(20) {
        for (i, rate) in instances.iter_mut().zip(&rates) {
            if rng.random_bool(0.000_2) {
                *i = Instance { start: at, budget: RetryBudget::new(OPTS), ..*i };
            }
            let now = ms(at - i.start);
            if rng.random_bool(rate * 0.2) {
                i.budget.record_request(now);
                requests.push(at);
            }
            while rng.random_bool(0.9) && i.budget.try_acquire(i.role.share(i.instance_count), now)
            {
                extra_sends.push(at);
            }
        }
    }
    let within = |list: &[u64], from: u64, to: u64| {
        list.partition_point(|t| *t < to) - list.partition_point(|t| *t < from)
    };
    let span = SPAN.as_millis() as u64;
    for end in (span..=60_000).step_by(100) {
        let from = end - span;
        let of = |back: u64| within(&requests, from.saturating_sub(back), end.saturating_sub(back));
        let most = of(0).max(of(span / 2)).max(of(span));
        let bound = OPTS.ratio * most as f64 + OPTS.slack;
        let spent = within(&extra_sends, from, end);
        assert!(spent as f64 <= bound, "seed {seed}: {spent} of {bound} up to {end} ms");
    }
}

#[test]
fn extra_sends_of_all_instances_stay_within_the_budget() {
    for seed in seeds(60) {
        budget(seed);
    }
}

struct SpendCase {
    name: &'static str,
    requests: u32,
    /// Time of the extra sends, in milliseconds after the start of the process.
    at: u64,
    instances: usize,
    spent: u32,
}

const SPENDS: &[SpendCase] = &[
    SpendCase { name: "a share of the slack", requests: 0, at: 20_000, instances: 10, spent: 4 },
    SpendCase {
        name: "no slack in a young process",
        requests: 0,
        at: 9_000,
        instances: 10,
        spent: 0,
    },
    SpendCase {
        name: "a ratio of the requests",
        requests: 100,
        at: 9_000,
        instances: 10,
        spent: 17,
    },
    SpendCase { name: "both", requests: 100, at: 20_000, instances: 10, spent: 21 },
    SpendCase { name: "alone", requests: 0, at: 20_000, instances: 1, spent: 40 },
];

#[test]
fn one_instance_uses_its_share_of_the_budget() {
    for case in SPENDS {
        let mut budget = RetryBudget::new(OPTS);
        (0..case.requests).for_each(|_| budget.record_request(ms(case.at)));
        let spent = (0..1_000)
            .filter(|_| budget.try_acquire(Role::Alone.share(case.instances), ms(case.at)))
            .count();
        assert_eq!(spent as u32, case.spent, "{}", case.name);
        assert_eq!(budget.used(ms(case.at)), case.spent, "{}", case.name);
        let later = ms(case.at + 12_000);
        assert_eq!(budget.used(later), 0, "{}: a window later", case.name);
    }
}

/// Instances send to one cold server as often as they are allowed.
fn cold(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let n = rng.random_range(1..14usize);
    let rate = rng.random_range(1.0..60.0);
    let mut limiters: Vec<(ColdLimiter, usize)> =
        (0..n).map(|_| (ColdLimiter::default(), n + rng.random_range(0..3))).collect();
    let mut sent = Vec::new();
    for at in (0..5_000u64).step_by(5) {
        for (limiter, instance_count) in &mut limiters {
            while rng.random_bool(0.8) && limiter.can_send(rate, *instance_count, ms(at)) {
                limiter.record_send(ms(at));
                sent.push(at);
            }
        }
    }
    for from in (0..4_000u64).step_by(5) {
        let count = sent.iter().filter(|t| (from..from + 1_000).contains(*t)).count();
        assert!(count as f64 <= rate, "seed {seed}: {count} of {rate} from {from} ms on");
    }
}

#[test]
fn a_cold_server_gets_no_more_than_its_rate_in_any_second() {
    for seed in seeds(200) {
        cold(seed);
    }
    let mut limiter = ColdLimiter::default();
    (0..1_000).for_each(|_| limiter.record_send(Tick(5)));
    assert!(limiter.can_send(0.0, 3, Tick(5)), "a rate of zero is no limit");
}

struct ShareCase {
    limit: u32,
    instances: usize,
    share: u32,
}

const SHARES: &[ShareCase] = &[
    ShareCase { limit: 26, instances: 9, share: 2 },
    ShareCase { limit: 110, instances: 12, share: 9 },
    ShareCase { limit: 26, instances: 26, share: 1 },
    ShareCase { limit: 26, instances: 80, share: 1 },
    ShareCase { limit: 26, instances: 0, share: 26 },
];

#[test]
fn connections_are_shared_evenly() {
    for case in SHARES {
        assert_eq!(
            connection_share(case.limit, case.instances, Role::Alone),
            case.share,
            "{}",
            case.limit
        );
    }
}
