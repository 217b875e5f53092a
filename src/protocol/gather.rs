//! A request over shards that one instance hands to another, which gathers its parts.

use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};

use crate::coordination::gatherers::GatherRefusal;
use crate::protocol::codec::OutgoingRequest;
use crate::state::time::Tick;

/// A request over shards with all that a gatherer needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatherRequest {
    /// Identity of the request, which servers echo.
    pub id: String,
    /// Version of the routes that it was matched with.
    pub version: u64,
    /// Name of the route.
    pub route: String,
    method: String,
    uri: String,
    headers: Vec<(String, Bytes)>,
    body: Bytes,
    /// When it was sent, by the sender's clock.
    pub sent: Tick,
    /// Time left, when it was sent, until it is answered with what there is.
    pub soft: Duration,
    /// Time left, when it was sent, until it is given up.
    pub hard: Duration,
}

/// Times of a request that is handed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatherTimes {
    /// When it is sent, by the sender's clock.
    pub sent: Tick,
    /// Time left until it is answered with what there is.
    pub soft: Duration,
    /// Time left until it is given up.
    pub hard: Duration,
}

/// What came of a request that was handed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum GatherResult {
    /// An answer.
    Answer {
        /// The greatest records of all parts.
        body: Bytes,
        /// The signature of each part.
        signatures: Vec<Bytes>,
        /// Shards that are left out.
        missing: usize,
    },
    /// Nothing was sent to any server, and the sender may gather it itself.
    NotTaken(GatherRefusal),
    /// No server ran it.
    NotRun,
    /// Some server may have run it; whether its time was over.
    GivenUp {
        /// Its time was over.
        late: bool,
    },
}

impl GatherRequest {
    /// Builds the message from a request as servers get it.
    pub fn new(
        id: &str,
        (route, version): (String, u64),
        out: &OutgoingRequest,
        times: GatherTimes,
    ) -> Self {
        let header = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
        };
        Self {
            id: id.to_owned(),
            version,
            route,
            method: out.method.as_str().to_owned(),
            uri: out.uri.to_string(),
            headers: out.headers.iter().map(header).collect(),
            body: out.body.clone(),
            sent: times.sent,
            soft: times.soft,
            hard: times.hard,
        }
    }

    /// Returns the request as servers get it.
    ///
    /// # Errors
    /// When a part of it is not valid HTTP.
    pub fn outgoing(&self) -> Result<OutgoingRequest> {
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
