//! The listener for operators: probes, metrics, dump, tickets.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::body::Incoming;
use hyper::{Method, Request};
use serde_json::json as value;

use crate::coordination::tickets::MOST_BYTES;
use crate::protocol::dump::{BucketDump, Dump, GateDump};
use crate::protocol::platform::ticket_key;
use crate::state::ticket::Ticket;
use crate::transport::faults::FaultSet;
use crate::transport::http::{FullResponse, json, plain, read_body};
use crate::transport::node::{Node, Phase};
use crate::transport::submit::{Submitted, submit};

/// Handles one request of an operator.
pub(crate) async fn handle(node: Arc<Node>, req: Request<Incoming>) -> FullResponse {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/live") => plain(200, "live\n"),
        (&Method::GET, "/ready") => ready(&node),
        (&Method::GET, "/metrics") => metrics(&node),
        (&Method::GET, "/v1/dump") => json(200, &dump(&node)),
        (&Method::GET, "/v1/config") => json(200, &node.catalog().fleet),
        (&Method::POST, "/v1/tickets") => post_ticket(&node, req).await,
        (&Method::GET, path) if path.starts_with("/v1/tickets/") => show_ticket(&node, path).await,
        (&Method::POST, "/v1/faults") if node.cfg.test_faults => set_faults(&node, req).await,
        _ => plain(404, "no such path; see docs/OPERATING.md\n"),
    }
}

fn metrics(node: &Node) -> FullResponse {
    node.metrics.link_bytes.set(node.links.sent.load(Ordering::Relaxed) as i64);
    plain(200, node.metrics.text())
}

/// Says whether the balancer should send callers here.
fn ready(node: &Node) -> FullResponse {
    let out = node.catalog().fleet.domains.get(&node.cfg.domain).is_some_and(|d| d.value.out);
    match *node.phase.read() {
        Phase::Serving if out => plain(503, "the failure domain is out\n"),
        Phase::Serving => plain(200, "ready\n"),
        Phase::Starting => plain(503, "no configuration yet\n"),
        Phase::Leaving => plain(503, "leaving\n"),
    }
}

async fn post_ticket(node: &Arc<Node>, req: Request<Incoming>) -> FullResponse {
    let Ok(body) = read_body(req.into_body(), MOST_BYTES).await else {
        return json(
            400,
            &value!({"refused": [{"place": "", "problem": "no whole ticket of at most a megabyte"}]}),
        );
    };
    let ticket: Ticket = match serde_json::from_slice(&body) {
        Ok(ticket) => ticket,
        Err(e) => {
            let place = format!("line {}, column {}", e.line(), e.column());
            return json(400, &value!({"refused": [{"place": place, "problem": e.to_string()}]}));
        }
    };
    match submit(node, ticket).await {
        Submitted::Accepted(version) => json(200, &value!({ "accepted": version })),
        Submitted::Refused(findings) => json(409, &value!({ "refused": findings })),
        Submitted::Away(why) => json(503, &value!({ "away": why })),
        Submitted::Unknown(why) => json(504, &value!({ "unknown": why })),
    }
}

async fn show_ticket(node: &Node, path: &str) -> FullResponse {
    let number = path.trim_start_matches("/v1/tickets/").parse::<u64>();
    let Ok(number) = number else {
        return plain(400, "the number of a ticket is a whole number\n");
    };
    match node.platform.get(&ticket_key(number)).await {
        Ok(Some(object)) => plain(200, object.value),
        Ok(None) => plain(404, format!("no ticket {number}\n")),
        Err(e) => plain(503, format!("{e}\n")),
    }
}

async fn set_faults(node: &Node, req: Request<Incoming>) -> FullResponse {
    let Ok(body) = read_body(req.into_body(), MOST_BYTES).await else {
        return plain(400, "no body\n");
    };
    match serde_json::from_slice::<FaultSet>(&body) {
        Ok(set) => {
            node.links.close(&set.cut_peers);
            node.faults.set(set);
            plain(200, "set\n")
        }
        Err(e) => plain(400, format!("{e}\n")),
    }
}

/// Describes the state of the instance.
pub(crate) fn dump(node: &Node) -> Dump {
    let now = node.now();
    let catalog = node.catalog();
    let owners = node.owners();
    let holdings = node.leases.lock().holdings(now);
    let buckets = holdings.into_iter().map(|(bucket, lease)| {
        let of = owners.iter().filter(|(_, o)| o.place() == (node.cfg.domain.clone(), bucket));
        let upstreams = of.filter_map(|(k, _)| Some(catalog.upstream(*k)?.name.clone())).collect();
        let left_ms = lease.until.since(now).as_millis() as u64;
        BucketDump { bucket, share: lease.share, left_ms, upstreams }
    });
    let buckets = buckets.collect();
    let mut gates = indexmap::IndexMap::new();
    node.gates.for_each(|key, gate| {
        let Some(up) = catalog.upstream(key) else { return };
        let news = gate.news();
        let dump = GateDump {
            health: news.health,
            running: gate.running(),
            waiting: gate.waiting(),
            limit: gate.limit(),
            answered: gate.handover().0,
            mean_us: news.mean_us,
            held: news.held,
        };
        gates.insert(up.name.clone(), dump);
    });
    gates.sort_keys();
    Dump {
        instance: node.me.id.clone(),
        domain: node.cfg.domain.clone(),
        phase: format!("{:?}", *node.phase.read()).to_lowercase(),
        uptime_ms: now.0 / 1_000,
        config: catalog.version(),
        flights: node.flights.len(),
        platform: node.platform_ok.lock().is_some(),
        rosters: node.rosters(),
        buckets,
        gates,
        links: node.links.names(),
    }
}
