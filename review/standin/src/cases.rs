//! The cases: what is done when, and the check of the rule.

use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;
use crate::rig::{config, is_ready, route, Instance, Rig, CONFIG_APPLY, CONTACT, DRAIN};
use crate::server::Server;

const SERVICES: &[&str] = &["agenda", "certifica"];
/// Allowance for the way from a client to a server on this machine, so that the check errs on the lenient side.
const MARGIN: Duration = Duration::from_millis(200);

pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// An entry of another writer whose `warmupLeftMs` is no whole number of milliseconds.
const FOREIGN_NUMBER: &str = r#"{"backend":"agenda","address":"127.0.0.1:9","zone":"poa","configVersion":"v1","maxConcurrent":2,"state":"ready","warmupLeftMs":1e30,"sequence":1,"born":1700000000000}"#;

/// An entry of another writer with bytes that are no text: in JSON, an escape that stands for no character.
const FOREIGN_BYTES: &str = r#"{"backend":"agenda","address":"127.0.0.1:9","zone":"po\udce9","configVersion":"v1","maxConcurrent":2,"state":"ready","warmupLeftMs":0,"sequence":1,"born":1700000000000}"#;

/// Reports where the rule was broken and ends the case.
pub fn conclude(rig: &Rig, rule: &str, broken: &[String]) -> ! {
    for line in broken {
        rig.record.line(format!("# {rule} broken: {line}"));
    }
    rig.record.line(format!("# {rule}: {} times broken", broken.len()));
    rig.finish(i32::from(!broken.is_empty()))
}

fn routes() -> Vec<String> {
    vec![
        route("r-a", "/a/", "agenda", 2_000),
        route("r-c", "/c/", "certifica", 2_000),
        route("r-m", "/m/", "agenda", 2_000),
    ]
}

/// Starts instances and servers, waits until they are ready, and returns when all machines are in touch.
pub fn start(record: Record, zones: &[(&str, usize)]) -> (Arc<Rig>, Vec<Arc<Server>>, Duration) {
    let mut rig = Rig::start(record);
    rig.store.put("config", "main", &config(7, &routes(), SERVICES));
    let mut servers = Vec::new();
    for (service, count, work_ms) in [("agenda", 6, 20), ("certifica", 2, 30)] {
        for n in 0..count {
            let zone = ["poa", "cxs"][n % 2];
            servers.push(rig.server(&format!("i-{service}-{n}"), service, zone, work_ms));
        }
    }
    for (zone, count) in zones {
        for n in 1..=*count {
            rig.instance(&format!("front-{zone}-{n}"), zone);
        }
    }
    rig.wait_ready();
    let in_touch = rig.record.now() + CONTACT;
    (Arc::new(rig), servers, in_touch)
}

pub fn all_traffic(rig: &Arc<Rig>, path: &'static str, every: f64) -> Vec<crate::rig::Traffic> {
    rig.instances.iter().map(|i| rig.traffic(i, path, secs(every))).collect()
}

/// Kills all instances, starts them again, and records how many requests are served later than `recoverS` after that; the
/// check does not count it.
fn observe_restart(rig: &Rig) {
    const RECOVER: Duration = Duration::from_secs(12);
    rig.instances.iter().for_each(|instance| rig.kill(instance));
    for instance in &rig.instances {
        rig.spawn(instance);
    }
    std::thread::sleep(RECOVER + MARGIN);
    let ready = rig.instances.iter().filter(|instance| is_ready(instance)).count();
    let (mut sent, mut served) = (0, 0);
    for instance in rig.instances.iter().cycle().take(5 * rig.instances.len()) {
        sent += 1;
        served += usize::from(rig.send(instance, "GET", "/a/q", 2_000).status == Ok(200));
    }
    rig.record.line(format!(
        "# beside the check: all instances were killed and started again; {} s later {ready} report ready, and {served} of {sent} requests are served",
        RECOVER.as_secs()
    ));
}

/// Another writer puts an entry into `servers`; later a version moves a route.
pub fn entry_number(record: Record, trouble: bool) -> ! {
    let (rig, _servers, in_touch) = start(record, &[("poa", 2), ("cxs", 2)]);
    let traffic = all_traffic(&rig, "/a/q", 0.4);
    rig.record.sleep_until(in_touch + secs(1.0));
    if trouble {
        rig.store.put("servers", "i-other", FOREIGN_NUMBER);
        rig.record.line("# another writer's entry is in the store");
    }
    std::thread::sleep(secs(2.0));
    let mut moved = routes();
    moved[2] = route("r-m", "/m/", "certifica", 2_000);
    let acked = rig.store.put("config", "main", &config(9, &moved, SERVICES));
    rig.record
        .line("# a version that moves the route /m/ from agenda to certifica is acknowledged");

    rig.record.sleep_until(acked + CONFIG_APPLY + MARGIN);
    for _ in 0..10 {
        for instance in &rig.instances {
            rig.send(instance, "GET", "/m/q", 2_000);
        }
        std::thread::sleep(secs(0.3));
    }
    traffic.into_iter().for_each(|t| t.stop());
    let answers = rig.answers.lock().unwrap().clone();
    let late = answers.iter().filter(|a| a.path == "/m/q" && a.body.starts_with("agenda ran"));
    let broken: Vec<String> = late
        .map(|a| {
            let late = a.sent.saturating_sub(acked).as_secs_f64();
            format!(
                "{} sent to {} {late:.3} s after the acknowledgement is run by the old service",
                a.attempt, a.instance
            )
        })
        .collect();
    observe_restart(&rig);
    conclude(&rig, "CONFIG", &broken)
}

