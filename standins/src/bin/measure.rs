//! The measure: the real binary at a user's size of today.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use serde::Serialize;
use standins::load::{Balancer, LoadOptions, Report};
use standins::platform::PlatformFaults;
use standins::rig::{Rig, RigOptions, ServiceSpec};
use standins::scenario::{Scenario, Step, act, drive};
use standins::upstream::{UpstreamFaults, UpstreamOptions};
use tamarackdeck::{Capacity, Policy, Preference, Ticket};

/// A user's size.
struct User {
    name: &'static str,
    domains: &'static [&'static str],
    per_domain: usize,
    /// Services: name, shards, replicas, connections, connection set-up in milliseconds.
    services: &'static [(&'static str, usize, usize, usize, u64)],
    prefer: Preference,
}

const USERS: &[User] = &[
    User {
        name: "laco-sul",
        domains: &["a", "b", "c"],
        per_domain: 3,
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
        per_domain: 2,
        services: &[
            ("search", 20, 2, 25, 6),
            ("register", 30, 2, 25, 6),
            ("datasheets", 5, 2, 35, 1),
            ("notices", 5, 1, 35, 1),
        ],
        prefer: Preference::Coverage,
    },
];

/// Median time of an upstream's answer.
const SERVICE_US: u64 = 10_000;
/// Mean time of an upstream's answer, as its stand-in draws it, in seconds.
const MEAN_S: f64 = 0.012;
const SLOTS: usize = 2;
/// Deadline of a query, in milliseconds.
const DEADLINE_MS: u64 = 900;

/// A condition: what happens, and what is undone afterwards.
struct Condition {
    name: &'static str,
    /// Load, as a share of the slots.
    load: f64,
    steps: fn() -> Vec<(u64, Step)>,
    after: fn() -> Vec<Step>,
    /// Time to recover before the next condition, in milliseconds.
    rest_ms: u64,
}

const CALM: Condition =
    Condition { name: "calm", load: 0.7, steps: Vec::new, after: Vec::new, rest_ms: 500 };

fn faults(f: impl FnOnce(&mut UpstreamFaults)) -> UpstreamFaults {
    let mut faults = UpstreamFaults::default();
    f(&mut faults);
    faults
}

fn slow() -> Step {
    Step::Upstream("search-0-0", faults(|f| f.slow = 10.0))
}

fn mend() -> Vec<Step> {
    vec![Step::Upstream("*", UpstreamFaults::default())]
}

const CONDITIONS: &[Condition] = &[
    CALM,
    Condition { name: "calm at 35%", load: 0.35, ..CALM },
    Condition {
        name: "one straggler at ten times",
        load: 0.35,
        steps: || vec![(0, slow())],
        after: mend,
        rest_ms: 2_000,
    },
    Condition {
        name: "one replica killed",
        load: 0.35,
        steps: || vec![(500, Step::KillUpstream("search-0-0"))],
        after: || vec![Step::RestartUpstream("search-0-0")],
        rest_ms: 2_000,
    },
    Condition {
        name: "one upstream cold",
        load: 0.35,
        steps: || vec![(500, Step::RestartUpstream("search-0-0"))],
        ..CALM
    },
    Condition {
        name: "one domain cut off",
        load: 0.35,
        steps: || vec![(500, Step::Cut("a"))],
        after: || vec![Step::Heal],
        rest_ms: 3_000,
    },
    Condition {
        name: "platform away",
        steps: || vec![(0, Step::Platform(PlatformFaults { down: true, ..Default::default() }))],
        after: || vec![Step::Platform(PlatformFaults::default())],
        ..CALM
    },
    Condition {
        name: "one instance paused and woken",
        load: 0.35,
        steps: || vec![(500, Step::Signal("a-0", "STOP")), (3_500, Step::Signal("a-0", "CONT"))],
        rest_ms: 3_000,
        ..CALM
    },
    Condition {
        name: "connections of one upstream silent",
        steps: || vec![(500, Step::Upstream("search-0-0", faults(|f| f.silent = true)))],
        after: mend,
        ..CALM
    },
    Condition {
        name: "a straggler and a killed replica",
        load: 0.35,
        steps: || vec![(500, slow()), (500, Step::KillUpstream("search-1-0"))],
        after: || vec![Step::RestartUpstream("search-1-0"), mend().remove(0)],
        rest_ms: 2_000,
    },
    Condition {
        name: "a domain leaves and returns",
        load: 0.35,
        steps: || vec![(500, Step::Domain("a", true)), (3_000, Step::Domain("a", false))],
        rest_ms: 2_000,
        ..CALM
    },
    Condition { name: "load at 100% of the slots", load: 1.0, rest_ms: 1_000, ..CALM },
    Condition { name: "load at 200% of the slots", load: 2.0, rest_ms: 1_000, ..CALM },
];

