//! Messages towards callers: JSON over HTTP.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use serde::{Deserialize, Serialize};

use crate::coordination::attempt::{Fault, NotRunCode};
use crate::coordination::query::{Answer, MissingReason};
use crate::protocol::upstream::DEADLINE_MS;
use crate::state::fleet::Preference;

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with what an answer gives up first: `tail` or `coverage`.
pub const PREFER: HeaderName = HeaderName::from_static("x-prefer");
/// Header with the shard that a non-idempotent request is for.
pub const SHARD: HeaderName = HeaderName::from_static("x-shard");
/// Most bytes of a request's body.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// Most bytes of an idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// What a caller asks for besides the body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestOptions {
    /// Time in which the answer is of use.
    pub deadline: Option<Duration>,
    /// What is given up first.
    pub prefer: Option<Preference>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Shard of a non-idempotent request.
    pub shard: Option<String>,
}

impl RequestOptions {
    /// Reads the headers of a request; all findings are reported together.
    pub fn read(headers: &HeaderMap) -> Result<Self, String> {
        let mut faults = Vec::new();
        let mut one = |name: &HeaderName| match single(headers, name) {
            Ok(value) => value,
            Err(fault) => {
                faults.push(fault);
                None
            }
        };
        let (deadline, prefer) = (one(&DEADLINE_MS), one(&PREFER));
        let (key, shard) = (one(&IDEMPOTENCY_KEY), one(&SHARD));
        let wishes = RequestOptions {
            deadline: deadline.and_then(|s| deadline_of(&s, &mut faults)),
            prefer: prefer.and_then(|s| prefer_of(&s, &mut faults)),
            key: key.and_then(|s| key_of(s, &mut faults)),
            shard,
        };
        if faults.is_empty() { Ok(wishes) } else { Err(faults.join("; ")) }
    }
}

fn single(headers: &HeaderMap, name: &HeaderName) -> Result<Option<String>, String> {
    let mut all = headers.get_all(name).iter();
    let Some(first) = all.next() else { return Ok(None) };
    if all.next().is_some() {
        return Err(format!("{name}: given twice"));
    }
    first.to_str().map(|s| Some(s.to_owned())).map_err(|_| format!("{name}: not plain text"))
}

fn deadline_of(s: &str, faults: &mut Vec<String>) -> Option<Duration> {
    match s.parse::<u64>() {
        Ok(ms) if (1..=60_000).contains(&ms) => Some(Duration::from_millis(ms)),
        _ => {
            faults.push(format!("{DEADLINE_MS}: must be a whole number from 1 to 60000"));
            None
        }
    }
}

fn prefer_of(s: &str, faults: &mut Vec<String>) -> Option<Preference> {
    match s {
        "tail" => Some(Preference::Tail),
        "coverage" => Some(Preference::Coverage),
        _ => {
            faults.push(format!("{PREFER}: must be `tail` or `coverage`"));
            None
        }
    }
}

fn key_of(s: String, faults: &mut Vec<String>) -> Option<String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if s.is_empty() || s.len() > MAX_KEY_BYTES || !s.chars().all(fits) {
        faults.push(format!(
            "{IDEMPOTENCY_KEY}: must have 1 to {MAX_KEY_BYTES} letters, digits, `-`, `_`, `.` or `:`"
        ));
        return None;
    }
    Some(s)
}

/// A shard's part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The shard.
    pub shard: String,
    /// The body, when it is text.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub text: Option<String>,
    /// The body in hexadecimal digits, when it is not.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub hex: Option<String>,
}

impl Part {
    /// Builds the part of a shard.
    pub fn new(shard: String, body: Bytes) -> Self {
        match String::from_utf8(body.into()) {
            Ok(text) => Self { shard, text: Some(text), hex: None },
            Err(e) => {
                let hex = e.as_bytes().iter().map(|b| format!("{b:02x}")).collect();
                Self { shard, text: None, hex: Some(hex) }
            }
        }
    }
}

/// A shard that is missing, with the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: String,
    /// The reason.
    pub reason: MissingReason,
}

/// What an answer covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards answered.
    pub answered: usize,
    /// Shards of the snapshot's own map.
    pub total: usize,
    /// Shards missing.
    pub missing: Vec<MissingShard>,
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// The snapshot that all parts are from.
    pub snapshot: u64,
    /// What it covers.
    pub coverage: Coverage,
    /// The parts.
    pub parts: Vec<Part>,
}

impl From<Answer> for QueryAnswer {
    fn from(answer: Answer) -> Self {
        let missing = |(shard, reason)| MissingShard { shard, reason };
        Self {
            snapshot: answer.snapshot.0,
            coverage: Coverage {
                answered: answer.parts.len(),
                total: answer.total,
                missing: answer.missing.into_iter().map(missing).collect(),
            },
            parts: answer.parts.into_iter().map(|(shard, body)| Part::new(shard, body)).collect(),
        }
    }
}

/// The answer to a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestAnswer {
    /// It was run by an earlier request with the same idempotency key.
    pub replayed: bool,
    /// The upstream's answer.
    pub part: Part,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum Refusal {
    /// It was not run and will not be.
    NotRun {
        /// The reason.
        reason: NotRunCode,
    },
    /// It may have been run; asking again may run it twice.
    OutcomeUnknown {
        /// The reason.
        reason: Fault,
    },
    /// The request is not well formed; it was not run.
    BadRequest {
        /// What is wrong with it.
        detail: String,
    },
    /// The body is too large; it was not run.
    TooLarge {
        /// Most bytes taken.
        most: usize,
    },
    /// The body came too slowly; it was not run.
    TooSlow,
}

impl Refusal {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::NotRun { reason: NotRunCode::UnknownService } => 404,
            Refusal::NotRun { reason: NotRunCode::KeyReused } => 409,
            Refusal::NotRun { .. } => 503,
            Refusal::OutcomeUnknown { .. } => 504,
            Refusal::BadRequest { .. } => 400,
            Refusal::TooLarge { .. } => 413,
            Refusal::TooSlow => 408,
        }
    }

    /// Returns the short name that counters use.
    pub fn kind(&self) -> &'static str {
        match self {
            Refusal::NotRun { .. } => "not-run",
            Refusal::OutcomeUnknown { .. } => "outcome-unknown",
            Refusal::BadRequest { .. } => "bad-request",
            Refusal::TooLarge { .. } => "too-large",
            Refusal::TooSlow => "too-slow",
        }
    }
}
