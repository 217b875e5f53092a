//! A test rig on loopback: stand-ins in this process and instances as processes of the real binary.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use indexmap::IndexMap;
use tamarackdeck::{
    Capacity, Domain, Dump, InstanceState, ListedInstance, NamedMap, Object, Policy, Preference,
    Service, ShardMap, Snapshot, Ticket, Upstream,
};

use crate::load::Backend;
use crate::platform::PlatformStandIn;
use crate::standstills::Standstills;
use crate::upstream::{UpstreamOptions, UpstreamStandIn};

/// A service of the deployment; the replicas of a shard are spread over the failure domains in turn.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    pub name: &'static str,
    pub shards: usize,
    pub replicas: usize,
    pub prefer: Preference,
    pub bear: Capacity,
    pub upstream: UpstreamOptions,
}

/// Size, policy and services of a test deployment.
#[derive(Clone, Debug)]
pub struct RigOptions {
    pub domains: Vec<&'static str>,
    pub instances_per_domain: usize,
    pub services: Vec<ServiceSpec>,
    pub policy: Policy,
    pub list_delay: Duration,
    /// Additional flags of every instance.
    pub flags: Vec<String>,
    /// Environment variables of every instance; one that has no such setting ignores them.
    pub env: Vec<(&'static str, String)>,
    pub quiet: bool,
}

impl Default for RigOptions {
    fn default() -> Self {
        Self {
            domains: vec!["north", "south"],
            instances_per_domain: 2,
            services: Vec::new(),
            policy: Policy::default(),
            list_delay: Duration::from_secs(1),
            flags: Vec::new(),
            env: Vec::new(),
            quiet: true,
        }
    }
}

/// An instance running as a child process; dropping it kills the process.
pub struct Process {
    pub name: String,
    pub domain: String,
    pub backend: Backend,
    pub peers_addr: SocketAddr,
    child: Option<Child>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> Result<()> {
        let pid = self.pid().context("the process is not running")?;
        let status = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status()?;
        ensure!(status.success(), "kill -{name} {pid}");
        Ok(())
    }

    /// Waits for the process to exit and returns its exit code; after `limit`, kills it and returns an error.
    pub async fn wait(&mut self, limit: Duration) -> Result<i32> {
        let mut child = self.child.take().context("the process is not running")?;
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = child.try_wait()? {
                return Ok(status.code().unwrap_or(-1));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let _ = child.kill();
        bail!("{} did not stop within {limit:?}", self.name)
    }

    pub async fn dump(&self) -> Result<Dump> {
        let reply =
            tamarackdeck::get(self.backend.operators_addr, "/v1/dump", Duration::from_secs(1))
                .await?;
        Ok(serde_json::from_slice(&reply.body)?)
    }

    /// User and system CPU time used so far, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let Some(pid) = self.pid() else { return 0.0 };
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |index: usize| {
            fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0)
        };
        (ticks(11) + ticks(12)) / 100.0
    }

    /// Resident memory, in megabytes.
    pub fn memory_mb(&self) -> f64 {
        let Some(pid) = self.pid() else { return 0.0 };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }

    /// Returns the sum of a counter over all its label values.
    pub async fn counter_total(&self, name: &str) -> f64 {
        let reply =
            tamarackdeck::get(self.backend.operators_addr, "/metrics", Duration::from_secs(1))
                .await;
        let Ok(reply) = reply else { return 0.0 };
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let lines = text.lines().filter(|line| line.split(['{', ' ']).next() == Some(name));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }
}

/// A running test deployment.
pub struct Rig {
    pub opts: RigOptions,
    pub platform: PlatformStandIn,
    /// Copy of the platform's objects, to restore it from.
    pub platform_copy: IndexMap<String, Object>,
    pub upstreams: IndexMap<String, UpstreamStandIn>,
    pub instances: IndexMap<String, Process>,
    pub standstills: Standstills,
    binary: PathBuf,
}

