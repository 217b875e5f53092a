//! Another writer puts one entry among those of the servers. Its content names no server, and its name has a space. It is the
//! last one on a page of the list. Then all processes are killed and started again, while the store is sound all the time.

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
/// Objects on a page of a list.
const PAGE: usize = 50;
const SERVERS: usize = 56;
/// `recoverS`.
const RECOVER: Duration = Duration::from_secs(12);

/// Sends requests to all instances and returns how many were sent and served.
fn ask(instances: &[Instance], record: &Record, count: usize, what: &str) -> (usize, usize) {
    let mut served = 0;
    for n in 0..count {
        let instance = &instances[n % instances.len()];
        let end = get(instance.front, "/log/2f", &format!("{what}{n:03}"), 4_000);
        served += usize::from(end.status() == 200);
        record.line(format!("request {what}{n:03} to {}: {}", instance.name, end.text()));
        thread::sleep(MS(30));
    }
    record.line(format!("{what}: {served} of {count} requests served"));
    (count, served)
}

fn main() {
    let record = Record::create();
    let runs = Runs::default();
    let store = Store::start_with(530, PAGE);
    let servers: Vec<Server> = (0..SERVERS)
        .map(|n| {
            Server::start(
                &format!("i-{n:03}"),
                &format!("service-{}", n % 4),
                MS(20),
                &runs,
                &record,
            )
        })
        .collect();
    for (n, server) in servers.iter().enumerate() {
        store.put("servers", &server.id, &server.entry(ZONES[n % 3], "ready"));
    }
    let route = Route {
        name: "r-log",
        prefix: "/log/",
        kind: "safe",
        service: "service-0",
        timeout_ms: 4_000,
    };
    let services = ["service-0", "service-1", "service-2", "service-3"];
    store.put("config", "main", &config(7, &[route], &services));
    let mut instances: Vec<Instance> = ZONES
        .iter()
        .flat_map(|zone| (1..=2).map(move |n| (format!("front-{zone}-{n}"), zone)))
        .map(|(name, zone)| Instance::start(&name, zone, store.addr))
        .collect();
    for instance in &instances {
        if !instance.wait_ready(MS(15_000)) {
            record.line(format!("{} is not ready", instance.name));
            exit(COULD_NOT_RUN);
        }
    }
    thread::sleep(MS(2_000));
    let (_, before) = ask(&instances, &record, 30, "before");
    if before == 0 {
        exit(COULD_NOT_RUN);
    }
    if has_trouble() {
        // after i-048, so that it is the fiftieth by name
        store.put("servers", "i-048 spare", r#"{"note":"spare loop amplifier, shelf 4"}"#);
        record.line("another writer has put `servers/i-048 spare`");
    }
    thread::sleep(MS(2_000));
    ask(&instances, &record, 30, "beside");
    instances.iter().for_each(|instance| instance.signal("KILL"));
    record.line("all processes are killed");
    for instance in &mut instances {
        instance.wait_end(MS(2_000));
    }
    thread::sleep(MS(1_300));
    instances.iter_mut().for_each(Instance::run);
    let back = Instant::now();
    record.line("all processes are started again");
    thread::sleep(RECOVER + MS(500));
    record.line(format!("{} ms after the machines are back", back.elapsed().as_millis()));
    let (mut sent, mut served) = (0, 0);
    for round in 0..3 {
        let (s, ok) = ask(&instances, &record, 60, &format!("after-{round}-"));
        (sent, served) = (sent + s, served + ok);
        thread::sleep(MS(5_000));
    }
    record.line(format!(
        "{served} of {sent} requests served later than recoverS after the machines are back"
    ));
    drop(instances);
    exit(if served * 4 < sent { BROKEN } else { HELD });
}
