//! The store's revision counter is at a high number. Servers of another service start, and a version adds a route to it. In
//! steady state the added route must be served a quarter as often as the first one, at least.

use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

use review_standin_2::client::get;
use review_standin_2::config::{Route, config};
use review_standin_2::instance::Instance;
use review_standin_2::record::Record;
use review_standin_2::server::{Runs, Server};
use review_standin_2::store::Store;
use review_standin_2::{BROKEN, COULD_NOT_RUN, HELD, has_trouble};

const MS: fn(u64) -> Duration = Duration::from_millis;
const ZONES: [&str; 3] = ["poa", "cxs", "pel"];
/// Where the counter is: in milliseconds since the Unix epoch it is a day of this year.
const REVISION: u64 = 1_796_500_000_000;
/// Requests on each route; the rule asks for 20.
const REQUESTS: usize = 45;

fn main() {
    let record = Record::create();
    let revision = std::env::var("REVISION").ok().and_then(|v| v.parse().ok()).unwrap_or(REVISION);
    let runs = Runs::default();
    let store = Store::start_with(revision, 500);
    record.line(format!("the revision counter of the store is at {revision}"));
    let start = |service: &str| {
        for zone in ZONES {
            for n in 1..=2 {
                let id = format!("i-{service}-{zone}-{n}");
                let server = Server::start(&id, service, MS(20), &runs, &record);
                store.put("servers", &id, &server.entry(zone, "ready"));
            }
        }
    };
    start("log");
    let route =
        |name, prefix, service| Route { name, prefix, kind: "safe", service, timeout_ms: 4_000 };
    let first = || route("r-log", "/log/", "log");
    store.put("config", "main", &config(7, &[first()], &["log"]));
    let instances: Vec<Instance> = ZONES
        .iter()
        .map(|zone| Instance::start(&format!("front-{zone}-1"), zone, store.addr))
        .collect();
    for instance in &instances {
        if !instance.wait_ready(MS(15_000)) {
            record.line(format!("{} is not ready", instance.name));
            exit(COULD_NOT_RUN);
        }
    }
    thread::sleep(MS(6_000));
    if has_trouble() {
        start("cert");
        record.line("the servers of cert have started and registered");
        thread::sleep(MS(3_000));
        let routes = [first(), route("r-cert", "/cert/", "cert")];
        store.put("config", "main", &config(8, &routes, &["log", "cert"]));
        record.line("the store has acknowledged version 8, which adds the route /cert/");
    }
    let acknowledged = Instant::now();
    // configApplyMs, and contactMs besides
    thread::sleep(MS(3_000 + 4_000));
    let ask = |prefix: &str| {
        let mut served = 0;
        for n in 0..REQUESTS {
            let instance = &instances[n % instances.len()];
            let attempt = format!("{}-{n:03}", prefix.trim_matches('/'));
            let end = get(instance.front, &format!("{prefix}2f"), &attempt, 4_000);
            served += usize::from(end.status() == 200);
            record.line(format!(
                "request {attempt} to {}, {} ms after the acknowledgement: {}",
                instance.name,
                acknowledged.elapsed().as_millis(),
                end.text()
            ));
            thread::sleep(MS(50));
        }
        served
    };
    let on_first = ask("/log/");
    let on_added = if has_trouble() { ask("/cert/") } else { on_first };
    record.line(format!(
        "served of {REQUESTS} each: {on_first} on the first route, {on_added} on the added one"
    ));
    drop(instances);
    exit(match (on_first * 2 > REQUESTS, on_added * 4 < on_first) {
        (false, _) => COULD_NOT_RUN,
        (true, true) => BROKEN,
        (true, false) => HELD,
    });
}
