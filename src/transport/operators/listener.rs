//! The listener for operators: probes, metrics, dump, tickets.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::body::Incoming;
use hyper::{Method, Request};
use serde_json::json as value;

use crate::coordination::tickets::MAX_CONFIG_BYTES;
use crate::protocol::dump::{Dump, UpstreamDump};
use crate::protocol::platform::ticket_key;
use crate::state::ticket::Ticket;
use crate::state::topology::Server;
use crate::transport::faults::FaultSet;
use crate::transport::http::{FullResponse, json, plain, read_body};
use crate::transport::node::Node;
use crate::transport::operators::submit::{Submitted, submit};
use crate::transport::upstreams::tier::Live;

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
        _ => plain(404, "no such path; see docs/OPERATIONS.md\n"),
    }
}

fn metrics(node: &Node) -> FullResponse {
    let meters = &node.tier.meters;
    meters.link_bytes.set(node.peers.links.sent_bytes.load(Ordering::Relaxed) as i64);
    meters.config_version.set(node.catalog().version() as i64);
    meters.flights.set(node.tier.flights() as i64);
    plain(200, meters.text())
}

fn ready(node: &Node) -> FullResponse {
    let out = node.catalog().fleet.domains.get(&node.cfg.domain).is_some_and(|d| d.value.evacuated);
    match phase(node) {
        "serving" if out => plain(503, "the failure domain is out\n"),
        "serving" => plain(200, "ready\n"),
        "starting" => plain(503, "no configuration yet\n"),
        _ => plain(503, "leaving\n"),
    }
}

async fn post_ticket(node: &Arc<Node>, req: Request<Incoming>) -> FullResponse {
    let Ok(body) = read_body(req.into_body(), MAX_CONFIG_BYTES).await else {
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
    let Ok(body) = read_body(req.into_body(), MAX_CONFIG_BYTES).await else {
        return plain(400, "no body\n");
    };
    match serde_json::from_slice::<FaultSet>(&body) {
        Ok(set) => {
            node.peers.links.close(&set.cut_peers);
            node.peers.faults.set(set);
            plain(200, "set\n")
        }
        Err(e) => plain(400, format!("{e}\n")),
    }
}

/// Returns the state of the process.
pub(crate) fn dump(node: &Node) -> Dump {
    let (now, view) = (node.now(), node.tier.view());
    let upstream = |(key, server): (_, &Server)| {
        let dump = node.tier.live.with_or_insert(key, Live::default, |live| UpstreamDump {
            under_way: live.learned.in_flight(),
            slowness: live.learned.latency_ratio(now),
            ejected: live.learned.outlier.is_ejected(),
            cold: now < server.cold_until.max(live.learned.cold_until()),
            draining: server.report.draining || live.learned.is_draining(),
            held: live.learned.held(),
        });
        (server.report.id.clone(), dump)
    };
    let mut upstreams: indexmap::IndexMap<_, _> = view.servers().map(upstream).collect();
    upstreams.sort_keys();
    Dump {
        instance: node.me.id.clone(),
        domain: node.cfg.domain.clone(),
        phase: phase(node).to_owned(),
        uptime_ms: now.0 / 1_000,
        config: node.catalog().version(),
        flights: node.tier.flights(),
        platform: node.platform_answers(),
        watches: node.peers.is_watcher(),
        instances: node.tier.instances(),
        members: node.peers.members(),
        upstreams,
        links: node.peers.links.open_peers(),
    }
}

fn phase(node: &Node) -> &'static str {
    if node.tier.leaving() {
        "leaving"
    } else if node.tier.ready() {
        "serving"
    } else {
        "starting"
    }
}
