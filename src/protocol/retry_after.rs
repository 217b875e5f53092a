//! The `Retry-After` header of a server's refusal, for all codecs of servers.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{DATE, HeaderValue, RETRY_AFTER};

/// A `Retry-After` header whose value cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("retry-after: `{0}` is neither a number of seconds nor a date in a reply that has one")]
pub struct InvalidRetryAfter(String);

/// Returns how long the sender of a reply wants no requests; `None` if it does not say so.
///
/// A value is a number of seconds, with or without a fraction, or an HTTP date, which is compared with the reply's own
/// `Date`, so that no clocks are compared; a date that has passed means no time. Of several values the longest counts.
///
/// # Errors
/// If a value is negative, empty or otherwise neither of these, or is a date in a reply without `Date`.
pub fn parse_retry_after(headers: &HeaderMap) -> Result<Option<Duration>, InvalidRetryAfter> {
    let mut longest = None;
    for value in headers.get_all(RETRY_AFTER) {
        let parsed = parse_value(value, headers.get(DATE)).ok_or_else(|| {
            InvalidRetryAfter(String::from_utf8_lossy(value.as_bytes()).into_owned())
        })?;
        longest = longest.max(Some(parsed));
    }
    Ok(longest)
}

/// Returns the value that tells a caller to return after `after`, in seconds with a fraction.
pub fn retry_after_value(after: Duration) -> HeaderValue {
    HeaderValue::try_from(format!("{:.3}", after.as_secs_f64()))
        .unwrap_or_else(|_| HeaderValue::from_static("1"))
}

fn parse_value(value: &HeaderValue, date: Option<&HeaderValue>) -> Option<Duration> {
    let text = value.to_str().ok()?.trim();
    if text.starts_with(|c: char| c.is_ascii_digit())
        && text.chars().all(|c| c.is_ascii_digit() || c == '.')
    {
        let seconds: f64 = text.parse().ok()?;
        return Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX));
    }
    let at = httpdate::parse_http_date(text).ok()?;
    let now = httpdate::parse_http_date(date?.to_str().ok()?).ok()?;
    Some(at.duration_since(now).unwrap_or_default())
}