/// Another writer puts an entry into `servers`; later a server of two is replaced by a new one.
pub fn entry_bytes(record: Record, trouble: bool) -> ! {
    let (rig, servers, in_touch) = start(record, &[("poa", 2), ("cxs", 2)]);
    let traffic = all_traffic(&rig, "/a/q", 0.4);
    rig.record.sleep_until(in_touch + secs(1.0));
    if trouble {
        rig.store.put("servers", "i-other", FOREIGN_BYTES);
        rig.record.line("# another writer's entry is in the store");
    }
    std::thread::sleep(secs(2.0));
    let old = servers.iter().find(|s| s.id == "i-certifica-0").unwrap();
    let new = rig.server("i-certifica-9", "certifica", "poa", 30);
    std::thread::sleep(secs(0.5));
    old.leave();
    let acked = rig.store.put("servers", &old.id, &old.entry("draining"));
    rig.record.line(format!("# {} is draining, acknowledged; {} is its successor", old.id, new.id));

    rig.record.sleep_until(acked + DRAIN + MARGIN * 2);
    let first_check = rig.record.now();
    for _ in 0..3 {
        for instance in &rig.instances {
            rig.send(instance, "GET", "/c/q", 2_000);
        }
        std::thread::sleep(secs(0.3));
    }
    traffic.into_iter().for_each(|t| t.stop());
    let answers = rig.answers.lock().unwrap().clone();
    let sent = |attempt: &str| answers.iter().find(|a| a.attempt == attempt).map(|a| a.sent);
    let late = old.arrivals().into_iter().filter(|arrival| {
        arrival.at > acked + DRAIN + MARGIN
            && sent(&arrival.attempt).is_some_and(|at| at >= first_check)
    });
    let broken: Vec<String> = late
        .map(|arrival| {
            let late = arrival.at.saturating_sub(acked).as_secs_f64();
            format!("{} reaches {} {late:.3} s after the acknowledgement", arrival.attempt, old.id)
        })
        .collect();
    observe_restart(&rig);
    conclude(&rig, "DRAIN", &broken)
}