/// Port of the addresses that processes listen on, below the system's ephemeral range.
const FIRST_PORT: u16 = 20_000;
/// Number of addresses with the same port.
const HOSTS: u16 = 250;

/// Returns an address for a process to listen on, with a loopback IP of this test process, so that no other one takes the
/// port before the process binds it. No address is returned twice.
fn free_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let host = 1 + (n % HOSTS) as u8;
    SocketAddr::from(([127, 64 + high % 64, low, host], FIRST_PORT + n / HOSTS))
}

impl Rig {
    /// Starts the stand-ins and all instances, submits the initial ticket and waits until all instances serve.
    pub async fn start(binary: &Path, opts: RigOptions) -> Result<Self> {
        let platform =
            PlatformStandIn::start(SocketAddr::from(([127, 0, 0, 1], 0)), opts.list_delay).await?;
        let upstreams = start_upstreams(&opts).await?;
        let mut rig = Self {
            platform,
            platform_copy: IndexMap::new(),
            upstreams,
            instances: IndexMap::new(),
            standstills: Standstills::start(),
            binary: binary.into(),
            opts,
        };
        for domain in rig.opts.domains.clone() {
            for index in 0..rig.opts.instances_per_domain {
                rig.add_instance(&format!("{domain}-{index}"), domain)?;
            }
        }
        rig.publish_instance_list(true);
        rig.wait_live().await?;
        rig.submit(&rig.initial_ticket()).await?;
        rig.wait_serving(Duration::from_secs(20)).await?;
        Ok(rig)
    }

    /// Starts an instance. A previous instance of that name must have exited; its addresses are reused.
    pub fn add_instance(&mut self, name: &str, domain: &str) -> Result<()> {
        let previous =
            self.instances.get(name).map(|process| (process.backend, process.peers_addr));
        let (backend, peers_addr) = previous.unwrap_or_else(|| {
            (Backend { callers_addr: free_addr(), operators_addr: free_addr() }, free_addr())
        });
        let seeds: Vec<String> =
            self.instances.values().map(|process| process.peers_addr.to_string()).collect();
        let mut command = Command::new(&self.binary);
        command
            .args([
                "--instance",
                name,
                "--domain",
                domain,
                "--test-faults",
                "true",
                "--stop-notice-ms",
                "800",
            ])
            .args([
                "--callers",
                &backend.callers_addr.to_string(),
                "--operators",
                &backend.operators_addr.to_string(),
            ])
            .args([
                "--peers",
                &peers_addr.to_string(),
                "--platform",
                &self.platform.server.addr.to_string(),
            ])
            .args(["--seeds", &seeds.join(",")])
            .args(&self.opts.flags)
            .envs(self.opts.env.iter().map(|(name, value)| (name, value)));
        if self.opts.quiet {
            command.args(["--log-level", "error"]);
        }
        let child = command
            .stdin(Stdio::null())
            .spawn()
            .with_context(|| format!("start {:?}", self.binary))?;
        let process = Process {
            name: name.into(),
            domain: domain.into(),
            backend,
            peers_addr,
            child: Some(child),
        };
        self.instances.insert(name.into(), process);
        Ok(())
    }

    /// Publishes the running instances to the platform's instance list; `immediately` skips its
    /// visibility delay.
    pub fn publish_instance_list(&self, immediately: bool) {
        let running = self.instances.values().filter(|process| process.child.is_some());
        let listed = running.map(|process| ListedInstance {
            name: process.name.clone(),
            domain: process.domain.clone(),
            addr: process.peers_addr.to_string(),
            state: InstanceState::Live,
        });
        let listed = listed.collect();
        if immediately {
            self.platform.publish_list_immediately(listed)
        } else {
            self.platform.publish_list(listed)
        }
    }

    pub fn backends(&self) -> Vec<Backend> {
        self.instances.values().map(|process| process.backend).collect()
    }

