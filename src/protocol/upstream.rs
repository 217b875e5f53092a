//! The codec for upstreams that speak the project's own HTTP protocol.

use std::time::Duration;

use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response;
use hyper::{HeaderMap, StatusCode};

use crate::coordination::attempt::{Label, UpstreamRefusal};
use crate::protocol::codec::{OutgoingRequest, ResponseHead, ServerCodec};
use crate::state::fleet::Snapshot;
use crate::state::snapshot_range::SnapshotRange;

/// Request URI that runs a request.
pub const RUN_URI: &str = "/v1/run";
/// Request URI that reports the snapshots an upstream holds; it takes no slot there.
pub const STATUS_URI: &str = "/v1/status";
/// Label of the attempt: request, attempt, snapshot and shard; the upstream echoes it in every response.
pub const LABEL: HeaderName = HeaderName::from_static("x-label");
/// Snapshot from which a query is answered.
pub const SNAPSHOT: HeaderName = HeaderName::from_static("x-snapshot");
/// Shard to which the request is sent.
pub const SHARD: HeaderName = HeaderName::from_static("x-shard");
/// Time left until the deadline, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Length of the response body, in bytes.
pub const LENGTH: HeaderName = HeaderName::from_static("x-length");
/// Identifier that changes when the upstream restarts.
pub const BOOT: HeaderName = HeaderName::from_static("x-boot");
/// Oldest and newest snapshot that the upstream holds, as `OLDEST-NEWEST`.
pub const HELD: HeaderName = HeaderName::from_static("x-held");
/// Requests running, requests queued and slots, as `RUNNING,QUEUED,SLOTS`.
pub const LOAD: HeaderName = HeaderName::from_static("x-load");
/// Set when the upstream is draining.
pub const DRAINING: HeaderName = HeaderName::from_static("x-draining");
/// Requests per second that the upstream takes from all instances together, for as long as its responses state it.
pub const LIMIT: HeaderName = HeaderName::from_static("x-limit");
/// Reason why the upstream did not run the request.
pub const REFUSED: HeaderName = HeaderName::from_static("x-refused");

/// The codec for upstreams that speak the project's own protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamCodec;

impl ServerCodec for UpstreamCodec {
    fn request_headers(
        &self,
        out: &OutgoingRequest,
        shard: usize,
        _: &str,
        time_left: Duration,
    ) -> HeaderMap {
        let mut headers = out.headers.clone();
        let text = out.label(shard);
        if let Ok(label) = HeaderValue::from_str(text) {
            headers.insert(LABEL, label);
        }
        if let Some(label) = parse_label(text) {
            if let Ok(shard) = HeaderValue::from_str(&label.shard) {
                headers.insert(SHARD, shard);
            }
            if let Some(snapshot) = label.snapshot {
                headers.insert(SNAPSHOT, snapshot.0.into());
            }
        }
        headers.insert(DEADLINE_MS, (time_left.as_millis().max(1) as u64).into());
        headers
    }

    fn parse_response_head(&self, head: &response::Parts) -> ResponseHead {
        let headers = &head.headers;
        ResponseHead {
            is_answer: head.status == StatusCode::OK && headers.contains_key(LABEL),
            refusal: parse_refusal(headers),
            label: header_text(headers, &LABEL).map(str::to_owned),
            stated_length: Some(header_number(headers, &LENGTH).map_or(usize::MAX, |n| n as usize)),
            load: header_text(headers, &LOAD).and_then(parse_load),
            boot_id: header_number(headers, &BOOT),
            held: parse_held(headers),
            draining: headers.contains_key(DRAINING),
            ..Default::default()
        }
        .with_backoff(head)
        .with_rate_limit(head, &LIMIT)
    }
}

/// Parses the label of an attempt.
pub fn parse_label(text: &str) -> Option<Label> {
    let mut parts = text.splitn(4, '.');
    let (request, attempt) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    let snapshot = match parts.next()? {
        "-" => None,
        number => Some(Snapshot(number.parse().ok()?)),
    };
    Some(Label { request, attempt, snapshot, shard: parts.next()?.to_owned() })
}

/// Parses the load that a server reports: the number of requests running or queued, and its slots.
pub fn parse_load(text: &str) -> Option<(u32, u32)> {
    let mut numbers = text.split(',').map(|n| n.trim().parse::<u32>().ok());
    let (running, queued, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
    Some((running.saturating_add(queued), slots))
}

fn parse_held(headers: &HeaderMap) -> Option<SnapshotRange> {
    let (oldest, newest) = header_text(headers, &HELD)?.split_once('-')?;
    Some(SnapshotRange {
        oldest: Snapshot(oldest.parse().ok()?),
        newest: Snapshot(newest.parse().ok()?),
    })
}

fn parse_refusal(headers: &HeaderMap) -> Option<UpstreamRefusal> {
    match header_text(headers, &REFUSED)? {
        "shed" => Some(UpstreamRefusal::Shed),
        "draining" => Some(UpstreamRefusal::Draining),
        "not-held" => Some(UpstreamRefusal::NotHeld(parse_held(headers))),
        "too-late" => Some(UpstreamRefusal::TooLate),
        _ => None,
    }
}

/// Returns the value of a header as plain text; `None` if it is missing or repeated.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut all = headers.get_all(name).iter();
    let first = all.next()?;
    if all.next().is_some() {
        return None;
    }
    first.to_str().ok()
}

/// Returns the value of a header as a number; `None` if it is missing, repeated or no number.
pub fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}
