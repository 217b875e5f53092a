//! Trials beside the cases: faults that were shown, but are not among the five. They are run as the cases are.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::cases::{all_traffic, conclude, secs, start};
use crate::record::Record;
use crate::rig::{config, route, Rig, CONTACT, DRAIN, HOST};
use crate::server::Arrival;

/// Servers with a long queue reset new connections for a moment; some seconds later they name a rate.
pub fn limit_unheard(record: Record, trouble: bool) -> ! {
    const LIMIT: f64 = 4.0;
    const WINDOW: Duration = Duration::from_secs(4);
    let (rig, servers, in_touch) = start(record, &[("poa", 2), ("cxs", 2)]);
    let servers: Vec<_> = servers.into_iter().filter(|s| s.service == "certifica").collect();
    let traffic = all_traffic(&rig, "/c/q", 0.125);
    rig.record.sleep_until(in_touch);
    servers.iter().for_each(|s| s.set_resets_when_long(trouble));
    // a few bursts, in which requests wait at the servers
    for _ in 0..4 {
        let mut clients = Vec::new();
        for instance in &rig.instances {
            for _ in 0..12 {
                let (rig, instance) = (rig.clone(), instance.clone());
                clients.push(std::thread::spawn(move || rig.send(&instance, "GET", "/c/q", 2_000)));
            }
        }
        clients.into_iter().for_each(|c| drop(c.join()));
        std::thread::sleep(secs(0.5));
    }
    servers.iter().for_each(|s| s.set_resets_when_long(false));
    rig.record.line("# the bursts are over");
    std::thread::sleep(secs(6.0));
    servers.iter().for_each(|s| s.name_limit(&LIMIT.to_string()));
    let named_at = rig.record.now();
    std::thread::sleep(secs(12.0));
    traffic.into_iter().for_each(|t| t.stop());

    let answers = rig.answers.lock().unwrap().clone();
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    let mut broken = Vec::new();
    for server in &servers {
        // when each machine first passed on an answer that named the limit
        let limited = server.limited_answers();
        let mut told: BTreeMap<&str, Duration> = BTreeMap::new();
        for a in answers.iter().filter(|a| a.status == Ok(200) && limited.contains(&a.attempt)) {
            let at = told.entry(&a.instance).or_insert(a.answered);
            *at = (*at).min(a.answered);
        }
        let counts = |arrival: &Arrival| {
            let answer = answers.iter().find(|a| a.attempt == arrival.attempt);
            let told_at = answer.and_then(|a| told.get(a.instance.as_str()));
            arrival.at >= named_at + CONTACT
                && told_at.is_some_and(|at| arrival.at >= *at + Duration::from_millis(500))
        };
        let counted: Vec<Duration> =
            server.arrivals().iter().filter(|a| counts(a)).map(|a| a.at).collect();
        let in_window = |from: &Duration| {
            counted.iter().filter(|at| *at >= from && **at < *from + WINDOW).count()
        };
        let most = counted.iter().map(in_window).max().unwrap_or(0);
        rig.record.line(format!(
            "# {}: {} machines passed on the limit; most requests in 4 s: {most}, allowed: {allowed}",
            server.id,
            told.len()
        ));
        if most as f64 > allowed {
            broken.push(format!("{most} requests in 4 s at {}, {allowed} allowed", server.id));
        }
    }
    conclude(&rig, "LIMIT", &broken)
}

