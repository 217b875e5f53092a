//! Measures the slopes of the capacity page: the cost to an instance of one more shard, query, instance or
//! upstream.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use standins::load::{Balancer, LoadOptions};
use standins::rig::{Rig, RigOptions, ServiceSpec};
use standins::scenario::{Scenario, run_load_and_steps};
use standins::upstream::UpstreamOptions;
use tamarackdeck::{Capacity, Preference};

/// One measured deployment: the quantity that varies, its value, and the resulting size and load.
struct Size {
    quantity: &'static str,
    value: f64,
    instances_per_domain: usize,
    shards: usize,
    rate: f64,
}

const fn size(
    quantity: &'static str,
    value: f64,
    instances_per_domain: usize,
    shards: usize,
    rate: f64,
) -> Size {
    Size { quantity, value, instances_per_domain, shards, rate }
}

const SIZES: &[Size] = &[
    size("shards per query", 20.0, 2, 20, 100.0),
    size("shards per query", 40.0, 2, 40, 100.0),
    size("shards per query", 80.0, 2, 80, 100.0),
    size("queries a second", 50.0, 2, 20, 50.0),
    size("queries a second", 100.0, 2, 20, 100.0),
    size("queries a second", 200.0, 2, 20, 200.0),
    size("instances a domain", 2.0, 2, 20, 0.0),
    size("instances a domain", 4.0, 4, 20, 0.0),
    size("instances a domain", 8.0, 8, 20, 0.0),
    size("upstreams", 40.0, 2, 20, 0.0),
    size("upstreams", 160.0, 2, 80, 0.0),
    size("upstreams", 320.0, 2, 160, 0.0),
];

/// Duration of each measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(4);

struct Counters {
    cpu_s: f64,
    link_bytes: f64,
    memory_mb: f64,
    platform_calls: f64,
    read_at: Instant,
}

async fn read_counters(rig: &Rig) -> Counters {
    let mut counters = Counters {
        cpu_s: 0.0,
        link_bytes: 0.0,
        memory_mb: 0.0,
        platform_calls: rig.platform.call_counts().values().sum::<u64>() as f64,
        read_at: Instant::now(),
    };
    for process in rig.instances.values() {
        counters.cpu_s += process.cpu_seconds();
        counters.link_bytes += process.counter_total("tamarackdeck_link_bytes").await;
        counters.memory_mb += process.memory_mb();
    }
    counters
}

async fn measure(daemon: &Path, size: &Size) -> Result<()> {
    let service = ServiceSpec {
        name: "search",
        shards: size.shards,
        replicas: 2,
        prefer: Preference::Tail,
        bear: Capacity::default(),
        upstream: UpstreamOptions { service_us: 3_000, ..Default::default() },
    };
    let opts = RigOptions {
        instances_per_domain: size.instances_per_domain,
        services: vec![service],
        ..Default::default()
    };
    let mut rig = Rig::start(daemon, opts).await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    rig.wait_membership(Duration::from_secs(90)).await?;
    rig.wait_serving(Duration::from_secs(10)).await?;
    let balancer = Arc::new(Balancer::start(rig.backends()).await);
    let load = |duration| LoadOptions {
        path: "/v1/query/search".into(),
        rate: size.rate,
        duration,
        deadline_ms: 900,
        seed: 5,
    };
    if size.rate > 0.0 {
        run_load_and_steps(
            &mut rig,
            &balancer,
            &Scenario { load: Some(load(Duration::from_secs(3))), ..Default::default() },
        )
        .await?;
    }
    let before = read_counters(&rig).await;
    let mut sent = 0;
    if size.rate > 0.0 {
        let (report, _) = run_load_and_steps(
            &mut rig,
            &balancer,
            &Scenario { load: Some(load(MEASUREMENT_DURATION)), ..Default::default() },
        )
        .await?;
        sent = report.context("no report")?.sent;
    } else {
        tokio::time::sleep(MEASUREMENT_DURATION).await;
    }
    let after = read_counters(&rig).await;
    let elapsed_s = after.read_at.duration_since(before.read_at).as_secs_f64();
    let instances = rig.instances.len() as f64;
    let cpu_s = after.cpu_s - before.cpu_s;
    println!(
        "| {} | {} | {} | {} | {:.4} | {:.3} | {:.0} | {:.1} | {:.2} |",
        size.quantity,
        size.value,
        instances,
        sent,
        cpu_s / elapsed_s / instances,
        if sent > 0 { cpu_s * 1e3 / sent as f64 } else { 0.0 },
        (after.link_bytes - before.link_bytes) / elapsed_s / instances,
        after.memory_mb / instances,
        (after.platform_calls - before.platform_calls) / elapsed_s,
    );
    Ok(())
}

#[tokio::main]
async fn main() -> Result<()> {
    let dir = std::env::args().nth(1).context("usage: slopes DIRECTORY-OF-BINARIES [WHAT]")?;
    let filter = std::env::args().nth(2).unwrap_or_default();
    let daemon = Path::new(&dir).join("tamarackd");
    println!(
        "| what grows | to | instances | queries | cores each | processor ms a query | link B/s each | MB each | platform calls/s |"
    );
    println!("|{}", "---|".repeat(9));
    for size in SIZES.iter().filter(|size| size.quantity.contains(&filter)) {
        measure(&daemon, size).await?;
    }
    Ok(())
}
