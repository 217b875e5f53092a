//! The header in which a server names the rate that it takes, for all codecs of servers.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

use crate::coordination::rate_limit::RateLimit;

/// Maximum number of characters of an invalid value that are logged.
const MAX_LOGGED_CHARS: usize = 40;

/// A rate limit whose value cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{header}: `{value}` is not a decimal number of requests per second")]
pub struct InvalidRateLimit {
    header: String,
    value: String,
}

/// Returns the rate that a reply names in `header`, in requests per second; `None` if it names none.
///
/// A value is a decimal number: digits, with or without a fraction. Zero asks for no requests. Of several values, in
/// one line or in several, the lowest counts. A number beyond the range of the type is as good as no limit.
///
/// # Errors
/// If any value is empty, negative, infinite, has an exponent or is otherwise no decimal number.
pub fn parse_rate_limit(
    headers: &HeaderMap,
    header: &HeaderName,
) -> Result<Option<RateLimit>, InvalidRateLimit> {
    let mut lowest: Option<RateLimit> = None;
    for line in headers.get_all(header) {
        let limit = parse_line(line).ok_or_else(|| InvalidRateLimit {
            header: header.as_str().to_owned(),
            value: String::from_utf8_lossy(line.as_bytes())
                .chars()
                .take(MAX_LOGGED_CHARS)
                .collect(),
        })?;
        lowest = Some(lowest.filter(|lowest| *lowest <= limit).unwrap_or(limit));
    }
    Ok(lowest)
}

fn parse_line(line: &HeaderValue) -> Option<RateLimit> {
    let values = line.to_str().ok()?.split(',').map(|text| parse_value(text.trim()));
    values.reduce(|a, b| Some(if a? <= b? { a? } else { b? })).flatten()
}

fn parse_value(text: &str) -> Option<RateLimit> {
    let is_decimal = text.starts_with(|c: char| c.is_ascii_digit())
        && text.chars().all(|c| c.is_ascii_digit() || c == '.');
    RateLimit::new(is_decimal.then(|| text.parse().ok())??)
}
