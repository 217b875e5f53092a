//! The interfaces of the codecs: one for servers, one for callers.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode, Uri, http::response};

use crate::coordination::attempt::UpstreamRefusal;
use crate::coordination::rate_limit::RateLimit;
use crate::protocol::rate_limit::{InvalidRateLimit, parse_rate_limit};
use crate::protocol::retry_after::{InvalidRetryAfter, parse_retry_after};
use crate::state::snapshot_range::SnapshotRange;

/// A request to servers, before a server is chosen.
#[derive(Clone, Debug, Default)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub uri: Uri,
    /// Headers that are sent to every server.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// The label that servers echo, for each shard; a single label applies to all shards.
    pub labels: Vec<String>,
}

impl OutgoingRequest {
    /// Returns the label that the servers of a shard echo.
    pub fn label(&self, shard: usize) -> &str {
        let label = self.labels.get(shard).or(self.labels.first());
        label.map_or("", String::as_str)
    }
}

/// The decoded head of a server's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The response is an answer to the request, if its body is complete.
    pub is_answer: bool,
    /// Why the server did not run the request, if it says so.
    pub refusal: Option<UpstreamRefusal>,
    /// The label that the server echoes.
    pub label: Option<String>,
    /// Length of the body in bytes, if the server states it in addition to HTTP framing.
    pub stated_length: Option<usize>,
    /// Number of requests running or queued on the server, and its slots.
    pub load: Option<(u32, u32)>,
    /// The server's signature of the response.
    pub signature: Option<HeaderValue>,
    /// How long the server keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// Identifier that changes when the server restarts.
    pub boot_id: Option<u64>,
    /// The snapshots that the server holds.
    pub held: Option<SnapshotRange>,
    /// The server is draining.
    pub draining: bool,
    /// How long the server wants no requests, if its refusal says so.
    pub backoff: Option<Duration>,
    /// What is wrong with the time that its refusal states, if it cannot be used.
    pub invalid_backoff: Option<InvalidRetryAfter>,
    /// The rate that the server takes from all instances together, if it names one.
    pub rate_limit: Option<RateLimit>,
    /// What is wrong with the rate that it names, if it cannot be used; what was known of it then holds.
    pub invalid_rate_limit: Option<InvalidRateLimit>,
}

impl ResponseHead {
    /// Adds what a refusal with status 503 says in `Retry-After`; other replies do not turn a request away for a time.
    pub fn with_backoff(self, head: &response::Parts) -> Self {
        if head.status != StatusCode::SERVICE_UNAVAILABLE {
            return self;
        }
        match parse_retry_after(&head.headers) {
            Ok(backoff) => Self { backoff, ..self },
            Err(e) => Self { invalid_backoff: Some(e), ..self },
        }
    }

    /// Adds the rate that a reply names in `header`.
    pub fn with_rate_limit(self, head: &response::Parts, header: &HeaderName) -> Self {
        match parse_rate_limit(&head.headers, header) {
            Ok(rate_limit) => Self { rate_limit, ..self },
            Err(e) => Self { invalid_rate_limit: Some(e), ..self },
        }
    }
}

/// Encodes requests to servers and decodes their responses.
pub trait ServerCodec: Send + Sync + 'static {
    /// Returns the headers of a request to a server of a shard; its deadline is `time_left` from now.
    fn request_headers(
        &self,
        out: &OutgoingRequest,
        shard: usize,
        server: &str,
        time_left: Duration,
    ) -> HeaderMap;
    /// Decodes the head of a server's response.
    fn parse_response_head(&self, head: &response::Parts) -> ResponseHead;
}

/// The decoded headers of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Identity of the request, which servers echo.
    pub id: String,
    /// How long the caller waits, if it states it.
    pub timeout: Option<Duration>,
}

/// Why a request is declined instead of answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// No route table has been received yet.
    NoRoutes,
    /// No route matches the request.
    NoRoute,
    /// The request has no identity.
    NoId,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body was not received in time.
    TooSlow,
    /// The body ended early.
    Broken,
    /// There is no room for the body among what is held for callers; it has not run.
    NoRoom,
    /// The request has not run and will not run; a retry may succeed.
    NotRun {
        /// Time after which to retry.
        after: Duration,
    },
    /// The request may have run, and every attempt failed.
    Failed,
    /// The request may have run, and its deadline passed without an answer.
    TimedOut,
}

impl DeclineReason {
    /// Returns the value of the outcome in logs and metrics.
    pub fn kind(self) -> &'static str {
        match self {
            DeclineReason::NoRoutes => "no_routes",
            DeclineReason::NoRoute => "no_route",
            DeclineReason::NoId => "no_id",
            DeclineReason::TooLarge => "too_large",
            DeclineReason::TooSlow => "too_slow",
            DeclineReason::Broken => "broken_body",
            DeclineReason::NoRoom => "no_room",
            DeclineReason::NotRun { .. } => "not_run",
            DeclineReason::Failed => "failed",
            DeclineReason::TimedOut => "timed_out",
        }
    }
}

/// Decodes callers' requests and encodes the responses, for requests forwarded by route.
pub trait CallerCodec: Send + Sync + 'static {
    /// Decodes the headers of a request; `None` if it has no identity.
    fn parse_request(&self, headers: &HeaderMap) -> Option<CallerRequest>;
    /// Returns the headers of a caller's request that are forwarded to servers.
    fn forwarded_request_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Returns the headers of a server's response that are forwarded to the caller.
    fn forwarded_response_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Returns whether a failure status may be forwarded to the caller although the server may have run
    /// the request.
    fn can_forward_status(&self, status: StatusCode) -> bool;
    /// Returns the headers of an answer that is gathered from parts.
    fn gathered_headers(&self, signatures: &[HeaderValue], missing: usize) -> HeaderMap;
    /// Returns the status and headers of the response to a declined request.
    fn decline_response(&self, reason: DeclineReason) -> (StatusCode, HeaderMap);
    /// Returns the size of a record in the body of a part, in bytes.
    fn record_size(&self) -> usize;
}
