//! Upstreams as this project sees them, and the headers of their HTTP protocol.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::coordination::admission::Done;
use crate::coordination::attempt::{Attempt, Label, Outcome, Said, Waiting};
use crate::state::arena::UpstreamKey;
use crate::state::fleet::Snapshot;
use crate::state::news::Held;

/// Path of a request.
pub const RUN: &str = "/v1/run";
/// Path of a cancellation.
pub const CANCEL: &str = "/v1/cancel";
/// Path of an upstream's report on itself.
pub const STATUS: &str = "/v1/status";
/// Header with the number of the caller's request.
pub const REQUEST: HeaderName = HeaderName::from_static("x-request");
/// Header with the number of the attempt.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt");
/// Header with the shard.
pub const SHARD: HeaderName = HeaderName::from_static("x-shard");
/// Header with the snapshot.
pub const SNAPSHOT: HeaderName = HeaderName::from_static("x-snapshot");
/// Header with the time left, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Header of an answer: the length of its body.
pub const LENGTH: HeaderName = HeaderName::from_static("x-length");
/// Header of an answer: mark of the upstream's run.
pub const BOOT: HeaderName = HeaderName::from_static("x-boot");
/// Header of an answer: oldest and newest snapshot held, as `3-5`.
pub const HELD: HeaderName = HeaderName::from_static("x-held");
/// Header of an answer: the upstream is draining.
pub const DRAINING: HeaderName = HeaderName::from_static("x-draining");
/// Header of a refusal: `shed`, `draining`, `not-held`, `too-late` or `cancelled`; the request was not run.
pub const REFUSED: HeaderName = HeaderName::from_static("x-refused");

/// What an upstream tells of itself with each answer, and when asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Told {
    /// Mark of its run.
    pub boot: Option<u64>,
    /// Snapshots that it holds.
    pub held: Option<Held>,
    /// It is draining.
    pub draining: bool,
}

/// An upstream to call.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Its key.
    pub key: UpstreamKey,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Most connections to hold open.
    pub connections: u32,
}

/// A request to an upstream.
pub struct Call {
    /// The attempt.
    pub attempt: Attempt<Waiting>,
    /// The body.
    pub body: Bytes,
    /// Time left.
    pub left: Duration,
    /// Time after which a reused connection that gives no answer counts as silent.
    pub patience: Option<Duration>,
    /// Fires when the answer is no longer wanted; the call still ends only when the slot is free.
    pub cancel: CancellationToken,
}

/// The end of a call.
#[derive(Debug)]
pub struct Ended {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// What it says of the upstream.
    pub done: Done,
    /// What the upstream told of itself.
    pub told: Option<Told>,
}

/// The upstreams; another protocol may stand behind it.
pub trait Upstreams: Send + Sync + 'static {
    /// Runs a request; ends only when the upstream's slot is free again.
    fn call(&self, target: Target, call: Call) -> BoxFuture<'_, Ended>;
    /// Asks an upstream about itself.
    fn status(&self, target: Target) -> BoxFuture<'_, Option<Told>>;
    /// Closes all connections to an upstream.
    fn forget(&self, key: UpstreamKey);
}

/// Writes a label into headers.
pub fn put_label(headers: &mut HeaderMap, label: &Label) {
    headers.insert(REQUEST, label.request.into());
    headers.insert(ATTEMPT, label.attempt.into());
    if let Ok(shard) = HeaderValue::from_str(&label.shard) {
        headers.insert(SHARD, shard);
    }
    if let Some(snapshot) = label.snapshot {
        headers.insert(SNAPSHOT, snapshot.0.into());
    }
}

/// Reads a label from headers; a header that is missing or given twice makes none.
pub fn label(headers: &HeaderMap) -> Option<Label> {
    let snapshot = match headers.contains_key(SNAPSHOT) {
        true => Some(Snapshot(number(headers, &SNAPSHOT)?)),
        false => None,
    };
    Some(Label {
        request: number(headers, &REQUEST)?,
        attempt: number(headers, &ATTEMPT)?,
        shard: text(headers, &SHARD)?.to_owned(),
        snapshot,
    })
}

/// Reads what an upstream tells of itself.
pub fn told(headers: &HeaderMap) -> Told {
    let held = text(headers, &HELD).and_then(|s| s.split_once('-')).and_then(|(a, b)| {
        Some(Held { oldest: Snapshot(a.parse().ok()?), newest: Snapshot(b.parse().ok()?) })
    });
    Told { boot: number(headers, &BOOT), held, draining: headers.contains_key(DRAINING) }
}

/// Reads a refusal.
pub fn said(headers: &HeaderMap) -> Option<Said> {
    match text(headers, &REFUSED)? {
        "shed" => Some(Said::Shed),
        "draining" => Some(Said::Draining),
        "not-held" => Some(Said::NotHeld(told(headers).held)),
        "too-late" => Some(Said::TooLate),
        "cancelled" => Some(Said::Cancelled),
        _ => None,
    }
}

/// Reads a header that may be given only once.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut all = headers.get_all(name).iter();
    let first = all.next()?;
    if all.next().is_some() {
        return None;
    }
    first.to_str().ok()
}

/// Reads a header with a whole number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
