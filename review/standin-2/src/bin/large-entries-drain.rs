//! Another writer puts twelve entries of a megabyte among those of the servers, at once. Then one server leaves: no request may
//! reach it later than `drainMs` after the store has acknowledged that it drains.

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
/// Servers of the service, as many as `agenda` has; one of them leaves.
const SERVERS: usize = 11;
/// Entries of the other writer, and their size; `valueBytes` is 1,048,576.
const ENTRIES: usize = 12;
const ENTRY_BYTES: usize = 1_000_000;
/// `drainMs`, and 0.2 s.
const DRAINED: Duration = Duration::from_millis(3_200);

/// Sends requests to an instance, `at_once` of them at the same time; returns how many were served.
fn ask(front: std::net::SocketAddr, name: &str, rounds: usize, at_once: usize) -> usize {
    let mut served = 0;
    for round in 0..rounds {
        let sends: Vec<_> = (0..at_once)
            .map(|n| {
                let attempt = format!("{name}-{round}-{n}");
                thread::spawn(move || get(front, "/log/2f", &attempt, 4_000).status())
            })
            .collect();
        served += sends.into_iter().filter_map(|s| s.join().ok()).filter(|s| *s == 200).count();
    }
    served
}

/// Returns a text that hardly gets smaller when it is compressed.
fn blob(seed: u64) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut x = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    let letter = |_| {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        char::from(LETTERS[(x >> 20) as usize % 64])
    };
    (0..ENTRY_BYTES - 2).map(letter).collect()
}

fn main() {
    let record = Record::create();
    let runs = Runs::default();
    let store = Store::start();
    let servers: Vec<Server> = (0..SERVERS)
        .map(|n| Server::start(&format!("i-log-{n:02}"), "log", MS(20), &runs, &record))
        .collect();
    for (n, server) in servers.iter().enumerate() {
        store.put("servers", &server.id, &server.entry(ZONES[n % 3], "ready"));
    }
    let route =
        Route { name: "r-log", prefix: "/log/", kind: "safe", service: "log", timeout_ms: 4_000 };
    store.put("config", "main", &config(7, &[route], &["log"]));
    let instances: Vec<Instance> = ZONES
        .iter()
        .flat_map(|zone| (1..=3).map(move |n| (format!("front-{zone}-{n}"), zone)))
        .map(|(name, zone)| Instance::start(&name, zone, store.addr))
        .collect();
    for instance in &instances {
        if !instance.wait_ready(MS(15_000)) {
            record.line(format!("{} is not ready", instance.name));
            exit(COULD_NOT_RUN);
        }
    }
    // beyond the first seconds of the processes; all servers get requests
    thread::sleep(MS(11_000));
    for instance in &instances {
        let served = ask(instance.front, &format!("before-{}", instance.name), 10, 8);
        record.line(format!("{}: {served} of 80 requests served", instance.name));
    }
    if has_trouble() {
        let blobs: Vec<String> = (1..=ENTRIES as u64).map(blob).collect();
        for (n, blob) in blobs.iter().enumerate() {
            store.put("servers", &format!("inventory-{n:02}"), &format!("\"{blob}\""));
        }
        record.line(format!("another writer has put {ENTRIES} entries of {ENTRY_BYTES} bytes"));
    }
    thread::sleep(MS(3_000));
    let leaving = &servers[0];
    leaving.leave();
    store.put("servers", &leaving.id, &leaving.entry(ZONES[0], "draining"));
    let acknowledged = Instant::now();
    record
        .line(format!("the store has acknowledged that {} drains; it goes on serving", leaving.id));
    thread::sleep(DRAINED);
    for instance in &instances {
        let served = ask(instance.front, &format!("after-{}", instance.name), 10, 8);
        record.line(format!("{}: {served} of 80 requests served", instance.name));
    }
    let all = runs.lock().unwrap().clone();
    let late: Vec<_> =
        all.iter().filter(|r| r.server == leaving.id && r.began > acknowledged + DRAINED).collect();
    for run in &late {
        let after = run.began.duration_since(acknowledged).as_millis();
        record.line(format!(
            "{} reached {} {after} ms after the acknowledgement",
            run.attempt, run.server
        ));
    }
    record.line(format!(
        "{} requests reached the server later than drainMs after the acknowledgement",
        late.len()
    ));
    let was_used = all.iter().any(|r| r.server == leaving.id && r.began < acknowledged);
    drop(instances);
    exit(match (was_used, late.is_empty()) {
        (false, _) => COULD_NOT_RUN,
        (true, false) => BROKEN,
        (true, true) => HELD,
    });
}
