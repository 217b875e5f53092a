//! The cases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Client;
use crate::instance::{Instance, Sent, any_port, request, send};
use crate::record::{Record, sleep_until};
use crate::server::{Arrival, Server};
use crate::store::{Endpoint, Store};

type Outcome = Result<bool, Box<dyn std::error::Error>>;

/// `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// Time beyond each limit that a case allows for its own processes.
const MARGIN: Duration = Duration::from_millis(300);

/// `warmupFactor` and `warmupSlack`.
const WARMUP_FACTOR: f64 = 1.5;
const WARMUP_SLACK: f64 = 5.0;

/// Time for which a server is cold (`warmupS`).
const COLD: Duration = Duration::from_secs(3);
/// Time from a server's start to its entry (`lag_ms` of the site; servers write about every 1,200 ms).
const ENTRY_LAG: Duration = Duration::from_millis(800);
/// Age of the data of a list that may be stale ("data that is seconds old").
const STALE_BY: Duration = Duration::from_secs(3);
/// Time before a disruption in which a deployment runs undisturbed.
const SETTLED: Duration = Duration::from_secs(12);
/// Time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

const HOST: &str = "deck.example";

pub fn run(case: &str, folder: &Path, has_trouble: bool) -> Outcome {
    match case {
        "members-forgotten" => members_forgotten(folder, has_trouble),
        "killed-beside-a-cold-server" => killed_beside_cold(folder, has_trouble),
        "old-list-at-the-start" => old_list(folder, has_trouble),
        "store-cut" => store_cut(folder, has_trouble),
        "server-starts-again" => server_starts_again(folder, has_trouble),
        other => Err(format!("there is no case {other}").into()),
    }
}

/// A temporary folder, removed when dropped unless `KEEP` is set.
struct TempFolder(PathBuf);

impl TempFolder {
    fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("standin-3-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A store, servers and instances on loopback addresses.
struct Rig {
    record: Record,
    store: Store,
    endpoints: Vec<Endpoint>,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    _temp: TempFolder,
}

/// A service with its cold rate: name, `warmupS`, `warmupPerS`.
type Service<'a> = (&'a str, f64, f64);

/// Returns a configuration with a safe route `/job/` and an unsafe one `/book/` to a service.
fn config(version: u64, backend: &str, services: &[Service<'_>]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|(name, warmup_s, per_s)| {
            format!(
                r#"{{"name":"{name}","healthCheckPath":"/health","maxConnections":110,
                "protocol":"h1","tls":false,"warmupS":{warmup_s},"warmupPerS":{per_s}}}"#
            )
        })
        .collect();
    format!(
        r#"{{"configVersion":{version},"routes":[{{"name":"r-job","hostname":"{HOST}",
        "pathPrefix":"/job/","type":"safe","timeoutMs":4000,"targetLatencyMs":400,"priority":2,
        "backend":"{backend}","maxAttempts":2}},{{"name":"r-book","hostname":"{HOST}",
        "pathPrefix":"/book/","type":"unsafe","timeoutMs":4000,"targetLatencyMs":400,"priority":2,
        "backend":"{backend}","maxAttempts":2}}],"services":[{}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000}}}}"#,
        services.join(",")
    )
}

impl Rig {
    /// Starts a store, servers `(id, service, zone)` and instances `(name, zone)`, and waits until all are ready.
    fn start(
        folder: &Path,
        config: &str,
        servers: &[(&str, &str, &str)],
        instances: &[(&str, &str)],
        work: Duration,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let temp = TempFolder::create()?;
        let record = Record::create(&folder.join("record.txt"))?;
        let store = Store::new(record.clone());
        store.put("config", "main", config);
        let mut started = Vec::new();
        for spec in servers {
            let server = Server::start(*spec, any_port(), work, &record)?;
            store.put("servers", &server.id, &server.entry("ready", 0, 1));
            started.push(server);
        }
        let mut zones: Vec<&str> = instances.iter().map(|(_, zone)| *zone).collect();
        zones.dedup();
        let mut endpoints = Vec::new();
        for (name, _) in instances {
            endpoints.push(store.endpoint(name, any_port())?);
        }
        let mut running = Vec::new();
        for ((name, zone), endpoint) in instances.iter().zip(&endpoints) {
            running.push(Instance::start((name, zone, &zones), endpoint.addr, &temp.0, &record)?);
        }
        for instance in &running {
            if !instance.wait_ready(Duration::from_secs(10)) {
                return Err(format!("{} is not ready", instance.name).into());
            }
        }
        record.line("all instances are ready");
        Ok(Self { record, store, endpoints, servers: started, instances: running, _temp: temp })
    }