#[derive(Serialize)]
struct Row {
    user: &'static str,
    condition: &'static str,
    run: u64,
    offered: f64,
    report: Report,
    /// Upstream work beyond one run for each shard of each query sent, as a share.
    added_load: f64,
    /// Hedges and retries after failures, as a share of all attempts.
    extra: f64,
    /// Whole answers a second.
    goodput: f64,
    /// Requests that came to cold upstreams above what they bear.
    over_cold: u64,
    peak: usize,
    platform_calls_s: f64,
    control_bytes_s: f64,
    processor_ms_per_query: f64,
    processor_share: f64,
}

fn rig_options(user: &User, extra: &[String]) -> RigOptions {
    let services =
        user.services.iter().map(|(name, shards, replicas, connections, connect_ms)| ServiceSpec {
            name,
            shards: *shards,
            replicas: *replicas,
            prefer: user.prefer,
            bear: Capacity {
                slots: SLOTS as u32,
                connections: *connections as u32,
                ..Default::default()
            },
            upstream: UpstreamOptions {
                slots: SLOTS,
                connections: *connections,
                connect_ms: *connect_ms,
                service_us: SERVICE_US,
                ..Default::default()
            },
        });
    RigOptions {
        domains: user.domains.to_vec(),
        instances_per_domain: user.per_domain,
        services: services.collect(),
        policy: Policy { soft_ms: 250, hard_ms: 1_000, ..Default::default() },
        flags: extra.to_vec(),
        ..Default::default()
    }
}

struct Counts {
    processor: f64,
    control: f64,
    attempts: f64,
    extra: f64,
    calls: u64,
    at: Instant,
}

async fn counts(rig: &Rig) -> Counts {
    let mut counts = Counts {
        processor: 0.0,
        control: 0.0,
        attempts: 0.0,
        extra: 0.0,
        calls: 0,
        at: Instant::now(),
    };
    for p in rig.instances.values() {
        counts.processor += p.processor_seconds();
        counts.control += p.counter("tamarackdeck_link_bytes").await;
        counts.attempts += p.counter("tamarackdeck_sends_total").await;
        counts.extra += p.counter("tamarackdeck_extra_arrivals_total").await;
    }
    counts.calls = rig.platform.calls().values().sum();
    counts
}

struct Measure {
    daemon: PathBuf,
    seconds: u64,
    only: Option<String>,
    extra: Vec<String>,
    rows: Vec<Row>,
}

impl Measure {
    async fn deployment(&mut self, user: &'static User, run: u64) -> Result<()> {
        let mut rig = Rig::start(&self.daemon, rig_options(user, &self.extra)).await?;
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        rig.wait_settled(Duration::from_secs(40)).await?;
        rig.wait_serving(Duration::from_secs(10)).await?;
        let balancer = Arc::new(Balancer::start(rig.backends()).await);
        let shards = user.services[0].1;
        let full = SLOTS as f64 / MEAN_S * user.services[0].2 as f64;
        let load = |share: f64, seconds: f64, seed: u64| LoadOptions {
            path: "/v1/query/search".into(),
            rate: full * share,
            length: Duration::from_secs_f64(seconds),
            deadline_ms: DEADLINE_MS,
            seed,
        };
        let warm_up = Scenario { load: Some(load(0.4, 6.0, 99 + run)), ..Default::default() };
        drive(&mut rig, &balancer, &warm_up).await?;
        for condition in CONDITIONS {
            if self.only.as_ref().is_some_and(|o| !condition.name.contains(o.as_str())) {
                continue;
            }
            let steps = (condition.steps)()
                .into_iter()
                .map(|(ms, s)| (Duration::from_millis(ms), s))
                .collect();
            let load = load(condition.load, self.seconds as f64, run);
            let offered = load.rate;
            let scenario = Scenario { load: Some(load), steps, ..Default::default() };
            let before = counts(&rig).await;
            let (report, _) = drive(&mut rig, &balancer, &scenario).await?;
            let after = counts(&rig).await;
            let report = report.context("no report")?;
            let window = Window {
                user: user.name,
                condition: condition.name,
                run,
                offered,
                shards,
                before,
                after,
            };
            let row = row(&rig, &window, report);
            print_row(&row);
            self.rows.push(row);
            for step in (condition.after)() {
                act(&mut rig, &step).await?;
            }
            tokio::time::sleep(Duration::from_millis(condition.rest_ms)).await;
        }
        self.ticket(&rig, user).await
    }

