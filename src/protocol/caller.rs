//! Messages exchanged with callers: JSON over HTTP.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use serde::{Deserialize, Serialize};

use crate::coordination::attempt::{Fault, NotRunCode};
use crate::coordination::query::{Answer, MissingReason};
use crate::protocol::upstream::DEADLINE_MS;
use crate::state::fleet::Preference;

/// Header that carries the caller's idempotency key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with what the answer favors when shards are missing at the soft deadline: `tail` or
/// `coverage`.
pub const PREFER: HeaderName = HeaderName::from_static("x-prefer");
/// Header that names the target shard of a non-idempotent request.
pub const SHARD: HeaderName = HeaderName::from_static("x-shard");
/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Options of a caller's request, read from its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestOptions {
    /// How long the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// What the answer favors when shards are missing at the soft deadline.
    pub prefer: Option<Preference>,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Target shard of a non-idempotent request.
    pub shard: Option<String>,
}

impl RequestOptions {
    /// Parses the headers of a request and reports all errors together.
    ///
    /// # Errors
    /// When a header is repeated, is not plain text or has an invalid value.
    pub fn from_headers(headers: &HeaderMap) -> Result<Self, String> {
        let mut errors = Vec::new();
        let mut value_of = |name: &HeaderName| match single_value(headers, name) {
            Ok(value) => value,
            Err(error) => {
                errors.push(error);
                None
            }
        };
        let (deadline, prefer) = (value_of(&DEADLINE_MS), value_of(&PREFER));
        let (key, shard) = (value_of(&IDEMPOTENCY_KEY), value_of(&SHARD));
        let options = RequestOptions {
            deadline: deadline.and_then(|s| parse_deadline(&s, &mut errors)),
            prefer: prefer.and_then(|s| parse_preference(&s, &mut errors)),
            key: key.and_then(|s| parse_key(s, &mut errors)),
            shard,
        };
        if errors.is_empty() { Ok(options) } else { Err(errors.join("; ")) }
    }
}

fn single_value(headers: &HeaderMap, name: &HeaderName) -> Result<Option<String>, String> {
    let mut all = headers.get_all(name).iter();
    let Some(first) = all.next() else { return Ok(None) };
    if all.next().is_some() {
        return Err(format!("{name}: given twice"));
    }
    first.to_str().map(|s| Some(s.to_owned())).map_err(|_| format!("{name}: not plain text"))
}

fn parse_deadline(s: &str, errors: &mut Vec<String>) -> Option<Duration> {
    match s.parse::<u64>() {
        Ok(ms) if (1..=60_000).contains(&ms) => Some(Duration::from_millis(ms)),
        _ => {
            errors.push(format!("{DEADLINE_MS}: must be a whole number from 1 to 60000"));
            None
        }
    }
}

fn parse_preference(s: &str, errors: &mut Vec<String>) -> Option<Preference> {
    match s {
        "tail" => Some(Preference::Tail),
        "coverage" => Some(Preference::Coverage),
        _ => {
            errors.push(format!("{PREFER}: must be `tail` or `coverage`"));
            None
        }
    }
}

fn parse_key(s: String, errors: &mut Vec<String>) -> Option<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if s.is_empty() || s.len() > MAX_KEY_BYTES || !s.chars().all(is_allowed) {
        errors.push(format!(
            "{IDEMPOTENCY_KEY}: must have 1 to {MAX_KEY_BYTES} letters, digits, `-`, `_`, `.` or `:`"
        ));
        return None;
    }
    Some(s)
}

/// The part of an answer that one shard contributed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Name of the shard.
    pub shard: String,
    /// The body, if it is valid UTF-8.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub text: Option<String>,
    /// The body in hexadecimal digits, if it is not valid UTF-8.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub hex: Option<String>,
}

impl Part {
    /// Builds the part of a shard from the body that it returned.
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

/// A shard that is missing from an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    /// Name of the shard.
    pub shard: String,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// The shards that an answer covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Number of shards that answered.
    pub answered: usize,
    /// Number of shards in the shard map of the snapshot.
    pub total: usize,
    /// Shards that are missing.
    pub missing: Vec<MissingShard>,
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// The snapshot that all parts are from.
    pub snapshot: u64,
    /// The shards that it covers.
    pub coverage: Coverage,
    /// The parts of the shards that answered.
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
    /// The answer is that of an earlier request with the same idempotency key.
    pub replayed: bool,
    /// The upstream's answer.
    pub part: Part,
}

/// The reply to a request that got no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum Refusal {
    /// The request has not run and will not run.
    NotRun {
        /// The reason.
        reason: NotRunCode,
        /// Time after which to retry, in milliseconds, if upstreams asked for a time without requests.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        retry_after_ms: Option<u64>,
    },
    /// The request may have run; a retry may run it a second time.
    OutcomeUnknown {
        /// The reason.
        reason: Fault,
    },
    /// The request is malformed; it has not run.
    BadRequest {
        /// Description of the errors.
        detail: String,
    },
    /// The body is too large; the request has not run.
    TooLarge {
        /// Maximum size of a body, in bytes.
        most: usize,
    },
    /// The body was not received in time; the request has not run.
    TooSlow,
}

impl Refusal {
    /// Creates the refusal of a request that was not run and may be retried at any time.
    pub fn not_run(reason: NotRunCode) -> Self {
        Refusal::NotRun { reason, retry_after_ms: None }
    }

    /// Returns the time after which to retry, if there is one.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::NotRun { retry_after_ms, .. } => retry_after_ms.map(Duration::from_millis),
            _ => None,
        }
    }

    /// Returns the HTTP status code.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::NotRun { reason: NotRunCode::UnknownService, .. } => 404,
            Refusal::NotRun { reason: NotRunCode::KeyReused, .. } => 409,
            Refusal::NotRun { .. } => 503,
            Refusal::OutcomeUnknown { .. } => 504,
            Refusal::BadRequest { .. } => 400,
            Refusal::TooLarge { .. } => 413,
            Refusal::TooSlow => 408,
        }
    }

    /// Returns the value of the `outcome` label in metrics.
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
