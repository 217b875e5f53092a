//! An instance gets SIGTERM while a client has a new connection to it, whose request is complete just after the instance has
//! closed its listener. The instance reads the request, passes it on to a server, and must answer it.

use std::io::Write;
use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

use review_standin_2::client::{End, connect, get, head, is_ready, read_answer};
use review_standin_2::config::{Route, config};
use review_standin_2::instance::Instance;
use review_standin_2::record::Record;
use review_standin_2::server::{Runs, Server};
use review_standin_2::store::Store;
use review_standin_2::{BROKEN, COULD_NOT_RUN, HELD, has_trouble};

const MS: fn(u64) -> Duration = Duration::from_millis;
const ZONES: [&str; 3] = ["poa", "cxs", "pel"];
/// Time that a server works on a request; those of the users' sheet take 540 ms at most.
const WORK: Duration = Duration::from_millis(450);
const DEADLINE_MS: u64 = 4_000;
const ROUNDS: u64 = 5;

fn main() {
    let record = Record::create();
    let runs = Runs::default();
    let store = Store::start();
    for zone in ZONES {
        for n in 1..=2 {
            let id = format!("i-booking-{zone}-{n}");
            let server = Server::start(&id, "booking", WORK, &runs, &record);
            store.put("servers", &id, &server.entry(zone, "ready"));
        }
    }
    let route = |name, prefix, kind| Route {
        name,
        prefix,
        kind,
        service: "booking",
        timeout_ms: DEADLINE_MS,
    };
    let routes = [route("r-book", "/book/", "unsafe"), route("r-log", "/log/", "safe")];
    store.put("config", "main", &config(7, &routes, &["booking"]));
    let mut instances: Vec<Instance> = ZONES
        .iter()
        .map(|zone| Instance::start(&format!("front-{zone}-1"), zone, store.addr))
        .collect();
    for instance in &instances {
        if !instance.wait_ready(MS(15_000)) {
            record.line(format!("{} is not ready", instance.name));
            exit(COULD_NOT_RUN);
        }
    }
    thread::sleep(MS(4_500));
    let (mut broken, mut read) = (0, 0);
    for round in 1..=ROUNDS {
        let instance = &mut instances[0];
        // the balancer asks once a second; the last answer before the signal is 200
        while !is_ready(instance.ready) {
            thread::sleep(MS(100));
        }
        let asked = Instant::now();
        if has_trouble() {
            instance.signal("TERM");
        }
        let stopped = Instant::now();
        record
            .line(format!("round {round}: SIGTERM to {} (if the disruption is on)", instance.name));
        let at =
            |ms: u64| thread::sleep((asked + MS(ms)).saturating_duration_since(Instant::now()));
        at(1_000);
        record.line(format!("balancer: ready? {}", is_ready(instance.ready)));
        // before the second miss the balancer still sends new connections to the instance
        at(1_950);
        let attempt = format!("b{round}");
        let Ok(mut client) = connect(instance.front) else {
            record.line("client: not connected");
            continue;
        };
        let text = head("GET", "/book/van", &attempt, DEADLINE_MS, 0);
        let (first, rest) = text.split_at(text.len() / 2);
        let _ = client.write_all(first.as_bytes());
        record.line(format!("client: connected, first half of the head of {attempt} sent"));
        at(2_000);
        record.line(format!("balancer: ready? {}", is_ready(instance.ready)));
        let complete_at =
            std::env::var("COMPLETE_AT").ok().and_then(|v| v.parse().ok()).unwrap_or(2_900);
        at(complete_at);
        let sent = Instant::now();
        let end = match client.write_all(rest.as_bytes()) {
            Ok(()) => read_answer(&client, MS(DEADLINE_MS)),
            Err(e) => End::Closed(e.to_string()),
        };
        let ended = Instant::now();
        let run = runs.lock().unwrap().iter().find(|r| r.attempt == attempt).cloned();
        let has_run = run.is_some();
        let is_lost = has_run && !matches!(end, End::Answer(_));
        read += u32::from(has_run);
        broken += u32::from(is_lost);
        record.line(format!(
            "client: {attempt} complete {} ms after SIGTERM; {} ms later: {}; passed on to a server: {}{}",
            sent.duration_since(stopped).as_millis(),
            ended.duration_since(sent).as_millis(),
            end.text(),
            run.map_or("no".to_owned(), |r| format!("yes, {}", r.server)),
            if is_lost { ": BROKEN" } else { "" }
        ));
        if has_trouble() {
            let has_ended = instance.wait_end(MS(7_000));
            record.line(format!(
                "{} has ended: {has_ended}, {} ms after SIGTERM; it is started again",
                instance.name,
                stopped.elapsed().as_millis()
            ));
            instance.run();
            if !instance.wait_ready(MS(10_000)) {
                exit(COULD_NOT_RUN);
            }
        }
        thread::sleep(MS(4_500));
    }
    let after = get(instances[0].front, "/log/2f", "last", DEADLINE_MS);
    record.line(format!("a request after all rounds: {}", after.text()));
    record.line(format!(
        "{read} requests were passed on to a server, {broken} of them have no answer"
    ));
    drop(instances);
    exit(if read == 0 {
        COULD_NOT_RUN
    } else if broken > 0 {
        BROKEN
    } else {
        HELD
    });
}