/// Another writer replaces a server's entry by one that lacks three fields and names another service; the server writes its own
/// again at its next heartbeat.
pub fn entry_partial(record: Record, trouble: bool) -> ! {
    const HEARTBEAT: Duration = Duration::from_millis(1_200);
    let mut rig = Rig::start(record);
    let jobs = route("r-j", "/j/", "agenda", 4_000).replace("\"safe\"", "\"unsafe\"");
    rig.store.put("config", "main", &config(7, &[jobs], &["agenda"]));
    for n in 0..2 {
        rig.server(&format!("i-agenda-{n}"), "agenda", ["poa", "cxs"][n % 2], 60);
    }
    // a service that no route leads to
    let other = rig.server("i-ensaio-0", "ensaio", "poa", 60);
    for (zone, n) in [("poa", 1), ("poa", 2), ("cxs", 1), ("cxs", 2)] {
        rig.instance(&format!("front-{zone}-{n}"), zone);
    }
    rig.wait_ready();
    let rig = Arc::new(rig);
    let (store, server) = (rig.store.clone(), other.clone());
    std::thread::spawn(move || loop {
        std::thread::sleep(HEARTBEAT);
        store.put("servers", &server.id, &server.entry("ready"));
    });
    std::thread::sleep(CONTACT);
    let entry = other.entry("ready").replace("\"ensaio\"", "\"agenda\"");
    let missing = [r#""configVersion":"v1","#, r#""warmupLeftMs":0,"#, r#""sequence":1,"#];
    let entry = missing.iter().fold(entry, |entry, field| entry.replace(field, ""));
    for round in 0..24 {
        if trouble && round % 6 == 0 {
            rig.record.line("# another writer's entry, which lacks three fields, is in the store");
            rig.store.put("servers", &other.id, &entry);
        }
        let mut clients = Vec::new();
        for instance in rig.instances.iter().flat_map(|i| [i, i, i]) {
            let (rig, instance) = (rig.clone(), instance.clone());
            clients.push(std::thread::spawn(move || rig.send(&instance, "POST", "/j/log", 4_000)));
        }
        clients.into_iter().for_each(|c| drop(c.join()));
        std::thread::sleep(secs(0.1));
    }
    let answers = rig.answers.lock().unwrap().clone();
    let broken: Vec<String> = other
        .arrivals()
        .iter()
        .map(|arrival| {
            let answer = answers.iter().find(|a| a.attempt == arrival.attempt);
            let told = answer.map(|a| (a.instance.as_str(), &a.status, a.body.as_str()));
            format!(
                "{} is run by {} of the service ensaio; its client: {told:?}",
                arrival.attempt, other.id
            )
        })
        .collect();
    conclude(&rig, "ROUTE", &broken)
}

/// All open connections to the store go silent for good, new ones work; then a version adds a route.
pub fn silent_lines(record: Record, trouble: bool) -> ! {
    let (rig, _servers, in_touch) = start(record, &[("poa", 2), ("cxs", 2)]);
    let traffic = all_traffic(&rig, "/a/q", 0.4);
    rig.record.sleep_until(in_touch + secs(6.3));
    let idle = config(9, &routes(), SERVICES);
    rig.store.put("config", "main", &idle);
    std::thread::sleep(secs(0.3));
    if trouble {
        for instance in &rig.instances {
            instance.line.silence_open();
        }
        rig.record.line("# the open connections to the store are silent from now on");
    }
    let silent_at = rig.record.now();
    std::thread::sleep(secs(0.5));
    let mut added = routes();
    added.push(route("r-n", "/n/", "agenda", 2_000));
    let acked = rig.store.put("config", "main", &config(12, &added, SERVICES));
    rig.record.line("# a version that adds the route /n/ is acknowledged");

    // from here on all machines are in touch again, and the version is due everywhere
    let from = (silent_at + CONTACT).max(acked + CONFIG_APPLY) + MARGIN;
    rig.record.sleep_until(from);
    while rig.record.now() < from + secs(6.0) {
        for instance in &rig.instances {
            rig.send(instance, "GET", "/n/q", 2_000);
        }
        std::thread::sleep(secs(0.2));
    }
    traffic.into_iter().for_each(|t| t.stop());
    let answers = rig.answers.lock().unwrap().clone();
    let late = answers.iter().filter(|a| a.path == "/n/q" && a.status == Ok(404));
    let broken: Vec<String> = late
        .map(|a| {
            format!(
                "{} sent to {} {:.3} s after the acknowledgement and {:.3} s after the silence began gets 404",
                a.attempt,
                a.instance,
                a.sent.saturating_sub(acked).as_secs_f64(),
                a.sent.saturating_sub(silent_at).as_secs_f64()
            )
        })
        .collect();
    conclude(&rig, "CONFIG", &broken)
}

/// A zone's only instance is cut off from the store while a server leaves, and comes back.
pub fn entry_returns(record: Record, trouble: bool) -> ! {
    let (rig, servers, in_touch) = start(record, &[("poa", 2), ("cxs", 2), ("pel", 1)]);
    let traffic = all_traffic(&rig, "/c/q", 0.125);
    rig.record.sleep_until(in_touch + secs(1.0));
    let cut: Arc<Instance> = rig.instances.last().unwrap().clone();
    if trouble {
        cut.line.set_cut(true);
        rig.record.line(format!("# {} is cut off from the store", cut.name));
    }
    std::thread::sleep(secs(1.0));
    // a server of two leaves without reporting `draining`: its entry goes, and it serves on for some seconds
    let mut left = Vec::new();
    for server in servers.iter().filter(|s| s.id == "i-certifica-0") {
        server.leave();
        let acked = rig.store.delete("servers", &server.id);
        rig.record.line(format!("# {} leaves: its entry is removed", server.id));
        left.push((server.clone(), acked));
    }
    std::thread::sleep(secs(1.5));
    rig.store.put("config", "main", &config(9, &routes(), SERVICES));
    std::thread::sleep(secs(3.0));
    if trouble {
        cut.line.set_cut(false);
        rig.record.line(format!("# {} reaches the store again", cut.name));
    }
    std::thread::sleep(secs(7.0));
    traffic.into_iter().for_each(|t| t.stop());
    let answers = rig.answers.lock().unwrap().clone();
    let mut broken = Vec::new();
    for (server, acked) in &left {
        for arrival in server.arrivals().iter().filter(|a| a.at > *acked + DRAIN + MARGIN) {
            let Some(answer) = answers.iter().find(|a| a.attempt == arrival.attempt) else {
                continue;
            };
            // the one that was cut off is not in touch
            if answer.instance == cut.name {
                continue;
            }
            broken.push(format!(
                "{} taken by {} reaches {} {:.3} s after the removal was acknowledged",
                arrival.attempt,
                answer.instance,
                server.id,
                (arrival.at - *acked).as_secs_f64()
            ));
        }
    }
    conclude(&rig, "DRAIN", &broken)
}
