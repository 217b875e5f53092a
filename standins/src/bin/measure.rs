//! Measures the real binary in deployments of the users' sizes, under load and faults.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use serde::Serialize;
use standins::load::{Balancer, LoadOptions, Report};
use standins::platform::PlatformFaults;
use standins::rig::{Rig, RigOptions, ServiceSpec};
use standins::scenario::{Scenario, Step, execute_step, run_load_and_steps};
use standins::upstream::{UpstreamFaults, UpstreamOptions};
use tamarackdeck::{Capacity, Policy, Preference, Ticket};

/// The size of a user's deployment.
struct User {
    name: &'static str,
    domains: &'static [&'static str],
    instances_per_domain: usize,
    /// Services: name, shards, replicas, connections per upstream, connection setup in milliseconds.
    services: &'static [(&'static str, usize, usize, usize, u64)],
    prefer: Preference,
}

const USERS: &[User] = &[
    User {
        name: "laco-sul",
        domains: &["a", "b", "c"],
        instances_per_domain: 3,
        services: &[
            ("search", 20, 2, 25, 6),
            ("quotes", 30, 2, 25, 6),
            ("booking", 5, 2, 100, 1),
            ("certificates", 5, 1, 100, 1),
        ],
        prefer: Preference::Tail,
    },
    User {
        name: "ireland",
        domains: &["a", "b", "c", "d"],
        instances_per_domain: 2,
        services: &[
            ("search", 20, 2, 25, 6),
            ("register", 30, 2, 25, 6),
            ("datasheets", 5, 2, 35, 1),
            ("notices", 5, 1, 35, 1),
        ],
        prefer: Preference::Coverage,
    },
];

/// Median service time of an upstream, in microseconds.
const MEDIAN_SERVICE_US: u64 = 10_000;
/// Mean service time of an upstream, in seconds, from the distribution used by its stand-in.
const MEAN_SERVICE_S: f64 = 0.012;
const SLOTS_PER_UPSTREAM: usize = 2;
/// Deadline of a query, in milliseconds.
const DEADLINE_MS: u64 = 900;

/// A measured condition: its load, the steps during it and the steps that clean up after it.
struct Condition {
    name: &'static str,
    /// Offered load as a share of the upstreams' capacity.
    load: f64,
    steps: fn() -> Vec<(u64, Step)>,
    cleanup: fn() -> Vec<Step>,
    /// Time to recover before the next condition, in milliseconds.
    recovery_ms: u64,
}

const CALM_CONDITION: Condition =
    Condition { name: "calm", load: 0.7, steps: Vec::new, cleanup: Vec::new, recovery_ms: 500 };

fn upstream_faults(set: impl FnOnce(&mut UpstreamFaults)) -> UpstreamFaults {
    let mut faults = UpstreamFaults::default();
    set(&mut faults);
    faults
}

fn slow_upstream() -> Step {
    Step::SetUpstreamFaults("search-0-0", upstream_faults(|faults| faults.slow = 10.0))
}

fn clear_faults() -> Vec<Step> {
    vec![Step::SetUpstreamFaults("*", UpstreamFaults::default())]
}