/// An instance that forwards passes on parts of servers that leave, of which only its gatherer knows; the store is away.
pub fn forwarded(record: Record, trouble: bool) -> ! {
    const SHARDS: &[&str] = &["s0", "s1", "s2", "s3"];
    let mut rig = Rig::start(record);
    let fanout = format!(
        r#"{{"name":"r-q","hostname":"{HOST}","pathPrefix":"/q/","type":"safe","timeoutMs":2000,"targetLatencyMs":400,"priority":1,"fanout":["s0","s1","s2","s3"],"maxAttempts":2,"topK":5,"minShardRatio":0.5}}"#
    );
    rig.store.put("config", "main", &config(7, &[fanout], SHARDS));
    let mut leaving = Vec::new();
    for shard in SHARDS {
        leaving.push(rig.server(&format!("i-{shard}-0"), shard, "poa", 15));
        rig.server(&format!("i-{shard}-1"), shard, "cxs", 15);
    }
    for (name, zone) in [
        ("front-poa-1", "poa"),
        ("front-cxs-1", "cxs"),
        ("front-pel-1", "pel"),
        ("front-pel-2", "pel"),
    ] {
        rig.instance(name, zone);
    }
    rig.wait_ready();
    std::thread::sleep(CONTACT);
    let sender = rig.instances[2].clone();
    let query = |count: usize| {
        for _ in 0..count {
            rig.send(&sender, "GET", "/q/w", 1_000);
            std::thread::sleep(secs(0.08));
        }
    };
    query(10);
    rig.instances.iter().for_each(|instance| instance.line.set_cut(true));
    rig.record.line("# the store is away");
    leaving.iter().for_each(|server| server.leave());
    query(8);
    let passed_on = rig.record.now();
    std::thread::sleep(DRAIN + secs(0.1));
    if trouble {
        rig.kill(&rig.instances[0]);
        rig.kill(&rig.instances[1]);
    }
    let from = rig.record.now();
    query(10);
    let answers = rig.answers.lock().unwrap().clone();
    let mut broken = Vec::new();
    for server in &leaving {
        for arrival in server.arrivals() {
            let answer = answers.iter().find(|a| a.attempt == arrival.attempt);
            if answer.is_some_and(|a| a.sent >= from) {
                let late = (arrival.at - passed_on).as_secs_f64();
                broken.push(format!(
                    "{} reaches {} {late:.3} s after parts of it were passed on",
                    arrival.attempt, server.id
                ));
            }
        }
    }
    conclude(&rig, "DRAIN", &broken)
}

/// A server starts again under its id at once, and its new run wants time before its entry comes.
pub fn new_run(record: Record, trouble: bool) -> ! {
    let mut rig = Rig::start(record);
    rig.store.put(
        "config",
        "main",
        &config(7, &[route("r-a", "/a/", "agenda", 2_000)], &["agenda"]),
    );
    let server = rig.server("i-agenda-0", "agenda", "poa", 20);
    for (name, zone) in [("front-poa-1", "poa"), ("front-cxs-1", "cxs")] {
        rig.instance(name, zone);
    }
    rig.wait_ready();
    let rig = Arc::new(rig);
    std::thread::sleep(CONTACT);
    // four clients at once to each instance
    let burst = || {
        let mut clients = Vec::new();
        for instance in rig.instances.iter().flat_map(|i| [i, i, i, i]) {
            let (rig, instance) = (rig.clone(), instance.clone());
            clients.push(std::thread::spawn(move || rig.send(&instance, "GET", "/a/q", 1_000)));
        }
        clients.into_iter().for_each(|c| drop(c.join()));
        std::thread::sleep(secs(0.15));
    };
    (0..3).for_each(|_| burst());
    if trouble {
        server.end_connections();
    }
    server.turn_away("6");
    let begun = rig.record.now();
    while rig.record.now() < begun + secs(1.0) {
        burst();
    }
    if trouble {
        rig.store.put("servers", &server.id, &server.entry_of_later_run(5_000));
    }
    while rig.record.now() < begun + secs(5.0) {
        burst();
    }
    let answers = rig.answers.lock().unwrap().clone();
    let mut broken = Vec::new();
    for instance in &rig.instances {
        let is_own = |arrival: &&Arrival| {
            answers.iter().any(|a| a.attempt == arrival.attempt && a.instance == instance.name)
        };
        let turned_away = server.turned_away();
        let times: Vec<Duration> = turned_away.iter().filter(is_own).map(|a| a.at).collect();
        let Some(first) = times.iter().min().copied() else { continue };
        let is_late = |at: &&Duration| **at > first + secs(0.5) && **at < first + secs(6.0);
        let late = times.iter().filter(is_late).count();
        if late > 2 {
            broken
                .push(format!("{late} requests from {} in the time of Retry-After", instance.name));
        }
    }
    conclude(&rig, "BUDGET", &broken)
}
