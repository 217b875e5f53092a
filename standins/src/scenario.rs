//! Scenarios: a deployment under load with faults injected at given times, for tests and measurements.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use indexmap::IndexMap;
use tamarackdeck::{Domain, Ticket};

use crate::load::{self, Balancer, LoadOptions, Report};
use crate::platform::PlatformFaults;
use crate::requests::{self, OutcomesByBody};
use crate::rig::{Rig, RigOptions, submit_to};
use crate::upstream::{UpstreamFaults, UpstreamStats};

/// An action of a scenario: a fault, an operator's request, or a condition to wait for.
#[derive(Clone, Debug)]
pub enum Step {
    /// Kills an upstream, restarts it cold, or makes it cold while its connections stay open.
    KillUpstream(&'static str),
    RestartUpstream(&'static str),
    MakeUpstreamCold(&'static str),
    /// Sets the faults of an upstream; `*` selects every upstream.
    SetUpstreamFaults(&'static str, UpstreamFaults),
    /// Restarts every upstream of a failure domain, cold.
    RestartDomain(&'static str),
    /// Sets the oldest and newest snapshot held by the upstreams whose names have this suffix.
    SetHeldSnapshots(&'static str, u64, u64),
    /// Sends an instance a signal, kills it, or starts it in a failure domain.
    SignalInstance(&'static str, &'static str),
    KillInstance(&'static str),
    StartInstance(&'static str, &'static str),
    /// Updates the platform's instance list to the running processes.
    PublishInstanceList,
    /// Waits until an instance exits by itself; its exit code must be 0.
    WaitForExit(&'static str),
    SetPlatformFaults(PlatformFaults),
    /// Copies the platform's objects; `RestorePlatform` replaces them by the last copy.
    CopyPlatform,
    RestorePlatform,
    /// Sends a non-idempotent request with this text as its body and its idempotency key to the service of such requests,
    /// and sends it again through another instance after the time.
    SendWithKey(&'static str, Duration),
    /// Disconnects a failure domain from the other domains; `IsolateDomain` from the platform as well.
    PartitionDomain(&'static str),
    IsolateDomain(&'static str),
    /// Ends all partitions.
    HealPartitions,
    /// Takes a failure domain out by ticket (`true`) or brings it back (`false`).
    SetDomainOut(&'static str, bool),
    /// Marks an upstream as leaving by ticket.
    SetUpstreamLeaving(&'static str),
    /// Submits the same ticket number through two instances at once; exactly one must be accepted.
    SubmitConcurrently,
    /// Submits a ticket that must be answered with this HTTP status.
    SubmitTicket(u16),
    /// Waits until all running instances have this configuration version in force, within the time limit.
    WaitForVersion(u64, Duration),
    /// Waits until every running instance serves, within the time limit.
    WaitForServing(Duration),
}

/// A deployment, its load and the steps executed during the load.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    pub rig: RigOptions,
    pub load: Option<LoadOptions>,
    /// Service and rate, per second, of non-idempotent requests.
    pub requests: Option<(&'static str, f64)>,
    /// Duration of the same load before counting starts, to warm the upstreams up.
    pub warm_up: Duration,
    pub steps: Vec<(Duration, Step)>,
}

/// The outcome of a scenario, with the deployment still running.
pub struct ScenarioResult {
    pub rig: Rig,
    pub report: Option<Report>,
    pub outcomes: OutcomesByBody,
    pub upstreams: IndexMap<String, UpstreamStats>,
    /// Duration of the load and the steps.
    pub load_duration: Duration,
    /// Time for which the machine stood still during the load and the steps.
    pub stood_still: Duration,
}

/// Extra arrivals allowed per shard and ten seconds, from all instances, in addition to the share of requests.
const FIXED_EXTRA_ARRIVALS: f64 = 20.0;

impl ScenarioResult {
    /// Returns the runs by request body, summed over all upstreams.
    pub fn runs(&self) -> IndexMap<String, u64> {
        let mut all = IndexMap::new();
        for (body, count) in self.upstreams.values().flat_map(|upstream| &upstream.bodies) {
            *all.entry(body.clone()).or_default() += count;
        }
        all
    }

    /// Checks the extra arrivals, those beyond the first for each request and shard, against the
    /// services' budgets.
    fn extra_arrival_violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for spec in &self.rig.opts.services {
            let prefix = format!("{}-", spec.name);
            let of_service = self.upstreams.iter().filter(|(name, _)| name.starts_with(&prefix));
            let mut arrivals: IndexMap<&str, u64> = IndexMap::new();
            for (label, count) in of_service.flat_map(|(_, upstream)| &upstream.arrivals) {
                *arrivals.entry(label).or_default() += count;
            }
            let extra: u64 = arrivals.values().map(|count| count - 1).sum();
            let share = self.rig.opts.policy.extra_share * arrivals.len() as f64;
            let windows = (self.load_duration.as_secs_f64() / 10.0).ceil() + 1.0;
            let fixed = FIXED_EXTRA_ARRIVALS * spec.shards as f64 * windows;
            if extra as f64 > share + fixed {
                violations.push(format!(
                    "{extra} extra arrivals at {}, limit {share:.0} + {fixed:.0}",
                    spec.name
                ));
            }
        }
        violations
    }

    /// Checks the invariants of every scenario and describes each violation.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = requests::violations(&self.outcomes, &self.runs());
        for (name, upstream) in &self.upstreams {
            if upstream.over_cold > 0 {
                violations.push(format!(
                    "{name} received {} requests above its cold capacity",
                    upstream.over_cold
                ));
            }
        }
        violations.extend(self.extra_arrival_violations());
        if let Some(report) = &self.report {
            let wrong = report.wrong + report.refusals.get("garbled").copied().unwrap_or(0);
            if wrong > 0 {
                violations.push(format!("{wrong} wrong answers"));
            }
        }
        violations
    }
}

/// Starts a deployment, warms it up and runs the scenario on it.
pub async fn run(binary: &Path, scenario: Scenario) -> Result<ScenarioResult> {
    let mut rig = Rig::start(binary, scenario.rig.clone()).await?;
    if rig.opts.instances_per_domain > 1 {
        tokio::time::sleep(Duration::from_millis(3_000)).await; // time to discover peers
        rig.wait_membership(Duration::from_secs(15)).await?;
    }
    rig.wait_serving(Duration::from_secs(10)).await?;
    let balancer = Arc::new(Balancer::start(rig.backends()).await);
    if let Some(load) = scenario.load.clone().filter(|_| !scenario.warm_up.is_zero()) {
        load::run(
            balancer.clone(),
            LoadOptions { duration: scenario.warm_up, seed: load.seed + 1, ..load },
        )
        .await;
    }
    let start = Instant::now();
    let (report, outcomes) = run_load_and_steps(&mut rig, &balancer, &scenario).await?;
    let load_duration = start.elapsed();
    let upstreams =
        rig.upstreams.iter().map(|(name, upstream)| (name.clone(), upstream.stats())).collect();
    let stood_still = rig.standstills.total(start, Instant::now());
    Ok(ScenarioResult { rig, report, outcomes, upstreams, load_duration, stood_still })
}

/// Runs the scenario's load on a running deployment and executes its steps at their offsets.
pub async fn run_load_and_steps(
    rig: &mut Rig,
    balancer: &Arc<Balancer>,
    scenario: &Scenario,
) -> Result<(Option<Report>, OutcomesByBody)> {
    rig.upstreams.values().for_each(|upstream| upstream.reset_stats());
    let duration = scenario.load.as_ref().map_or(Duration::from_secs(3), |load| load.duration);
    let queries = scenario.load.clone().map(|load| tokio::spawn(load::run(balancer.clone(), load)));
    let requests = scenario.requests.map(|(service, rate)| {
        tokio::spawn(requests::run(balancer.clone(), service, rate, duration))
    });
    let start = tokio::time::Instant::now();
    let mut keyed = tokio::task::JoinSet::new();
    for (offset, step) in &scenario.steps {
        tokio::time::sleep_until(start + *offset).await;
        if let (Step::SendWithKey(text, pause), Some((service, _))) = (step, scenario.requests) {
            let (balancer, text, pause) = (balancer.clone(), *text, *pause);
            keyed.spawn(async move {
                (text.to_owned(), requests::send_twice(&balancer, service, text, pause).await)
            });
            continue;
        }
        execute_step(rig, step).await.with_context(|| format!("{step:?}"))?;
    }
    let report = match queries {
        Some(task) => Some(task.await?),
        None => None,
    };
    let mut outcomes = match requests {
        Some(task) => task.await?,
        None => OutcomesByBody::new(),
    };
    outcomes.extend(keyed.join_all().await);
    Ok((report, outcomes))
}

/// Executes one step.
pub async fn execute_step(rig: &mut Rig, step: &Step) -> Result<()> {
    match step {
        Step::KillUpstream(name) => upstream(rig, name)?.kill(),
        Step::RestartUpstream(name) => upstream(rig, name)?.restart().await?,
        Step::MakeUpstreamCold(name) => upstream(rig, name)?.make_cold(),
        Step::SetUpstreamFaults("*", faults) => {
            rig.upstreams.values().for_each(|upstream| upstream.set_faults(faults.clone()))
        }
        Step::SetUpstreamFaults(name, faults) => upstream(rig, name)?.set_faults(faults.clone()),
        Step::RestartDomain(domain) => {
            for name in rig.upstreams_in(domain) {
                upstream(rig, &name)?.restart().await?;
            }
        }
        Step::SetHeldSnapshots(suffix, oldest, newest) => {
            let matching = rig.upstreams.iter().filter(|(name, _)| name.ends_with(suffix));
            matching.for_each(|(_, upstream)| upstream.set_held_snapshots(*oldest, *newest));
        }
        Step::SignalInstance(name, signal) => instance(rig, name)?.signal(signal)?,
        Step::KillInstance(name) => instance(rig, name)?.kill(),
        Step::StartInstance(name, domain) => rig.add_instance(name, domain)?,
        Step::PublishInstanceList => rig.publish_instance_list(false),
        Step::WaitForExit(name) => {
            let code = instance(rig, name)?.wait(Duration::from_secs(25)).await?;
            ensure!(code == 0, "exit code {code}");
        }
        Step::SetPlatformFaults(faults) => rig.platform.set_faults(faults.clone()),
        Step::CopyPlatform => rig.platform_copy = rig.platform.copy(),
        Step::RestorePlatform => rig.platform.restore(rig.platform_copy.clone()),
        Step::SendWithKey(text, _) => bail!("{text}: the scenario names no service of requests"),
        Step::PartitionDomain(domain) => rig.partition(domain, false).await?,
        Step::IsolateDomain(domain) => rig.partition(domain, true).await?,
        Step::HealPartitions => rig.heal_partitions().await?,
        Step::SetDomainOut(name, out) => {
            let domains = [(name.to_string(), Domain { evacuated: *out })].into_iter().collect();
            submit(rig, |ticket| ticket.domains = domains).await?;
        }
        Step::SetUpstreamLeaving(name) => {
            let mut upstream =
                rig.initial_ticket().upstreams.get(*name).cloned().context("no such upstream")?;
            upstream.leaving = true;
            submit(rig, |ticket| {
                ticket.upstreams = [(name.to_string(), upstream)].into_iter().collect()
            })
            .await?;
        }
        Step::SubmitConcurrently => submit_concurrently(rig).await?,
        Step::SubmitTicket(expected) => {
            let ticket = next_ticket(rig).await?;
            let (status, body) = rig.submit(&ticket).await?;
            ensure!(status == *expected, "{status}: {body}");
        }
        Step::WaitForVersion(version, limit) => rig.wait_version(*version, *limit).await?,
        Step::WaitForServing(limit) => rig.wait_serving(*limit).await?,
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

async fn submit_concurrently(rig: &Rig) -> Result<()> {
    let ticket = next_ticket(rig).await?;
    let backends = rig.backends();
    let (addr_a, addr_b) =
        (backends[0].operators_addr, backends[backends.len() - 1].operators_addr);
    let (status_a, status_b) = tokio::join!(submit_to(addr_a, &ticket), submit_to(addr_b, &ticket));
    let ((status_a, body_a), (status_b, body_b)) = (status_a?, status_b?);
    ensure!(
        status_a.min(status_b) == 200 && status_a.max(status_b) == 409,
        "{status_a} {body_a}; {status_b} {body_b}"
    );
    let rejection = if status_a == 409 { body_a } else { body_b };
    ensure!(
        rejection.contains("was already accepted"),
        "the rejection lacks `was already accepted`: {rejection}"
    );
    Ok(())
}
