//! The listener for callers.

use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request};

use crate::protocol::caller::{MOST_BYTES, QueryAnswer, Refusal, Wishes};
use crate::transport::entry::{self, InFlight};
use crate::transport::http::{BodyError, FullResponse, json, plain, read_body};
use crate::transport::node::Node;
use crate::transport::once_request;

/// Handles one request of a caller.
pub(crate) async fn handle(node: Arc<Node>, req: Request<Incoming>) -> FullResponse {
    let path = req.uri().path().to_owned();
    let answer =
        match (req.method(), path.strip_prefix("/v1/query/"), path.strip_prefix("/v1/request/")) {
            (&Method::POST, Some(service), _) => query(&node, service, req).await,
            (&Method::POST, _, Some(service)) => request(&node, service, req).await,
            (_, None, None) => return plain(404, "no such path; see docs/API.md\n"),
            _ => return plain(405, "use POST\n"),
        };
    answer.unwrap_or_else(|refusal| {
        node.metrics.refusals.with_label_values(&[refusal.kind()]).inc();
        json(refusal.status(), &refusal)
    })
}

async fn read(req: Request<Incoming>) -> Result<(Wishes, Bytes), Refusal> {
    let wishes = Wishes::read(req.headers()).map_err(|detail| Refusal::BadRequest { detail })?;
    let body = read_body(req.into_body(), MOST_BYTES).await.map_err(|e| match e {
        BodyError::TooLarge => Refusal::TooLarge { most: MOST_BYTES },
        BodyError::TooSlow => Refusal::TooSlow,
        BodyError::Broken => Refusal::BadRequest { detail: "the body ended early".into() },
    })?;
    Ok((wishes, body))
}

async fn query(
    node: &Arc<Node>,
    service: &str,
    req: Request<Incoming>,
) -> Result<FullResponse, Refusal> {
    let _flight = InFlight::new(node)?;
    let (wishes, body) = read(req).await?;
    if wishes.key.is_some() {
        let detail = "idempotency-key: queries are idempotent and take none".into();
        return Err(Refusal::BadRequest { detail });
    }
    let timer = node.metrics.answer_seconds.start_timer();
    let answer = entry::query(node, service, wishes, body).await?;
    timer.observe_duration();
    node.metrics.answers.inc();
    for (_, reason) in &answer.missing {
        node.metrics.missing.with_label_values(&[&format!("{reason:?}")]).inc();
    }
    if answer.missing.is_empty() {
        node.metrics.answers_whole.inc();
    }
    Ok(json(200, &QueryAnswer::from(answer)))
}

async fn request(
    node: &Arc<Node>,
    service: &str,
    req: Request<Incoming>,
) -> Result<FullResponse, Refusal> {
    let _flight = InFlight::new(node)?;
    let (wishes, body) = read(req).await?;
    let answer = once_request::request(node, service, wishes, body).await?;
    Ok(json(200, &answer))
}