    fn zones(&self) -> usize {
        let zones: std::collections::BTreeSet<_> = self.instances.iter().map(|i| &i.zone).collect();
        zones.len()
    }

    /// Starts a cold server in place of another one, which drains from then on; returns it and when it was listed.
    fn replace(&self, old: &str, new: &str, per_s: f64) -> std::io::Result<(Server, Duration)> {
        let old = self.server(old);
        let (service, zone) = (old.service.as_str(), old.zone.as_str());
        let server = Server::start((new, service, zone), any_port(), old.work(), &self.record)?;
        server.make_cold(2 * per_s as usize, COLD);
        let cold_ms = COLD.as_millis() as u64;
        let listed_at = self.store.put("servers", new, &server.entry("ready", cold_ms, 1));
        old.leave();
        self.store.put("servers", &old.id, &old.entry("draining", 0, 2));
        Ok((server, listed_at))
    }

    fn server(&self, id: &str) -> &Server {
        self.servers.iter().find(|s| s.id == id).expect("a server of the case")
    }
}

/// Clients that send requests at a steady rate to each instance, on kept connections.
struct Load {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Load {
    /// Starts `clients` clients for each instance, each of which sends a request every `interval`.
    fn start(
        rig: &Rig,
        (method, path): (&'static str, &'static str),
        clients: usize,
        interval: Duration,
    ) -> Self {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let mut threads = Vec::new();
        let all = clients * rig.instances.len();
        for (index, instance) in rig.instances.iter().enumerate() {
            for n in 0..clients {
                let (stop, sent, record) = (stop.clone(), sent.clone(), rig.record.clone());
                let (name, addr): (String, SocketAddr) = (instance.name.clone(), instance.front);
                let offset =
                    interval.mul_f64((n * rig.instances.len() + index) as f64 / all as f64);
                threads.push(std::thread::spawn(move || {
                    let mut client = Client::new(addr);
                    let started = Instant::now() + offset;
                    for round in 0.. {
                        let at = started + interval * round;
                        std::thread::sleep(at.saturating_duration_since(Instant::now()));
                        if stop.load(Ordering::SeqCst) {
                            return;
                        }
                        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
                        let bytes = request(method, HOST, path, &id, 4_000);
                        let one = send(&mut client, &name, &bytes, (path, &id), &record);
                        sent.lock().unwrap().push(one);
                    }
                }));
            }
        }
        Self { stop, sent, threads }
    }

    /// Ends the clients and returns what they sent, by attempt.
    fn end(self) -> BTreeMap<String, Sent> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let sent = std::mem::take(&mut *self.sent.lock().unwrap());
        sent.into_iter().map(|s| (s.id.clone(), s)).collect()
    }
}

