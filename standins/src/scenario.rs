//! Scenarios: a deployment under load, and faults at given times. Tests and measurements share them.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use indexmap::IndexMap;
use tamarackdeck::{Domain, Ticket};

use crate::load::{self, Balancer, LoadOptions, Report};
use crate::platform::PlatformFaults;
use crate::requests::{self, ToldByBody};
use crate::rig::{Rig, RigOptions, submit_via};
use crate::upstream::{UpstreamFaults, UpstreamStats};

/// Something that happens.
#[derive(Clone, Debug)]
pub enum Step {
    /// An upstream is killed, started again, or turns cold without warning.
    KillUpstream(&'static str),
    RestartUpstream(&'static str),
    ColdUpstream(&'static str),
    /// An upstream's faults are set; `*` means every upstream.
    Upstream(&'static str, UpstreamFaults),
    /// Every upstream of a failure domain starts again, cold.
    RestartDomain(&'static str),
    /// Upstreams whose names end so hold these snapshots.
    Hold(&'static str, u64, u64),
    /// An instance gets a signal, is killed, or starts.
    Signal(&'static str, &'static str),
    Kill(&'static str),
    Start(&'static str, &'static str),
    /// The instance list follows what runs.
    Relist,
    /// Waits until an instance has stopped by itself; its exit code must be 0.
    Stopped(&'static str),
    Platform(PlatformFaults),
    /// A failure domain is cut off from the rest, or also from the platform.
    Cut(&'static str),
    CutFromPlatform(&'static str),
    Heal,
    /// A failure domain is taken out or brought back by ticket.
    Domain(&'static str, bool),
    /// An upstream is leaving by ticket.
    Leaving(&'static str),
    /// Two operators submit at once through two instances, with one number: one must win.
    Race,
    /// A ticket that must be answered with this status.
    Ticket(u16),
    /// All running instances must have this version in force within the time.
    InForce(u64, Duration),
    /// Every instance must serve within the time.
    Serving(Duration),
}

/// A scenario.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    pub rig: RigOptions,
    pub load: Option<LoadOptions>,
    /// Service and rate of non-idempotent requests.
    pub requests: Option<(&'static str, f64)>,
    /// Time before the load in which upstreams are warmed up by the same load.
    pub warm_up: Duration,
    pub steps: Vec<(Duration, Step)>,
}

/// What was seen.
pub struct Seen {
    pub rig: Rig,
    pub report: Option<Report>,
    pub told: ToldByBody,
    pub upstreams: IndexMap<String, UpstreamStats>,
    /// How long the load went on.
    pub took: Duration,
}

/// Extra arrivals of a shard beyond the share in any ten seconds, from all instances.
const FIXED_EXTRAS: f64 = 20.0;

impl Seen {
    /// Runs by body over all upstreams.
    pub fn runs(&self) -> IndexMap<String, u64> {
        let mut all = IndexMap::new();
        for (body, n) in self.upstreams.values().flat_map(|u| &u.bodies) {
            *all.entry(body.clone()).or_default() += n;
        }
        all
    }

    /// Checks the arrivals beyond the first of each request against the services' budgets.
    fn extra_faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for spec in &self.rig.opts.services {
            let prefix = format!("{}-", spec.name);
            let of = self.upstreams.iter().filter(|(name, _)| name.starts_with(&prefix));
            let mut arrivals: IndexMap<&str, u64> = IndexMap::new();
            for (label, n) in of.flat_map(|(_, u)| &u.arrivals) {
                *arrivals.entry(label).or_default() += n;
            }
            let extra: u64 = arrivals.values().map(|n| n - 1).sum();
            let share = self.rig.opts.policy.extra_share * arrivals.len() as f64;
            let windows = (self.took.as_secs_f64() / 10.0).ceil() + 1.0;
            let fixed = FIXED_EXTRAS * spec.shards as f64 * windows;
            if extra as f64 > share + fixed {
                faults.push(format!("{extra} extra arrivals at {}, with {share:.0}", spec.name));
            }
        }
        faults
    }

    /// What must hold in every scenario: checks it and returns what does not.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = requests::faults(&self.told, &self.runs());
        for (name, up) in &self.upstreams {
            if up.over_cold > 0 {
                faults.push(format!(
                    "{name} got {} requests above what it bears when cold",
                    up.over_cold
                ));
            }
        }
        faults.extend(self.extra_faults());
        if let Some(report) = &self.report {
            let wrong = report.wrong + report.refusals.get("garbled").copied().unwrap_or(0);
            if wrong > 0 {
                faults.push(format!("{wrong} wrong answers"));
            }
        }
        faults
    }
}

/// Runs a scenario.
pub async fn run(binary: &Path, scenario: Scenario) -> Result<Seen> {
    let mut rig = Rig::start(binary, scenario.rig.clone()).await?;
    if rig.opts.instances_per_domain > 1 {
        tokio::time::sleep(Duration::from_millis(3_000)).await; // the others find each other
        rig.wait_settled(Duration::from_secs(15)).await?;
    }
    rig.wait_serving(Duration::from_secs(10)).await?;
    let balancer = Arc::new(Balancer::start(rig.backends()).await);
    if let Some(load) = scenario.load.clone().filter(|_| !scenario.warm_up.is_zero()) {
        load::run(
            balancer.clone(),
            LoadOptions { length: scenario.warm_up, seed: load.seed + 1, ..load },
        )
        .await;
    }
    let start = tokio::time::Instant::now();
    let (report, told) = drive(&mut rig, &balancer, &scenario).await?;
    let took = start.elapsed();
    let upstreams = rig.upstreams.iter().map(|(n, u)| (n.clone(), u.stats())).collect();
    Ok(Seen { rig, report, told, upstreams, took })
}

/// Puts load on a deployment that runs, while the scenario's steps happen.
pub async fn drive(
    rig: &mut Rig,
    balancer: &Arc<Balancer>,
    scenario: &Scenario,
) -> Result<(Option<Report>, ToldByBody)> {
    rig.upstreams.values().for_each(|u| u.reset_stats());
    let length = scenario.load.as_ref().map_or(Duration::from_secs(3), |l| l.length);
    let queries = scenario.load.clone().map(|l| tokio::spawn(load::run(balancer.clone(), l)));
    let requests = scenario
        .requests
        .map(|(s, rate)| tokio::spawn(requests::run(balancer.clone(), s, rate, length)));
    let start = tokio::time::Instant::now();
    for (at, step) in &scenario.steps {
        tokio::time::sleep_until(start + *at).await;
        act(rig, step).await.with_context(|| format!("{step:?}"))?;
    }
    let report = match queries {
        Some(task) => Some(task.await?),
        None => None,
    };
    let told = match requests {
        Some(task) => task.await?,
        None => ToldByBody::new(),
    };
    Ok((report, told))
}

/// Lets one step happen.
pub async fn act(rig: &mut Rig, step: &Step) -> Result<()> {
    match step {
        Step::KillUpstream(name) => upstream(rig, name)?.kill(),
        Step::RestartUpstream(name) => upstream(rig, name)?.restart().await?,
        Step::ColdUpstream(name) => upstream(rig, name)?.turn_cold(),
        Step::Upstream("*", faults) => rig.upstreams.values().for_each(|u| u.set(faults.clone())),
        Step::Upstream(name, faults) => upstream(rig, name)?.set(faults.clone()),
        Step::RestartDomain(domain) => {
            for name in rig.upstreams_in(domain) {
                upstream(rig, &name)?.restart().await?;
            }
        }
        Step::Hold(end, oldest, newest) => {
            let ups = rig.upstreams.iter().filter(|(n, _)| n.ends_with(end));
            ups.for_each(|(_, u)| u.hold(*oldest, *newest));
        }
        Step::Signal(name, signal) => instance(rig, name)?.signal(signal)?,
        Step::Kill(name) => instance(rig, name)?.kill(),
        Step::Start(name, domain) => rig.add_instance(name, domain)?,
        Step::Relist => rig.relist(false),
        Step::Stopped(name) => {
            let code = instance(rig, name)?.wait(Duration::from_secs(25)).await?;
            ensure!(code == 0, "exit code {code}");
        }
        Step::Platform(faults) => rig.platform.set_faults(faults.clone()),
        Step::Cut(domain) => rig.cut(domain, false).await?,
        Step::CutFromPlatform(domain) => rig.cut(domain, true).await?,
        Step::Heal => rig.heal().await?,
        Step::Domain(name, out) => {
            let domains = [(name.to_string(), Domain { evacuated: *out })].into_iter().collect();
            submit(rig, |t| t.domains = domains).await?;
        }
        Step::Leaving(name) => {
            let mut up =
                rig.first_ticket().upstreams.get(*name).cloned().context("no such upstream")?;
            up.leaving = true;
            submit(rig, |t| t.upstreams = [(name.to_string(), up)].into_iter().collect()).await?;
        }
        Step::Race => race(rig).await?,
        Step::Ticket(want) => {
            let ticket = next_ticket(rig).await?;
            let (status, body) = rig.submit(&ticket).await?;
            ensure!(status == *want, "{status}: {body}");
        }
        Step::InForce(version, limit) => rig.wait_version(*version, *limit).await?,
        Step::Serving(limit) => rig.wait_serving(*limit).await?,
    }
    Ok(())
}

fn upstream<'a>(rig: &'a mut Rig, name: &str) -> Result<&'a mut crate::upstream::UpstreamStandIn> {
    rig.upstreams.get_mut(name).context("no such upstream")
}

fn instance<'a>(rig: &'a mut Rig, name: &str) -> Result<&'a mut crate::rig::Process> {
    rig.instances.get_mut(name).context("no such instance")
}

async fn next_ticket(rig: &Rig) -> Result<Ticket> {
    let version = rig.newest_version().await?;
    Ok(Ticket { number: version + 1, base: version, note: "a step".into(), ..Default::default() })
}

async fn submit(rig: &Rig, change: impl FnOnce(&mut Ticket)) -> Result<()> {
    let mut ticket = next_ticket(rig).await?;
    change(&mut ticket);
    let (status, body) = rig.submit(&ticket).await?;
    ensure!(status == 200, "{status}: {body}");
    Ok(())
}

async fn race(rig: &Rig) -> Result<()> {
    let ticket = next_ticket(rig).await?;
    let backends = rig.backends();
    let (a, b) = (backends[0].operators, backends[backends.len() - 1].operators);
    let (a, b) = tokio::join!(submit_via(a, &ticket), submit_via(b, &ticket));
    let ((a, why_a), (b, why_b)) = (a?, b?);
    ensure!(a.min(b) == 200 && a.max(b) == 409, "{a} {why_a}; {b} {why_b}");
    let why = if a == 409 { why_a } else { why_b };
    ensure!(why.contains("was already accepted"), "the other is told why: {why}");
    Ok(())
}
