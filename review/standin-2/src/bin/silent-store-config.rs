//! All open connections to the store go silent at one moment, and a configuration is acknowledged soon after. Requests that
//! are sent later than `configApplyMs` after that, by instances that are in touch again, must not be handled as the older
//! version says.

use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

use review_standin_2::client::get;
use review_standin_2::config::{Route, config};
use review_standin_2::instance::Instance;
use review_standin_2::proxy::Proxy;
use review_standin_2::record::Record;
use review_standin_2::server::{Runs, Server};
use review_standin_2::store::Store;
use review_standin_2::{BROKEN, COULD_NOT_RUN, HELD, has_trouble};

/// `contactMs`: time after the disruption from which an instance is in touch again.
const CONTACT: Duration = Duration::from_millis(4_000);
/// `configApplyMs`.
const APPLY: Duration = Duration::from_millis(3_000);
const MS: fn(u64) -> Duration = Duration::from_millis;
const ZONES: [&str; 3] = ["poa", "cxs", "pel"];

fn version(number: u64, service: &str) -> String {
    let route =
        Route { name: "r-clause", prefix: "/clause/", kind: "safe", service, timeout_ms: 4_000 };
    config(number, &[route], &["old-rules", "new-rules"])
}

fn main() {
    let record = Record::create();
    let runs = Runs::default();
    let store = Store::start();
    let proxy = Proxy::start(store.addr);
    for service in ["old-rules", "new-rules"] {
        for zone in ZONES {
            let id = format!("i-{service}-{zone}");
            let server = Server::start(&id, service, MS(20), &runs, &record);
            store.put("servers", &id, &server.entry(zone, "ready"));
        }
    }
    store.put("config", "main", &version(7, "old-rules"));
    let instances: Vec<Instance> = ZONES
        .iter()
        .flat_map(|zone| (1..=3).map(move |n| (format!("front-{zone}-{n}"), zone)))
        .map(|(name, zone)| Instance::start(&name, zone, proxy.addr))
        .collect();
    for instance in &instances {
        if !instance.wait_ready(MS(15_000)) {
            record.line(format!("{} is not ready", instance.name));
            exit(COULD_NOT_RUN);
        }
    }
    record.line("all instances are ready");
    // beyond the first seconds of the processes
    thread::sleep(MS(17_000));
    // the watches of all instances began with the processes and are renewed together, each 5 s
    let deadline = Instant::now() + MS(25_000);
    let is_between =
        |kind, from, to| store.last_watch(kind).is_some_and(|age| age > MS(from) && age < MS(to));
    while !(is_between("config", 250, 400) && is_between("deckinstances", 0, 9_000)) {
        if Instant::now() > deadline {
            record.line("the watches were not renewed together");
            exit(COULD_NOT_RUN);
        }
        thread::sleep(MS(10));
    }
    for kind in ["config", "evacuations", "servers", "deckinstances"] {
        record.line(format!("the last watch of {kind} began {:?} ago", store.last_watch(kind)));
    }
    let silenced = Instant::now();
    if has_trouble() {
        let count = proxy.silence();
        record.line(format!(
            "the open connections to the store go silent ({count} were opened so far)"
        ));
    }
    thread::sleep(MS(300));
    store.put("config", "main", &version(8, "new-rules"));
    let acknowledged = Instant::now();
    record.line("the store has acknowledged version 8 (the route leads to new-rules)");
    let judged_from = (acknowledged + APPLY).max(silenced + CONTACT) + MS(50);
    let (mut broken, mut judged, mut number) = (0, 0, 0);
    while silenced.elapsed() < MS(9_000) {
        for instance in &instances {
            number += 1;
            let attempt = format!("a{number:04}");
            let sent = Instant::now();
            let end = get(instance.front, "/clause/2f", &attempt, 4_000);
            let stamp = end.text();
            let is_old = runs
                .lock()
                .unwrap()
                .iter()
                .any(|r| r.attempt == attempt && r.service == "old-rules");
            let is_judged = sent > judged_from;
            judged += u32::from(is_judged);
            let verdict = match (is_judged, is_old) {
                (true, true) => {
                    broken += 1;
                    "BROKEN: run by the service of the older version"
                }
                (false, true) => "older version, not judged yet",
                _ => "newer version",
            };
            record.line(format!(
                "{attempt} to {} sent {} ms after the acknowledgement, {} ms after the silence: {stamp}: {verdict}",
                instance.name,
                sent.duration_since(acknowledged).as_millis(),
                sent.duration_since(silenced).as_millis()
            ));
        }
        thread::sleep(MS(100));
    }
    record.line(format!(
        "{judged} requests judged, {broken} of them handled as only an older version allows"
    ));
    drop(instances);
    exit(if judged == 0 {
        COULD_NOT_RUN
    } else if broken > 0 {
        BROKEN
    } else {
        HELD
    });
}