/// Waits until all watches are younger than `limit`, so that the case does not depend on their phase.
fn wait_for_young_watches(rig: &Rig, limit: Duration) -> Result<(), String> {
    let deadline = Instant::now() + Duration::from_secs(30);
    loop {
        let waiting = rig.store.waiting();
        // of four kinds in each zone, none between two calls
        let zones = rig.zones();
        let is_settled = |age: &Duration| (Duration::from_millis(50)..limit).contains(age);
        if waiting.len() == 4 * zones && waiting.iter().all(|(.., age)| is_settled(age)) {
            for (endpoint, kind, wait, age) in &waiting {
                rig.record.line(format!("{endpoint} watches {kind} for {wait} ms, since {age:?}"));
            }
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err("the watches are of too different ages".into());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Reports the requests sent after `due` that the old service has run, and returns whether there is none.
fn report_old(
    rig: &Rig,
    sent: &BTreeMap<String, Sent>,
    due: Duration,
    acknowledged: Duration,
    counts: impl Fn(&Sent) -> bool,
) -> bool {
    let of_old = rig.servers.iter().filter(|s| s.service == "agenda");
    let late: Vec<Arrival> = of_old
        .flat_map(Server::arrivals)
        .filter(|a| sent.get(&a.id).is_some_and(|s| s.sent_at > due && counts(s)))
        .collect();
    let last = late.iter().map(|a| a.at).max().unwrap_or_default();
    rig.record.say(format!(
        "{} requests; {} that were sent later than {:.1} s after the acknowledgement were run by the old service, \
         the last one {:.1} s after it",
        sent.len(),
        late.len(),
        (due - acknowledged).as_secs_f64(),
        last.saturating_sub(acknowledged).as_secs_f64()
    ));
    late.is_empty()
}

/// The only server of a service is replaced by a cold one, which starts first; the old one then drains. One process of the
/// system is killed, and started again half a second later.
fn killed_beside_cold(folder: &Path, has_trouble: bool) -> Outcome {
    let per_s = 15.0;
    let services = [("agenda", COLD.as_secs_f64(), per_s)];
    let mut rig = Rig::start(
        folder,
        &config(7, "agenda", &services),
        &[("a-1", "agenda", "poa")],
        &[("front-poa-1", "poa"), ("front-cxs-1", "cxs"), ("front-pel-1", "pel")],
        Duration::from_millis(100),
    )?;
    let load = Load::start(&rig, ("POST", "/book/1"), 8, Duration::from_millis(80));
    std::thread::sleep(SETTLED);
    let (server, started_at) = rig.replace("a-1", "a-2", per_s)?;
    sleep_until(&rig.record, started_at + Duration::from_millis(200));
    if has_trouble {
        rig.instances[0].kill();
        rig.record.line("disruption: front-poa-1 is killed");
        std::thread::sleep(RESTART_DELAY);
        rig.instances[0].spawn(&rig.record)?;
    }
    sleep_until(&rig.record, started_at + COLD);
    let sent = load.end();
    Ok(report_cold(&rig, &sent, &server, |a| a.at < started_at + COLD, per_s))
}

/// Reports the most requests that a cold server got in a second, and returns whether they are within the bound.
fn report_cold(
    rig: &Rig,
    sent: &BTreeMap<String, Sent>,
    server: &Server,
    is_cold: impl Fn(&Arrival) -> bool,
    per_s: f64,
) -> bool {
    let bound = per_s * WARMUP_FACTOR + WARMUP_SLACK;
    let arrivals = server.arrivals();
    let cold: Vec<&Arrival> = arrivals.iter().filter(|a| is_cold(a)).collect();
    let most = most_in_a_second(sent, cold.iter().copied());
    let is_lost = |a: &&&Arrival| {
        let answer = sent.get(&a.id).and_then(|s| s.answer.as_ref());
        answer.is_none_or(|(status, ..)| *status != 200)
    };
    let lost = cold.iter().filter(is_lost).count();
    rig.record.say(format!(
        "{} requests, {} reached the cold server, at most {most} in a second, allowed are {bound}; it crashed: {}; \
         {lost} of those that reached it were not answered by it",
        sent.len(),
        cold.len(),
        server.has_crashed(),
    ));
    most as f64 <= bound
}

/// Returns the most requests that were both sent and arrived inside one second.
fn most_in_a_second<'a>(
    sent: &BTreeMap<String, Sent>,
    arrivals: impl Iterator<Item = &'a Arrival>,
) -> usize {
    let second = Duration::from_secs(1);
    let times: Vec<_> = arrivals.filter_map(|a| Some((sent.get(&a.id)?.sent_at, a.at))).collect();
    let in_second = |from: Duration| {
        let inside = |at: Duration| at >= from && at < from + second;
        times.iter().filter(|(sent_at, at)| inside(*sent_at) && inside(*at)).count()
    };
    times.iter().map(|(sent_at, _)| in_second(*sent_at)).max().unwrap_or_default()
}

/// The only server of a service crashes and starts again at once, under its identity and address. Its entry follows.
fn server_starts_again(folder: &Path, has_trouble: bool) -> Outcome {
    let per_s = 10.0;
    let services = [("agenda", COLD.as_secs_f64(), per_s)];
    let rig = Rig::start(
        folder,
        &config(7, "agenda", &services),
        &[("a-1", "agenda", "poa")],
        &[
            ("front-poa-1", "poa"),
            ("front-poa-2", "poa"),
            ("front-cxs-1", "cxs"),
            ("front-cxs-2", "cxs"),
            ("front-pel-1", "pel"),
            ("front-pel-2", "pel"),
        ],
        Duration::from_millis(30),
    )?;
    let load = Load::start(&rig, ("POST", "/book/1"), 5, Duration::from_millis(500));
    std::thread::sleep(SETTLED);
    let server = rig.server("a-1");
    let mut started_at = rig.record.now();
    if has_trouble {
        started_at = server.restart(Duration::from_millis(50))?;
        server.make_cold(2 * per_s as usize, COLD);
        std::thread::sleep(ENTRY_LAG);
        let left = (COLD - ENTRY_LAG).as_millis() as u64;
        rig.store.put("servers", "a-1", &server.entry("ready", left, 2));
    }
    sleep_until(&rig.record, started_at + COLD);
    let sent = load.end();
    Ok(report_cold(&rig, &sent, server, |a| a.run == 2 && a.at < started_at + COLD, per_s))
}

/// The instances of a zone are stopped and started one after the other, and are all back. Then the only server of a service is
/// replaced: the new one starts first and is cold, the old one drains.
fn members_forgotten(folder: &Path, has_trouble: bool) -> Outcome {
    let per_s = 18.0;
    let services = [("agenda", COLD.as_secs_f64(), per_s)];
    let mut rig = Rig::start(
        folder,
        &config(7, "agenda", &services),
        &[("a-1", "agenda", "poa")],
        &[
            ("front-poa-1", "poa"),
            ("front-poa-2", "poa"),
            ("front-poa-3", "poa"),
            ("front-cxs-1", "cxs"),
            ("front-cxs-2", "cxs"),
            ("front-cxs-3", "cxs"),
        ],
        Duration::from_millis(20),
    )?;
    let load = Load::start(&rig, ("POST", "/book/1"), 8, Duration::from_millis(160));
    std::thread::sleep(SETTLED);
    for instance in rig.instances.iter_mut().take(if has_trouble { 3 } else { 0 }) {
        let record = &rig.record;
        let at = record.line(format!("planned stop: {} gets SIGTERM", instance.name));
        instance.signal("TERM");
        instance.wait_exit(Duration::from_secs(6));
        record.line(format!("{} has ended", instance.name));
        std::thread::sleep(RESTART_DELAY);
        instance.spawn(record)?;
        if !instance.wait_ready(Duration::from_secs(5)) {
            return Err(format!("{} is not ready again", instance.name).into());
        }
        record.line(format!("{} is ready again", instance.name));
        sleep_until(record, at + Duration::from_millis(1_300));
    }
    // the balancer asks once a second whether an instance is ready again
    std::thread::sleep(Duration::from_millis(1_100));
    let (server, started_at) = rig.replace("a-1", "a-2", per_s)?;
    sleep_until(&rig.record, started_at + COLD);
    let sent = load.end();
    Ok(report_cold(&rig, &sent, &server, |a| a.at < started_at + COLD, per_s))
}

/// One process of the system is killed, and started again half a second later; the list that it begins with is 3 s old. Meanwhile
/// the only server of a service becomes cold again and says so.
fn old_list(folder: &Path, has_trouble: bool) -> Outcome {
    let per_s = 15.0;
    let services = [("agenda", COLD.as_secs_f64(), per_s)];
    let mut rig = Rig::start(
        folder,
        &config(7, "agenda", &services),
        &[("a-1", "agenda", "poa")],
        &[("front-poa-1", "poa"), ("front-poa-2", "poa"), ("front-poa-3", "poa")],
        Duration::from_millis(50),
    )?;
    let is_fresh = std::env::var("STALE").is_ok_and(|value| value == "0");
    rig.store.set_stale_by(if is_fresh { Duration::ZERO } else { STALE_BY });
    let load = Load::start(&rig, ("POST", "/book/1"), 8, Duration::from_millis(160));
    std::thread::sleep(SETTLED);
    // one that does not watch the store itself
    let watching = rig.store.waiting().first().map(|(name, ..)| name.clone()).unwrap_or_default();
    let index = rig.instances.iter().position(|i| i.name != watching).ok_or("all watch")?;
    let killed_at = rig.record.now();
    if has_trouble {
        let instance = &mut rig.instances[index];
        instance.kill();
        rig.record.line(format!("disruption: {} is killed", instance.name));
    }
    sleep_until(&rig.record, killed_at + RESTART_DELAY - Duration::from_millis(100));
    let server = rig.server("a-1").clone();
    let cold_ms = COLD.as_millis() as u64;
    let cold_at = rig.store.put("servers", "a-1", &server.entry("ready", cold_ms, 2));
    sleep_until(&rig.record, killed_at + RESTART_DELAY);
    if has_trouble {
        rig.instances[index].spawn(&rig.record)?;
    }
    // what was sent before the change no longer counts
    sleep_until(&rig.record, cold_at + MARGIN);
    server.make_cold(3 * per_s as usize, COLD - MARGIN);
    sleep_until(&rig.record, cold_at + COLD);
    let sent = load.end();
    let is_cold = |a: &Arrival| a.at > cold_at + MARGIN && a.at < cold_at + COLD;
    Ok(report_cold(&rig, &sent, &server, is_cold, per_s))
}

/// The machine that watches the store is cut off from it, silently, for 5.5 s. Meanwhile the route moves to another service.
fn store_cut(folder: &Path, has_trouble: bool) -> Outcome {
    let services = [("agenda", 3.0, 0.0), ("certifica", 3.0, 0.0)];
    let rig = Rig::start(
        folder,
        &config(7, "agenda", &services),
        &[
            ("a-1", "agenda", "poa"),
            ("a-2", "agenda", "poa"),
            ("c-1", "certifica", "poa"),
            ("c-2", "certifica", "poa"),
        ],
        &[("front-poa-1", "poa"), ("front-poa-2", "poa"), ("front-poa-3", "poa")],
        Duration::from_millis(5),
    )?;
    let load = Load::start(&rig, ("GET", "/job/1"), 2, Duration::from_millis(100));
    std::thread::sleep(SETTLED);
    wait_for_young_watches(&rig, Duration::from_millis(1_500))?;
    let watching = rig.store.waiting().first().map(|(name, ..)| name.clone()).unwrap_or_default();
    let index = rig.instances.iter().position(|i| i.name == watching).ok_or("nobody watches")?;
    let cut_at = rig.record.now();
    if has_trouble {
        rig.endpoints[index].set_cut(true);
        rig.record.line(format!("disruption: {watching} is cut off from the store"));
    }
    sleep_until(&rig.record, cut_at + Duration::from_millis(100));
    let acknowledged = rig.store.put("config", "main", &config(9, "certifica", &services));
    sleep_until(&rig.record, cut_at + Duration::from_millis(5_500));
    rig.endpoints[index].set_cut(false);
    rig.record.line("the cut has ended");
    sleep_until(&rig.record, cut_at + Duration::from_millis(7_000));
    let sent = load.end();
    let due = acknowledged + CONFIG_APPLY + MARGIN;
    Ok(report_old(&rig, &sent, due, acknowledged, |s| s.instance != watching))
}