const CONDITIONS: &[Condition] = &[
    CALM_CONDITION,
    Condition { name: "calm at 35%", load: 0.35, ..CALM_CONDITION },
    Condition {
        name: "one straggler at ten times",
        load: 0.35,
        steps: || vec![(0, slow_upstream())],
        cleanup: clear_faults,
        recovery_ms: 2_000,
    },
    Condition {
        name: "one replica killed",
        load: 0.35,
        steps: || vec![(500, Step::KillUpstream("search-0-0"))],
        cleanup: || vec![Step::RestartUpstream("search-0-0")],
        recovery_ms: 2_000,
    },
    Condition {
        name: "one upstream cold",
        load: 0.35,
        steps: || vec![(500, Step::RestartUpstream("search-0-0"))],
        ..CALM_CONDITION
    },
    Condition {
        name: "one domain cut off",
        load: 0.35,
        steps: || vec![(500, Step::PartitionDomain("a"))],
        cleanup: || vec![Step::HealPartitions],
        recovery_ms: 3_000,
    },
    Condition {
        name: "platform away",
        steps: || {
            vec![(0, Step::SetPlatformFaults(PlatformFaults { down: true, ..Default::default() }))]
        },
        cleanup: || vec![Step::SetPlatformFaults(PlatformFaults::default())],
        ..CALM_CONDITION
    },
    Condition {
        name: "one instance paused and woken",
        load: 0.35,
        steps: || {
            vec![
                (500, Step::SignalInstance("a-0", "STOP")),
                (3_500, Step::SignalInstance("a-0", "CONT")),
            ]
        },
        recovery_ms: 3_000,
        ..CALM_CONDITION
    },
    Condition {
        name: "connections of one upstream silent",
        steps: || {
            vec![(
                500,
                Step::SetUpstreamFaults(
                    "search-0-0",
                    upstream_faults(|faults| faults.silent = true),
                ),
            )]
        },
        cleanup: clear_faults,
        ..CALM_CONDITION
    },
    Condition {
        name: "a straggler and a killed replica",
        load: 0.35,
        steps: || vec![(500, slow_upstream()), (500, Step::KillUpstream("search-1-0"))],
        cleanup: || vec![Step::RestartUpstream("search-1-0"), clear_faults().remove(0)],
        recovery_ms: 2_000,
    },
    Condition {
        name: "a domain leaves and returns",
        load: 0.35,
        steps: || {
            vec![(500, Step::SetDomainOut("a", true)), (3_000, Step::SetDomainOut("a", false))]
        },
        recovery_ms: 2_000,
        ..CALM_CONDITION
    },
    Condition {
        name: "load at 100% of the slots",
        load: 1.0,
        recovery_ms: 1_000,
        ..CALM_CONDITION
    },
    Condition {
        name: "load at 200% of the slots",
        load: 2.0,
        recovery_ms: 1_000,
        ..CALM_CONDITION
    },
];

#[derive(Serialize)]
struct Row {
    user: &'static str,
    condition: &'static str,
    run: u64,
    offered: f64,
    report: Report,
    /// Runs started at upstreams beyond the shard answers delivered, as a share of the latter.
    added_load: f64,
    /// Extra arrivals (hedges and retries) as a share of all attempts.
    extra: f64,
    /// Answers with full coverage, per second.
    goodput: f64,
    /// Requests to cold upstreams above their sustainable rate.
    over_cold: u64,
    peak: usize,
    platform_calls_s: f64,
    control_bytes_s: f64,
    processor_ms_per_query: f64,
    processor_share: f64,
}

fn rig_options(user: &User, daemon_flags: &[String]) -> RigOptions {
    let services =
        user.services.iter().map(|(name, shards, replicas, connections, connect_ms)| ServiceSpec {
            name,
            shards: *shards,
            replicas: *replicas,
            prefer: user.prefer,
            bear: Capacity {
                slots: SLOTS_PER_UPSTREAM as u32,
                connections: *connections as u32,
                ..Default::default()
            },
            upstream: UpstreamOptions {
                slots: SLOTS_PER_UPSTREAM,
                connections: *connections,
                connect_ms: *connect_ms,
                service_us: MEDIAN_SERVICE_US,
                ..Default::default()
            },
        });
    RigOptions {
        domains: user.domains.to_vec(),
        instances_per_domain: user.instances_per_domain,
        services: services.collect(),
        policy: Policy { soft_ms: 250, hard_ms: 1_000, ..Default::default() },
        flags: daemon_flags.to_vec(),
        ..Default::default()
    }
}

struct Counters {
    cpu_s: f64,
    control_bytes: f64,
    attempts: f64,
    extra: f64,
    platform_calls: u64,
    read_at: Instant,
}

