//! The operators' listener: health checks, metrics, the state dump, tickets and fault injection.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request};
use serde_json::json;

use crate::coordination::tickets::MAX_CONFIG_BYTES;
use crate::protocol::dump::{Dump, UpstreamDump};
use crate::protocol::platform::ticket_key;
use crate::state::ticket::Ticket;
use crate::state::topology::Server;
use crate::transport::admission::{Receiving, RequestHold};
use crate::transport::faults::FaultSet;
use crate::transport::http::{
    BodyError, FullResponse, READ_TIMEOUT, json_response, read_body, text_response,
};
use crate::transport::node::Node;
use crate::transport::operators::submit::{SubmitResult, submit};
use crate::transport::upstreams::tier::ServerState;

/// Time that a submission may take: three calls to the platform, each with its timeout.
const SUBMIT_TIME: Duration = Duration::from_millis(4_500);

/// Handles one request to the operators' listener.
pub(crate) async fn handle(
    node: Arc<Node>,
    req: Request<Incoming>,
    hold: RequestHold<Receiving>,
) -> FullResponse {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/live") => text_response(200, "live\n"),
        (&Method::GET, "/ready") => ready(&node),
        (&Method::GET, "/metrics") => metrics(&node),
        (&Method::GET, "/v1/dump") => json_response(200, &dump(&node)),
        (&Method::GET, "/v1/config") => json_response(200, &node.catalog().fleet),
        (&Method::POST, "/v1/tickets") => post_ticket(&node, req, hold).await,
        (&Method::GET, path) if path.starts_with("/v1/tickets/") => show_ticket(&node, path).await,
        (&Method::POST, "/v1/faults") if node.cfg.test_faults => set_faults(&node, req, hold).await,
        _ => text_response(404, "no such path; see docs/OPERATIONS.md\n"),
    }
}

fn metrics(node: &Node) -> FullResponse {
    let metrics = &node.tier.metrics;
    metrics.link_bytes.set(node.peers.links.sent_bytes.load(Ordering::Relaxed) as i64);
    metrics.config_version.set(node.catalog().version() as i64);
    metrics.requests_in_flight.set(node.tier.requests_in_flight() as i64);
    text_response(200, node.tier.metrics())
}

fn ready(node: &Node) -> FullResponse {
    let evacuated =
        node.catalog().fleet.domains.get(&node.cfg.domain).is_some_and(|d| d.value.evacuated);
    match phase(node) {
        "serving" if evacuated => text_response(503, "the failure domain is out\n"),
        "serving" => text_response(200, "ready\n"),
        "starting" => text_response(503, "no configuration yet\n"),
        _ => text_response(503, "leaving\n"),
    }
}

async fn post_ticket(
    node: &Arc<Node>,
    req: Request<Incoming>,
    hold: RequestHold<Receiving>,
) -> FullResponse {
    let _in_progress = node.tier.track_change();
    let received = read_body(req.into_body(), MAX_CONFIG_BYTES, READ_TIMEOUT, hold).await;
    let (body, _hold) = match received {
        Ok(received) => received,
        Err(BodyError::NoRoom) => {
            let error = "too many tickets are being received; nothing was changed";
            return json_response(503, &json!({ "away": error }));
        }
        Err(_) => {
            let problem = "no whole ticket of at most a megabyte";
            return json_response(400, &json!({"refused": [{"place": "", "problem": problem}]}));
        }
    };
    let ticket: Ticket = match serde_json::from_slice(&body) {
        Ok(ticket) => ticket,
        Err(e) => {
            let place = format!("line {}, column {}", e.line(), e.column());
            return json_response(
                400,
                &json!({"refused": [{"place": place, "problem": e.to_string()}]}),
            );
        }
    };
    if !node.tier.admits(SUBMIT_TIME) {
        let error = "the instance stops; nothing was changed";
        return json_response(503, &json!({ "away": error }));
    }
    match submit(node, ticket).await {
        SubmitResult::Accepted(version) => json_response(200, &json!({ "accepted": version })),
        SubmitResult::Refused(findings) => json_response(409, &json!({ "refused": findings })),
        SubmitResult::PlatformUnavailable(error) => json_response(503, &json!({ "away": error })),
        SubmitResult::OutcomeUnknown(error) => json_response(504, &json!({ "unknown": error })),
    }
}

async fn show_ticket(node: &Node, path: &str) -> FullResponse {
    let number = path.trim_start_matches("/v1/tickets/").parse::<u64>();
    let Ok(number) = number else {
        return text_response(400, "the number of a ticket is a whole number\n");
    };
    match node.platform.get(&ticket_key(number)).await {
        Ok(Some(object)) => text_response(200, object.value),
        Ok(None) => text_response(404, format!("no ticket {number}\n")),
        Err(e) => text_response(503, format!("{e}\n")),
    }
}

async fn set_faults(
    node: &Node,
    req: Request<Incoming>,
    hold: RequestHold<Receiving>,
) -> FullResponse {
    let received = read_body(req.into_body(), MAX_CONFIG_BYTES, READ_TIMEOUT, hold).await;
    let Ok((body, _hold)) = received else {
        return text_response(400, "no body\n");
    };
    match serde_json::from_slice::<FaultSet>(&body) {
        Ok(set) => {
            node.peers.links.close(&set.cut_peers);
            node.peers.faults.set(set);
            text_response(200, "set\n")
        }
        Err(e) => text_response(400, format!("{e}\n")),
    }
}

/// Returns a dump of the process's state.
pub(crate) fn dump(node: &Node) -> Dump {
    let (now, topology) = (node.now(), node.tier.view());
    let upstream = |(key, server): (_, &Server)| {
        let dump =
            node.tier.servers.with_or_insert(key, ServerState::default, |state| UpstreamDump {
                under_way: state.stats.in_flight(),
                slowness: state.stats.latency_ratio(now),
                ejected: state.stats.outlier.is_ejected(),
                cold: now < server.cold_until.max(state.stats.cold_until()),
                draining: server.report.draining || state.stats.notices.is_draining(),
                held: state.stats.held(),
            });
        (server.report.id.clone(), dump)
    };
    let mut upstreams: indexmap::IndexMap<_, _> = topology.servers().map(upstream).collect();
    upstreams.sort_keys();
    Dump {
        instance: node.me.id.clone(),
        domain: node.cfg.domain.clone(),
        phase: phase(node).to_owned(),
        uptime_ms: now.0 / 1_000,
        config: node.catalog().version(),
        flights: node.tier.requests_in_flight(),
        platform: node.is_platform_reachable(),
        watches: node.peers.is_watcher(),
        instances: node.tier.instances(),
        members: node.peers.members(),
        upstreams,
        links: node.peers.links.open_peers(),
    }
}

fn phase(node: &Node) -> &'static str {
    if node.tier.is_leaving() {
        "leaving"
    } else if node.tier.is_ready() {
        "serving"
    } else {
        "starting"
    }
}