    fn running(&self) -> impl Iterator<Item = &Process> {
        self.instances.values().filter(|process| process.child.is_some())
    }

    /// Checks that no process has exited, except those stopped on purpose.
    pub fn check_all_running(&mut self) -> Result<()> {
        for process in self.instances.values_mut() {
            if let Some(child) = &mut process.child {
                let ended = child.try_wait()?;
                ensure!(ended.is_none(), "{} exited unexpectedly: {ended:?}", process.name);
            }
        }
        Ok(())
    }

    async fn wait_live(&self) -> Result<()> {
        for process in self.running() {
            let deadline = Instant::now() + Duration::from_secs(10);
            while tamarackdeck::get(process.backend.operators_addr, "/live", Duration::from_secs(1))
                .await
                .is_err()
            {
                ensure!(Instant::now() < deadline, "{} is not live", process.name);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Waits until every running instance serves.
    pub async fn wait_serving(&self, limit: Duration) -> Result<()> {
        self.wait_all(limit, "serve", |dump, _| dump.phase == "serving").await
    }

    /// Waits until every running instance knows the number of running instances.
    pub async fn wait_membership(&self, limit: Duration) -> Result<()> {
        self.wait_all(limit, "know all running instances", |dump, running| {
            dump.instances == running
        })
        .await
    }

    async fn wait_all(
        &self,
        limit: Duration,
        goal: &str,
        is_done: impl Fn(&Dump, usize) -> bool,
    ) -> Result<()> {
        let deadline = Instant::now() + limit;
        let running = self.running().count();
        loop {
            let mut ready = 0;
            for process in self.running() {
                ready +=
                    usize::from(process.dump().await.is_ok_and(|dump| is_done(&dump, running)));
            }
            if ready == running {
                return Ok(());
            }
            ensure!(Instant::now() < deadline, "{ready} of {running} instances {goal}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until every running instance has this version in force.
    pub async fn wait_version(&self, version: u64, limit: Duration) -> Result<()> {
        let deadline = Instant::now() + limit;
        for process in self.running() {
            loop {
                let now = process.dump().await.map_or(0, |dump| dump.config);
                if now >= version {
                    break;
                }
                ensure!(Instant::now() < deadline, "{} is at version {now}", process.name);
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        Ok(())
    }

    /// Returns the highest version in force at any running instance.
    pub async fn newest_version(&self) -> Result<u64> {
        let mut newest = 0;
        for process in self.running() {
            newest = newest.max(process.dump().await.map_or(0, |dump| dump.config));
        }
        Ok(newest)
    }

    /// Returns the names of the upstreams in a failure domain.
    pub fn upstreams_in(&self, domain: &str) -> Vec<String> {
        let replicas =
            self.opts.services.iter().flat_map(|service| placement(service, &self.opts.domains));
        let replicas = replicas.flat_map(|(_, replicas)| replicas);
        replicas
            .filter(|(_, replica_domain)| *replica_domain == domain)
            .map(|(name, _)| name)
            .collect()
    }

    /// Disconnects a failure domain from the others, and also from the platform if `platform` is set.
    pub async fn partition(&self, domain: &str, platform: bool) -> Result<()> {
        for process in self.running() {
            let inside = process.domain == domain;
            let others: Vec<_> = self
                .instances
                .values()
                .filter(|other| (other.domain == domain) != inside)
                .collect();
            let peer_addrs: Vec<_> =
                others.iter().map(|other| other.peers_addr.to_string()).collect();
            let names: Vec<_> = others.iter().map(|other| other.name.clone()).collect();
            let faults = serde_json::json!({
                "cut_peers": peer_addrs, "cut_names": names, "cut_platform": platform && inside,
            });
            self.set_faults(process, &faults).await?;
        }
        Ok(())
    }

    /// Clears the faults of all running instances, which ends every partition.
    pub async fn heal_partitions(&self) -> Result<()> {
        for process in self.running() {
            self.set_faults(process, &serde_json::json!({})).await?;
        }
        Ok(())
    }

    async fn set_faults(&self, process: &Process, faults: &serde_json::Value) -> Result<()> {
        let body = serde_json::to_vec(faults)?;
        let reply = tamarackdeck::post(
            process.backend.operators_addr,
            "/v1/faults",
            &[],
            body,
            Duration::from_secs(1),
        )
        .await?;
        ensure!(reply.status == 200, "{}: {}", process.name, reply.status);
        Ok(())
    }

    /// Returns the ticket that creates the domains, services and upstreams of the deployment.
    pub fn initial_ticket(&self) -> Ticket {
        let domains = self
            .opts
            .domains
            .iter()
            .map(|domain| (domain.to_string(), Domain::default()))
            .collect();
        let mut services = NamedMap::default();
        let mut upstreams = NamedMap::default();
        for spec in &self.opts.services {
            let mut shards = NamedMap::default();
            for (shard, replicas) in placement(spec, &self.opts.domains) {
                for (name, domain) in &replicas {
                    let upstream = Upstream {
                        addr: self.upstreams[name].addr,
                        domain: domain.to_string(),
                        service: spec.name.into(),
                        leaving: false,
                    };
                    upstreams.insert(name.clone(), upstream);
                }
                shards.insert(shard, replicas.into_iter().map(|(name, _)| name).collect());
            }
            let policy = Policy { prefer: spec.prefer, ..self.opts.policy };
            let maps = vec![ShardMap { from: Snapshot(0), shards }];
            services.insert(spec.name.into(), Service { policy, capacity: spec.bear, maps });
        }
        Ticket {
            number: 1,
            base: 0,
            note: "set up".into(),
            domains,
            services,
            upstreams,
            ..Default::default()
        }
    }

    /// Submits a ticket through the first running instance and returns the status and the body.
    pub async fn submit(&self, ticket: &Ticket) -> Result<(u16, String)> {
        let instance = self.running().next().context("no instance is running")?;
        submit_to(instance.backend.operators_addr, ticket).await
    }
}

/// Submits a ticket to the operators' listener of an instance and returns the status and the body.
pub async fn submit_to(operators_addr: SocketAddr, ticket: &Ticket) -> Result<(u16, String)> {
    let body = serde_json::to_vec(ticket)?;
    let reply =
        tamarackdeck::post(operators_addr, "/v1/tickets", &[], body, Duration::from_secs(10))
            .await?;
    Ok((reply.status, String::from_utf8_lossy(&reply.body).into_owned()))
}

type ReplicaNames<'a> = Vec<(String, &'a str)>;

/// Returns the shards of a service with the names and failure domains of their replicas.
fn placement<'a>(spec: &ServiceSpec, domains: &[&'a str]) -> Vec<(String, ReplicaNames<'a>)> {
    let replica = |shard: usize, index: usize| {
        let domain = domains[(shard + index) % domains.len()];
        (format!("{}-{shard}-{index}", spec.name), domain)
    };
    (0..spec.shards)
        .map(|shard| {
            (format!("s{shard}"), (0..spec.replicas).map(|index| replica(shard, index)).collect())
        })
        .collect()
}

async fn start_upstreams(opts: &RigOptions) -> Result<IndexMap<String, UpstreamStandIn>> {
    let mut all = IndexMap::new();
    for spec in &opts.services {
        for (name, _) in
            placement(spec, &opts.domains).into_iter().flat_map(|(_, replicas)| replicas)
        {
            let seed = spec.upstream.seed.wrapping_mul(1_000).wrapping_add(all.len() as u64);
            let upstream = UpstreamOptions { seed, ..spec.upstream.clone() };
            let addr = SocketAddr::from(([127, 0, 0, 1], 0));
            all.insert(name, UpstreamStandIn::start(addr, upstream).await?);
        }
    }
    Ok(all)
}
