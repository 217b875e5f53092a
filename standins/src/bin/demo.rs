//! The demonstration: two failure domains of two instances each, on loopback.

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

/// Runs `tamarackctl` and prints what it prints.
fn ctl(binary: &Path, rig: &Rig, args: &[&str]) -> Result<()> {
    let at: Vec<String> = rig.backends().iter().map(|b| b.operators.to_string()).collect();
    println!("$ tamarackctl {}", args.join(" "));
    let out = Command::new(binary).arg("--at").arg(at.join(",")).args(args).output()?;
    print!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    ensure!(out.status.success(), "tamarackctl {args:?} failed");
    Ok(())
}

async fn ask(balancer: &Balancer, n: u64) -> Result<QueryAnswer> {
    let (status, body) = balancer
        .send(n, "/v1/query/search", &[], Bytes::from("cable run"))
        .await
        .context("no answer")?;
    ensure!(status == 200, "{status}: {}", String::from_utf8_lossy(&body));
    Ok(serde_json::from_slice(&body)?)
}

/// Asks until the answer covers `want` shards: a killed upstream is first found out, and then ejected.
async fn ask_until(balancer: &Balancer, want: usize) -> Result<QueryAnswer> {
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        let answer = ask(balancer, 0).await?;
        if answer.coverage.answered == want {
            return Ok(answer);
        }
        ensure!(Instant::now() < end, "{:?}", answer.coverage);
    }
}

fn show(what: &str, answer: &QueryAnswer) {
    let c = &answer.coverage;
    let missing: Vec<_> =
        c.missing.iter().map(|m| format!("{} ({:?})", m.shard, m.reason)).collect();
    println!(
        "{what}: snapshot {}, {} of {} shards {}",
        answer.snapshot,
        c.answered,
        c.total,
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
    tokio::time::sleep(Duration::from_millis(2_500)).await; // the instances find each other
    rig.wait_serving(Duration::from_secs(10)).await?;
    ctl(&control, &rig, &["status"])?;
    let balancer = Balancer::start(rig.backends()).await;
    for n in 0..4 {
        show(&format!("query through instance {n}"), &ask(&balancer, n).await?);
    }
    let key = [("idempotency-key", "van-7:monday".to_owned())];
    for n in 0..2 {
        let sent = balancer.send(n, "/v1/request/booking", &key, Bytes::from("book van 7")).await;
        let (status, body) = sent.context("no answer")?;
        println!("booking through instance {n}: {status} {}", String::from_utf8_lossy(&body));
    }
    let runs: u64 = rig.upstreams.values().map(|u| u.stats().bodies.values().sum::<u64>()).sum();
    ensure!(runs == 1, "the booking ran {runs} times");
    println!("the booking ran once");
    rig.upstreams.get_mut("search-0-0").context("no upstream")?.kill();
    let answer = ask_until(&balancer, 6).await?;
    show("one replica of s0 killed", &answer);
    rig.upstreams.get_mut("search-0-1").context("no upstream")?.kill();
    let answer = ask_until(&balancer, 5).await?;
    ensure!(answer.coverage.missing[0].shard == "s0", "another shard is missing");
    show("both replicas of s0 killed", &answer);
    ctl(&control, &rig, &["domain", "out", "south"])?;
    ctl(&control, &rig, &["domain", "in", "south"])?;
    for p in rig.instances.values() {
        p.signal("TERM")?;
    }
    for p in rig.instances.values_mut() {
        let code = p.wait(Duration::from_secs(15)).await?;
        ensure!(code == 0, "{} exited with {code}", p.name);
    }
    println!("every instance stopped with exit code 0");
    Ok(())
}
