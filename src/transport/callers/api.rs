//! The HTTP API for callers: `/v1/query/SERVICE` and `/v1/request/SERVICE`.

use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::{Method, Request};

use crate::coordination::attempt::{Fault, NotRunCode};
use crate::protocol::caller::{MAX_BODY_BYTES, QueryAnswer, Refusal, RequestOptions};
use crate::protocol::retry_after::retry_after_value;
use crate::transport::admission::{Receiving, RequestHold, Working};
use crate::transport::callers::frontend::{Arrival, Handler};
use crate::transport::callers::{once, query};
use crate::transport::http::{
    BodyError, FullResponse, READ_TIMEOUT, json_response, read_body, text_response,
};
use crate::transport::node::Node;
use crate::transport::upstreams::tier::RequestGuard;

/// The handler of the HTTP API.
pub(crate) struct ApiHandler(pub(crate) Arc<Node>);

impl Handler for ApiHandler {
    fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
        _: Arrival,
        hold: RequestHold<Receiving>,
    ) -> impl Future<Output = FullResponse> + Send {
        handle_request(self.0.clone(), req, hold)
    }

    fn give_up(&self) -> FullResponse {
        refusal_response(&self.0, &Refusal::OutcomeUnknown { reason: Fault::Timeout })
    }
}

/// Admits a request unless too many are in flight; it counts as in flight until the guard is dropped.
fn admit(node: &Node) -> Result<RequestGuard, Refusal> {
    if node.tier.requests_in_flight() >= node.cfg.max_requests {
        return Err(Refusal::not_run(NotRunCode::Overloaded));
    }
    Ok(node.tier.track_request())
}

/// Refuses a request whose deadline is after the end of a planned stop.
fn refuse_late(node: &Node, service: &str, options: &RequestOptions) -> Result<(), Refusal> {
    let catalog = node.catalog();
    let deadline = catalog.service(service).map(|(_, s)| s.policy.hard_deadline(options.deadline));
    if node.tier.admits(deadline.unwrap_or_default()) {
        return Ok(());
    }
    Err(Refusal::not_run(NotRunCode::Stopping))
}

/// Routes a request by method and path; a refusal becomes a JSON response.
async fn handle_request(
    node: Arc<Node>,
    req: Request<Incoming>,
    hold: RequestHold<Receiving>,
) -> FullResponse {
    let path = req.uri().path().to_owned();
    let response =
        match (req.method(), path.strip_prefix("/v1/query/"), path.strip_prefix("/v1/request/")) {
            (&Method::POST, Some(service), _) => answer_query(&node, service, req, hold).await,
            (&Method::POST, _, Some(service)) => answer_request(&node, service, req, hold).await,
            (_, None, None) => return text_response(404, "no such path; see docs/API.md\n"),
            _ => return text_response(405, "use POST\n"),
        };
    response.unwrap_or_else(|refusal| refusal_response(&node, &refusal))
}

fn refusal_response(node: &Node, refusal: &Refusal) -> FullResponse {
    node.tier.metrics.requests.with_label_values(&[refusal.kind()]).inc();
    let mut res = json_response(refusal.status(), refusal);
    if let Some(after) = refusal.retry_after() {
        res.headers_mut().insert(RETRY_AFTER, retry_after_value(after));
    }
    res
}

async fn read_request(
    req: Request<Incoming>,
    hold: RequestHold<Receiving>,
) -> Result<(RequestOptions, Bytes, RequestHold<Working>), Refusal> {
    let options = RequestOptions::from_headers(req.headers())
        .map_err(|detail| Refusal::BadRequest { detail })?;
    let time_left = options.deadline.unwrap_or(READ_TIMEOUT);
    let received = read_body(req.into_body(), MAX_BODY_BYTES, time_left, hold).await;
    let (body, hold) = received.map_err(|e| match e {
        BodyError::TooLarge => Refusal::TooLarge { most: MAX_BODY_BYTES },
        BodyError::TooSlow => Refusal::TooSlow,
        BodyError::Broken => Refusal::BadRequest { detail: "the body ended early".into() },
        BodyError::NoRoom => Refusal::not_run(NotRunCode::Overloaded),
    })?;
    Ok((options, body, hold))
}

async fn answer_query(
    node: &Arc<Node>,
    service: &str,
    req: Request<Incoming>,
    hold: RequestHold<Receiving>,
) -> Result<FullResponse, Refusal> {
    let _in_flight = admit(node)?;
    let (options, body, _hold) = read_request(req, hold).await?;
    if options.key.is_some() {
        let detail = "idempotency-key: queries are idempotent and take none".into();
        return Err(Refusal::BadRequest { detail });
    }
    refuse_late(node, service, &options)?;
    let timer = node.tier.metrics.answer_seconds.start_timer();
    let answer = query::run_query(node, service, options, body).await?;
    timer.observe_duration();
    let outcome = if answer.missing.is_empty() { "answered" } else { "answered_in_part" };
    node.tier.metrics.requests.with_label_values(&[outcome]).inc();
    Ok(json_response(200, &QueryAnswer::from(answer)))
}

async fn answer_request(
    node: &Arc<Node>,
    service: &str,
    req: Request<Incoming>,
    hold: RequestHold<Receiving>,
) -> Result<FullResponse, Refusal> {
    let in_flight = admit(node)?;
    let (options, body, _hold) = read_request(req, hold).await?;
    refuse_late(node, service, &options)?;
    let answer = once::run_request(node, service, options, body, in_flight).await?;
    Ok(json_response(200, &answer))
}
