//! A demonstration with two failure domains of two instances each, on loopback.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use standins::load::Balancer;
use standins::rig::{Rig, RigOptions, ServiceSpec};
use standins::upstream::UpstreamOptions;
use tamarackdeck::{Capacity, Preference, QueryAnswer};

fn service(name: &'static str, shards: usize, replicas: usize) -> ServiceSpec {
    ServiceSpec {
        name,
        shards,
        replicas,
        prefer: Preference::Coverage,
        bear: Capacity::default(),
        upstream: UpstreamOptions::default(),
    }
}

/// Runs `tamarackctl` and prints its output.
fn run_tamarackctl(binary: &Path, rig: &Rig, args: &[&str]) -> Result<()> {
    let addrs: Vec<String> =
        rig.backends().iter().map(|backend| backend.operators_addr.to_string()).collect();
    println!("$ tamarackctl {}", args.join(" "));
    let out = Command::new(binary).arg("--at").arg(addrs.join(",")).args(args).output()?;
    print!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    ensure!(out.status.success(), "tamarackctl {args:?} failed");
    Ok(())
}

async fn query(balancer: &Balancer, number: u64) -> Result<QueryAnswer> {
    let (status, body) = balancer
        .send(number, "/v1/query/search", &[], Bytes::from("cable run"))
        .await
        .context("no answer")?;
    ensure!(status == 200, "{status}: {}", String::from_utf8_lossy(&body));
    Ok(serde_json::from_slice(&body)?)
}

/// Repeats a query until the answer covers `expected` shards, since a killed upstream is ejected only after
/// its failures have been detected.
async fn query_until_covered(balancer: &Balancer, expected: usize) -> Result<QueryAnswer> {
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        let answer = query(balancer, 0).await?;
        if answer.coverage.answered == expected {
            return Ok(answer);
        }
        ensure!(Instant::now() < deadline, "{:?}", answer.coverage);
    }
}

fn print_answer(label: &str, answer: &QueryAnswer) {
    let coverage = &answer.coverage;
    let missing: Vec<_> = coverage
        .missing
        .iter()
        .map(|missing| format!("{} ({:?})", missing.shard, missing.reason))
        .collect();
    println!(
        "{label}: snapshot {}, {} of {} shards {}",
        answer.snapshot,
        coverage.answered,
        coverage.total,
        missing.join(", ")
    );
}

#[tokio::main]
async fn main() -> Result<()> {
    let dir = PathBuf::from(std::env::args().nth(1).context("usage: demo DIRECTORY-OF-BINARIES")?);
    let (daemon, control) = (dir.join("tamarackd"), dir.join("tamarackctl"));
    let opts = RigOptions {
        services: vec![service("search", 6, 2), service("booking", 2, 1)],
        ..Default::default()
    };
    println!("starting 2 failure domains of 2 instances each, with a platform and 14 upstreams");
    let mut rig = Rig::start(&daemon, opts).await?;
    println!("ticket 1 is in force");
    tokio::time::sleep(Duration::from_millis(2_500)).await; // time to discover peers
    rig.wait_serving(Duration::from_secs(10)).await?;
    run_tamarackctl(&control, &rig, &["status"])?;
    let balancer = Balancer::start(rig.backends()).await;
    for number in 0..4 {
        print_answer(&format!("query through instance {number}"), &query(&balancer, number).await?);
    }
    let key = [("idempotency-key", "van-7:monday".to_owned())];
    for number in 0..2 {
        let sent =
            balancer.send(number, "/v1/request/booking", &key, Bytes::from("book van 7")).await;
        let (status, body) = sent.context("no answer")?;
        println!("booking through instance {number}: {status} {}", String::from_utf8_lossy(&body));
    }
    let runs: u64 = rig.upstreams.values().map(|u| u.stats().bodies.values().sum::<u64>()).sum();
    ensure!(runs == 1, "the booking ran {runs} times");
    println!("the booking ran once");
    rig.upstreams.get_mut("search-0-0").context("no upstream")?.kill();
    let answer = query_until_covered(&balancer, 6).await?;
    print_answer("one replica of s0 killed", &answer);
    rig.upstreams.get_mut("search-0-1").context("no upstream")?.kill();
    let answer = query_until_covered(&balancer, 5).await?;
    ensure!(answer.coverage.missing[0].shard == "s0", "the missing shard is not s0");
    print_answer("both replicas of s0 killed", &answer);
    run_tamarackctl(&control, &rig, &["domain", "out", "south"])?;
    run_tamarackctl(&control, &rig, &["domain", "in", "south"])?;
    for process in rig.instances.values() {
        process.signal("TERM")?;
    }
    for process in rig.instances.values_mut() {
        let code = process.wait(Duration::from_secs(15)).await?;
        ensure!(code == 0, "{} exited with {code}", process.name);
    }
    println!("every instance stopped with exit code 0");
    Ok(())
}
