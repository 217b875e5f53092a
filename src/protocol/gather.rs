//! Messages that forward a sharded request to another instance, the gatherer.

use std::ops::Range;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};

use crate::coordination::gatherers::GatherRefusal;
use crate::protocol::codec::OutgoingRequest;
use crate::state::time::Tick;

/// A sharded request with all that the gatherer needs to run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatherRequest {
    /// Identity of the request, which servers echo.
    pub id: String,
    /// Version of the route table that matched the request.
    pub version: u64,
    /// Name of the route.
    pub route: String,
    /// The shards to gather, as a range of those of the route.
    pub shards: Range<usize>,
    method: String,
    uri: String,
    headers: Vec<(String, Bytes)>,
    body: Bytes,
    /// Time of sending, by the gatherer's clock as the sender estimates it.
    pub sent: Tick,
    /// Time from sending until it is answered with the parts that have arrived.
    pub soft: Duration,
    /// Time from sending until it fails without an answer.
    pub hard: Duration,
}

/// The part of a route that a request is forwarded for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatherScope {
    /// Name of the route.
    pub route: String,
    /// Version of the route table.
    pub version: u64,
    /// The shards to gather, as a range of those of the route.
    pub shards: Range<usize>,
}

/// The time of sending and the deadlines of a forwarded request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatherTimes {
    /// Time of sending, by the gatherer's clock as the sender estimates it.
    pub sent: Tick,
    /// Time from sending until it is answered with the parts that have arrived.
    pub soft: Duration,
    /// Time from sending until it fails without an answer.
    pub hard: Duration,
}

/// The result of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum GatherResult {
    /// The gatherer returned an answer.
    Answer {
        /// The highest-ranked records of all parts.
        body: Bytes,
        /// Signatures of the parts.
        signatures: Vec<Bytes>,
        /// Number of shards that are missing from the answer.
        missing: usize,
    },
    /// The gatherer declined it and sent nothing to any server; the sender may gather it itself.
    NotTaken(GatherRefusal),
    /// It failed and no server ran it.
    NotRun {
        /// When to try again, if servers asked for time.
        retry_after: Option<Duration>,
    },
    /// It failed and some server may have run it.
    GivenUp {
        /// Its deadline had passed.
        late: bool,
    },
}

impl GatherRequest {
    /// Builds the message from a request to servers and the part of the route that matched.
    pub fn new(id: &str, scope: GatherScope, out: &OutgoingRequest, times: GatherTimes) -> Self {
        let encode_header = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
        };
        Self {
            id: id.to_owned(),
            version: scope.version,
            route: scope.route,
            shards: scope.shards,
            method: out.method.as_str().to_owned(),
            uri: out.uri.to_string(),
            headers: out.headers.iter().map(encode_header).collect(),
            body: out.body.clone(),
            sent: times.sent,
            soft: times.soft,
            hard: times.hard,
        }
    }

    /// Returns the size of the body, in bytes.
    pub(crate) fn body_size(&self) -> usize {
        self.body.len()
    }

    /// Returns the request to send to servers.
    ///
    /// # Errors
    /// When the method, the URI or a header is not valid HTTP.
    pub fn to_outgoing(&self) -> Result<OutgoingRequest> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            let name: HeaderName = name.parse().with_context(|| format!("header `{name}`"))?;
            headers.append(name, HeaderValue::from_bytes(value)?);
        }
        Ok(OutgoingRequest {
            method: Method::from_bytes(self.method.as_bytes())?,
            uri: self.uri.parse::<Uri>().with_context(|| format!("path `{}`", self.uri))?,
            headers,
            body: self.body.clone(),
            labels: vec![self.id.clone()],
        })
    }
}