async fn read_counters(rig: &Rig) -> Counters {
    let mut counters = Counters {
        cpu_s: 0.0,
        control_bytes: 0.0,
        attempts: 0.0,
        extra: 0.0,
        platform_calls: 0,
        read_at: Instant::now(),
    };
    for process in rig.instances.values() {
        counters.cpu_s += process.cpu_seconds();
        counters.control_bytes += process.counter_total("tamarackdeck_link_bytes").await;
        counters.attempts += process.counter_total("tamarackdeck_sends_total").await;
        counters.extra += process.counter_total("tamarackdeck_extra_arrivals_total").await;
    }
    counters.platform_calls = rig.platform.call_counts().values().sum();
    counters
}

struct Runner {
    daemon: PathBuf,
    seconds: u64,
    only: Option<String>,
    daemon_flags: Vec<String>,
    rows: Vec<Row>,
}

impl Runner {
    async fn measure_user(&mut self, user: &'static User, run: u64) -> Result<()> {
        let mut rig = Rig::start(&self.daemon, rig_options(user, &self.daemon_flags)).await?;
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        rig.wait_membership(Duration::from_secs(40)).await?;
        rig.wait_serving(Duration::from_secs(10)).await?;
        let balancer = Arc::new(Balancer::start(rig.backends()).await);
        let shards = user.services[0].1;
        let capacity_per_s = SLOTS_PER_UPSTREAM as f64 / MEAN_SERVICE_S * user.services[0].2 as f64;
        let load = |share: f64, seconds: f64, seed: u64| LoadOptions {
            path: "/v1/query/search".into(),
            rate: capacity_per_s * share,
            duration: Duration::from_secs_f64(seconds),
            deadline_ms: DEADLINE_MS,
            seed,
        };
        let warm_up = Scenario { load: Some(load(0.4, 6.0, 99 + run)), ..Default::default() };
        run_load_and_steps(&mut rig, &balancer, &warm_up).await?;
        for condition in CONDITIONS {
            if self.only.as_ref().is_some_and(|filter| !condition.name.contains(filter.as_str())) {
                continue;
            }
            let steps = (condition.steps)()
                .into_iter()
                .map(|(ms, step)| (Duration::from_millis(ms), step))
                .collect();
            let load = load(condition.load, self.seconds as f64, run);
            let offered = load.rate;
            let scenario = Scenario { load: Some(load), steps, ..Default::default() };
            let before = read_counters(&rig).await;
            let (report, _) = run_load_and_steps(&mut rig, &balancer, &scenario).await?;
            let after = read_counters(&rig).await;
            let report = report.context("no report")?;
            let condition_run = ConditionRun {
                user: user.name,
                condition: condition.name,
                run,
                offered,
                shards,
                before,
                after,
            };
            let row = build_row(&rig, &condition_run, report);
            print_row(&row);
            self.rows.push(row);
            for step in (condition.cleanup)() {
                execute_step(&mut rig, &step).await?;
            }
            tokio::time::sleep(Duration::from_millis(condition.recovery_ms)).await;
        }
        self.measure_ticket(&rig, user).await
    }

    /// Measures the time from submitting a ticket to all running instances having it in force.
    async fn measure_ticket(&self, rig: &Rig, user: &User) -> Result<()> {
        let mut times = Vec::new();
        for _ in 0..5 {
            let version = rig.newest_version().await?;
            let ticket = Ticket { number: version + 1, base: version, ..Default::default() };
            let start = Instant::now();
            let (status, body) = rig.submit(&ticket).await?;
            if status != 200 {
                bail!("{status}: {body}");
            }
            rig.wait_version(version + 1, Duration::from_secs(7)).await?;
            times.push(start.elapsed().as_millis());
        }
        times.sort_unstable();
        println!(
            "{}: ticket submitted to in force everywhere, ms, five times: {times:?}",
            user.name
        );
        Ok(())
    }
}

/// Inputs of a result row: the condition and the counters before and after it.
struct ConditionRun {
    user: &'static str,
    condition: &'static str,
    run: u64,
    offered: f64,
    shards: usize,
    before: Counters,
    after: Counters,
}

