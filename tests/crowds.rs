//! Crowds of callers that do not behave, on the own interface: an instance lives, stays within its machine, and serves others.
//!
//! The machine's limits are lowered in the environment of the instance, so that a small crowd is beyond them.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::path::Path;
use std::time::Duration;

use futures::FutureExt;
use standins::crowd::{BodyScript, Crowd, Script, is_served, unfinished_message};
use standins::rig::{Process, Rig, RigOptions, ServiceSpec};
use standins::upstream::UpstreamOptions;
use standins::usage::{Machine, Observer};
use tamarackdeck::{Capacity, Policy, Preference};

const MS: fn(u64) -> Duration = Duration::from_millis;
/// Maximum size of a body of a caller.
const MAX_BODY_BYTES: usize = 256 << 10;
/// Maximum size of a ticket.
const MAX_TICKET_BYTES: usize = 1 << 20;
/// How long a crowd stays once it has sent what it sends.
const STAY: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    Callers,
    Operators,
    Peers,
}

/// A crowd, and the machine that it comes to.
struct Case {
    name: &'static str,
    listener: Listener,
    members: usize,
    script: fn(usize) -> Script,
    machine: Machine,
    /// Time that an upstream takes for a request, in microseconds.
    service_us: u64,
}

const LITTLE_MEMORY: Machine = Machine { memory_mb: 64, max_fds: 4_100 };
const FEW_DESCRIPTORS: Machine = Machine { memory_mb: 64, max_fds: 300 };

const CASE: Case = Case {
    name: "",
    listener: Listener::Callers,
    members: 400,
    script: |_| Script::default(),
    machine: LITTLE_MEMORY,
    service_us: 3_000,
};

/// A request with a body, without its last `missing` bytes.
fn body(path: &str, size: usize, missing: usize) -> BodyScript {
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\n");
    BodyScript { head, size, missing }
}

fn query(missing: usize) -> BodyScript {
    body("/v1/query/search", MAX_BODY_BYTES, missing)
}

/// A head of 15 KB that does not end.
fn endless_head() -> Script {
    Script::at_once(format!("POST / HTTP/1.1\r\nhost: x\r\nx-filler: {}", "x".repeat(15_000)))
}

const CASES: &[Case] = &[
    Case {
        name: "queries with a length, a byte short",
        script: |_| Script::at_once(query(1).sized()),
        ..CASE
    },
    Case {
        name: "queries in chunks of a byte, a chunk short",
        script: |_| Script::at_once(query(11).chunked(1)),
        members: 12,
        ..CASE
    },
    Case {
        name: "whole requests with a length",
        script: |_| Script::at_once(body("/v1/request/search", MAX_BODY_BYTES, 0).sized()),
        service_us: 500_000,
        ..CASE
    },
    Case {
        name: "heads without their end",
        script: |_| endless_head(),
        machine: FEW_DESCRIPTORS,
        ..CASE
    },
    Case { name: "connections that send nothing", machine: FEW_DESCRIPTORS, ..CASE },
    Case {
        name: "connections to the operators' listener that send nothing",
        listener: Listener::Operators,
        machine: FEW_DESCRIPTORS,
        ..CASE
    },
    Case {
        name: "tickets with a length, a byte short",
        listener: Listener::Operators,
        script: |_| Script::at_once(body("/v1/tickets", MAX_TICKET_BYTES, 1).sized()),
        members: 100,
        ..CASE
    },
    Case {
        name: "connections to the listener for peers that send nothing",
        listener: Listener::Peers,
        machine: FEW_DESCRIPTORS,
        ..CASE
    },
    Case {
        name: "links whose first message does not end",
        listener: Listener::Peers,
        script: |_| unfinished_message(8_000_000, 7_000_000),
        members: 12,
        ..CASE
    },
];

/// Sends an ordinary query.
async fn is_answered(instance: &Process) -> bool {
    let addr = instance.backend.callers_addr;
    let reply = tamarackdeck::post(addr, "/v1/query/search", &[], "q", MS(3_000)).await;
    reply.is_ok_and(|r| r.status == 200)
}

async fn play(case: &'static Case) {
    let service = ServiceSpec {
        name: "search",
        shards: 2,
        replicas: 2,
        prefer: Preference::Coverage,
        bear: Capacity::default(),
        upstream: UpstreamOptions { service_us: case.service_us, ..Default::default() },
    };
    let opts = RigOptions {
        domains: vec!["north"],
        instances_per_domain: 1,
        services: vec![service],
        policy: Policy { soft_ms: 2_000, hard_ms: 3_000, ..Default::default() },
        env: vec![
            ("TAMARACK_MEMORY_MB", case.machine.memory_mb.to_string()),
            ("TAMARACK_MAX_FDS", case.machine.max_fds.to_string()),
        ],
        ..Default::default()
    };
    let rig = Rig::start(Path::new(env!("CARGO_BIN_EXE_tamarackd")), opts).await.unwrap();
    let instance = &rig.instances[0];
    let addr: SocketAddr = match case.listener {
        Listener::Callers => instance.backend.callers_addr,
        Listener::Operators => instance.backend.operators_addr,
        Listener::Peers => instance.peers_addr,
    };
    let pid = instance.pid().unwrap();
    let observer = Observer::start(pid, &[instance.backend.callers_addr, addr]);
    // the second one comes on top of what the first one left behind
    for round in ["first", "second"] {
        let scripts = (0..case.members).map(case.script);
        let crowd = Crowd::open(addr, scripts, STAY).await;
        observer.check(case.machine, &format!("{}: {round}", case.name));
        assert!(
            is_served(async || is_answered(instance).await).await,
            "{}: not served beside the {round}",
            case.name
        );
        crowd.close().await;
    }
    assert!(
        is_served(async || is_answered(instance).await).await,
        "{}: not served afterwards",
        case.name
    );
    let ready = tamarackdeck::get(instance.backend.operators_addr, "/ready", MS(3_000)).await;
    assert_eq!(ready.unwrap().status, 200, "{}: not ready afterwards", case.name);
    observer.check(case.machine, &format!("{}: afterwards", case.name));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crowd_on_the_own_interface_costs_no_more_than_the_machine_has() {
    let case_filter = std::env::var("CASE").unwrap_or_default();
    let mut failed = Vec::new();
    for case in CASES.iter().filter(|c| c.name.contains(&case_filter)) {
        println!("case: {}", case.name);
        if AssertUnwindSafe(play(case)).catch_unwind().await.is_err() {
            println!("failed: {}: a check failed, see the output above", case.name);
            failed.push(case.name);
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
