//! How requests, answers and refusals look on the wire: one codec towards servers, one towards callers.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, StatusCode, Uri, http::response};

use crate::coordination::attempt::UpstreamRefusal;
use crate::state::snapshot_range::SnapshotRange;

/// A request as servers get it, before a server is chosen.
#[derive(Clone, Debug, Default)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that all servers get.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the servers of each shard echo; one label stands for all shards.
    pub labels: Vec<String>,
}

impl OutgoingRequest {
    /// Returns what the servers of a shard echo.
    pub fn label(&self, shard: usize) -> &str {
        let label = self.labels.get(shard).or(self.labels.first());
        label.map_or("", String::as_str)
    }
}

/// What the head of a server's answer tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// It is the head of an answer that counts, if the rest is whole.
    pub is_answer: bool,
    /// The server's word that it did not run the request.
    pub refusal: Option<UpstreamRefusal>,
    /// The label that it echoes.
    pub label: Option<String>,
    /// Length of the body, if the server states it beside the protocol's own framing.
    pub stated_length: Option<usize>,
    /// Requests running and waiting there, and its slots.
    pub load: Option<(u32, u32)>,
    /// The server's signature of the answer.
    pub signature: Option<HeaderValue>,
    /// How long it keeps an idle connection.
    pub idle_timeout: Option<Duration>,
    /// Mark of this run of the server.
    pub boot_id: Option<u64>,
    /// The snapshots that it holds.
    pub held: Option<SnapshotRange>,
    /// It is leaving.
    pub draining: bool,
}

/// A codec towards servers.
pub trait ServerCodec: Send + Sync + 'static {
    /// Returns the headers of a request for a server of a shard, which may take as long as `left`.
    fn request_headers(
        &self,
        out: &OutgoingRequest,
        shard: usize,
        server: &str,
        left: Duration,
    ) -> HeaderMap;
    /// Reads the head of a server's answer.
    fn parse_response_head(&self, head: &response::Parts) -> ResponseHead;
}

/// What a caller asks beside method, path and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Identity of the request, which servers echo.
    pub id: String,
    /// How long the caller waits, if it said.
    pub timeout: Option<Duration>,
}

/// Why a caller gets no server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// No routes are known yet.
    NoRoutes,
    /// No route matches.
    NoRoute,
    /// The request has no identity.
    NoId,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not come in time.
    TooSlow,
    /// The body ended early.
    Broken,
    /// It has not run and will not; asking again after this time may help.
    NotRun {
        /// When to ask again.
        after: Duration,
    },
    /// It may have run, and no answer came.
    Failed,
    /// It may have run, and no answer came in time.
    TimedOut,
}

impl DeclineReason {
    /// Returns a word for logs and metrics.
    pub fn kind(self) -> &'static str {
        match self {
            DeclineReason::NoRoutes => "no_routes",
            DeclineReason::NoRoute => "no_route",
            DeclineReason::NoId => "no_id",
            DeclineReason::TooLarge => "too_large",
            DeclineReason::TooSlow => "too_slow",
            DeclineReason::Broken => "broken_body",
            DeclineReason::NotRun { .. } => "not_run",
            DeclineReason::Failed => "failed",
            DeclineReason::TimedOut => "timed_out",
        }
    }
}

/// A codec towards callers whose requests are passed on by routes.
pub trait CallerCodec: Send + Sync + 'static {
    /// Reads what a caller asks; `None` when the request has no identity.
    fn parse_request(&self, headers: &HeaderMap) -> Option<CallerRequest>;
    /// Returns the headers of a caller's request that concern servers.
    fn forwarded_request_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Returns the headers of a server's answer that concern callers.
    fn forwarded_response_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Says whether a server's status may be passed on though the server may have run the request.
    fn can_forward_status(&self, status: StatusCode) -> bool;
    /// Returns the headers of an answer made of parts.
    fn gathered_headers(&self, signatures: &[HeaderValue], missing: usize) -> HeaderMap;
    /// Returns status and headers for a request that gets no server's answer.
    fn decline_response(&self, declined: DeclineReason) -> (StatusCode, HeaderMap);
    /// Returns the size of a record in a part, in bytes.
    fn record_size(&self) -> usize;
}