fn build_row(rig: &Rig, condition_run: &ConditionRun, report: Report) -> Row {
    let (before, after) = (&condition_run.before, &condition_run.after);
    let stats: Vec<_> = rig.upstreams.values().map(|upstream| upstream.stats()).collect();
    let started: u64 = stats.iter().map(|stats| stats.started).sum();
    let needed = (report.coverage * report.answered as f64 * condition_run.shards as f64).max(1.0);
    let elapsed_s = after.read_at.duration_since(before.read_at).as_secs_f64();
    let instances = rig.instances.len() as f64;
    let cpu_s = after.cpu_s - before.cpu_s;
    Row {
        user: condition_run.user,
        condition: condition_run.condition,
        run: condition_run.run,
        offered: condition_run.offered,
        added_load: started as f64 / needed - 1.0,
        extra: (after.extra - before.extra) / (after.attempts - before.attempts).max(1.0),
        goodput: report.whole as f64 / elapsed_s,
        over_cold: stats.iter().map(|stats| stats.over_cold).sum(),
        peak: stats.iter().map(|stats| stats.peak).max().unwrap_or(0),
        platform_calls_s: (after.platform_calls - before.platform_calls) as f64 / elapsed_s,
        control_bytes_s: (after.control_bytes - before.control_bytes) / elapsed_s / instances,
        processor_ms_per_query: cpu_s * 1e3 / report.sent.max(1) as f64,
        processor_share: cpu_s / elapsed_s / instances,
        report,
    }
}

fn print_row(row: &Row) {
    let refusals: Vec<_> =
        row.report.refusals.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
    println!(
        "| {} | {} | {:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {:.4} | {:.4} | {:+.3} | {:.3} | {:.0} | {} | {} | {} | {:.1} | {:.0} | {:.2} |",
        row.user,
        row.condition,
        row.offered,
        row.report.p50_ms,
        row.report.p99_ms,
        row.report.p999_ms,
        row.report.max_ms,
        row.report.coverage,
        row.report.whole as f64 / row.report.sent.max(1) as f64,
        row.added_load,
        row.extra,
        row.goodput,
        if refusals.is_empty() { "-".into() } else { refusals.join(", ") },
        row.over_cold,
        row.peak,
        row.platform_calls_s,
        row.control_bytes_s,
        row.processor_share,
    );
}

fn print_table_header() {
    println!(
        "| user | condition | queries/s | p50 ms | p99 ms | p99.9 ms | max ms | coverage | whole | added load | extra | whole/s | refusals | over cold | peak | platform calls/s | link B/s | cores |"
    );
    println!("|{}", "---|".repeat(18));
}

/// Usage: measure DIR [--user NAME] [--only CONDITION] [--runs N]
/// [--seconds N] [--out FILE] [-- DAEMON FLAGS]
#[tokio::main]
async fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let dir = args.next().context("usage: measure DIRECTORY-OF-BINARIES")?;
    let (mut user, mut runs, mut out) = (None, 1, None);
    let daemon = Path::new(&dir).join("tamarackd");
    let mut runner =
        Runner { daemon, seconds: 4, only: None, daemon_flags: Vec::new(), rows: Vec::new() };
    while let Some(arg) = args.next() {
        if arg == "--" {
            runner.daemon_flags = args.by_ref().collect();
            break;
        }
        let value = args.next().with_context(|| format!("{arg} needs a value"))?;
        match arg.as_str() {
            "--user" => user = Some(value),
            "--only" => runner.only = Some(value),
            "--runs" => runs = value.parse()?,
            "--seconds" => runner.seconds = value.parse()?,
            "--out" => out = Some(value),
            _ => bail!("unknown flag {arg}"),
        }
    }
    print_table_header();
    for run in 0..runs {
        for user in
            USERS.iter().filter(|candidate| user.as_ref().is_none_or(|name| name == candidate.name))
        {
            runner.measure_user(user, run).await?;
        }
    }
    if let Some(out) = out {
        std::fs::write(out, serde_json::to_vec_pretty(&runner.rows)?)?;
    }
    Ok(())
}