    /// Measures the time from a ticket's acceptance to its being in force everywhere.
    async fn ticket(&self, rig: &Rig, user: &User) -> Result<()> {
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

/// What one condition was.
struct Window {
    user: &'static str,
    condition: &'static str,
    run: u64,
    offered: f64,
    shards: usize,
    before: Counts,
    after: Counts,
}

fn row(rig: &Rig, w: &Window, report: Report) -> Row {
    let (before, after) = (&w.before, &w.after);
    let stats: Vec<_> = rig.upstreams.values().map(|u| u.stats()).collect();
    let started: u64 = stats.iter().map(|s| s.started).sum();
    let needed = (report.coverage * report.answered as f64 * w.shards as f64).max(1.0);
    let secs = after.at.duration_since(before.at).as_secs_f64();
    let instances = rig.instances.len() as f64;
    let processor = after.processor - before.processor;
    Row {
        user: w.user,
        condition: w.condition,
        run: w.run,
        offered: w.offered,
        added_load: started as f64 / needed - 1.0,
        extra: (after.extra - before.extra) / (after.attempts - before.attempts).max(1.0),
        goodput: report.whole as f64 / secs,
        over_cold: stats.iter().map(|s| s.over_cold).sum(),
        peak: stats.iter().map(|s| s.peak).max().unwrap_or(0),
        platform_calls_s: (after.calls - before.calls) as f64 / secs,
        control_bytes_s: (after.control - before.control) / secs / instances,
        processor_ms_per_query: processor * 1e3 / report.sent.max(1) as f64,
        processor_share: processor / secs / instances,
        report,
    }
}

fn print_row(r: &Row) {
    let refusals: Vec<_> = r.report.refusals.iter().map(|(k, n)| format!("{k} {n}")).collect();
    println!(
        "| {} | {} | {:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {:.4} | {:.4} | {:+.3} | {:.3} | {:.0} | {} | {} | {} | {:.1} | {:.0} | {:.2} |",
        r.user,
        r.condition,
        r.offered,
        r.report.p50_ms,
        r.report.p99_ms,
        r.report.p999_ms,
        r.report.max_ms,
        r.report.coverage,
        r.report.whole as f64 / r.report.sent.max(1) as f64,
        r.added_load,
        r.extra,
        r.goodput,
        if refusals.is_empty() { "-".into() } else { refusals.join(", ") },
        r.over_cold,
        r.peak,
        r.platform_calls_s,
        r.control_bytes_s,
        r.processor_share,
    );
}

fn head() {
    println!(
        "| user | condition | queries/s | p50 ms | p99 ms | p99.9 ms | max ms | coverage | whole | added load | extra | whole/s | refusals | over cold | peak | platform calls/s | link B/s | cores |"
    );
    println!("|{}", "---|".repeat(18));
}

/// usage: measure DIR [--user NAME] [--only CONDITION] [--runs N]
/// [--seconds N] [--out FILE] [-- FLAGS OF THE DAEMON]
#[tokio::main]
async fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let dir = args.next().context("usage: measure DIRECTORY-OF-BINARIES")?;
    let (mut user, mut runs, mut out) = (None, 1, None);
    let daemon = Path::new(&dir).join("tamarackd");
    let mut measure =
        Measure { daemon, seconds: 4, only: None, extra: Vec::new(), rows: Vec::new() };
    while let Some(arg) = args.next() {
        if arg == "--" {
            measure.extra = args.by_ref().collect();
            break;
        }
        let value = args.next().with_context(|| format!("{arg} needs a value"))?;
        match arg.as_str() {
            "--user" => user = Some(value),
            "--only" => measure.only = Some(value),
            "--runs" => runs = value.parse()?,
            "--seconds" => measure.seconds = value.parse()?,
            "--out" => out = Some(value),
            _ => bail!("no flag {arg}"),
        }
    }
    head();
    for run in 0..runs {
        for u in USERS.iter().filter(|u| user.as_ref().is_none_or(|n| n == u.name)) {
            measure.deployment(u, run).await?;
        }
    }
    if let Some(out) = out {
        std::fs::write(out, serde_json::to_vec_pretty(&measure.rows)?)?;
    }
    Ok(())
}
