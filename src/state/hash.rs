//! Rendezvous hashing and digests; processes with the same members compute the same order.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the rendezvous weight of `member` for `item`.
///
/// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).
pub fn rendezvous_weight(item: &str, member: &str) -> u64 {
    let mut buf = Vec::with_capacity(item.len() + member.len() + 1);
    buf.extend_from_slice(item.as_bytes());
    buf.push(0);
    buf.extend_from_slice(member.as_bytes());
    xxh3_64(&buf)
}

/// Returns the digest of a named entry.
pub fn entry_digest(name: &str, value: &[u8]) -> u64 {
    xxh3_64_with_seed(value, xxh3_64(name.as_bytes()))
}

/// Returns a digest of a name as a number from 0 to 1.
pub fn unit_digest(name: &str) -> f64 {
    xxh3_64(name.as_bytes()) as f64 / u64::MAX as f64
}

/// Returns the digest of a request body, which detects reuse of an idempotency key with another body.
pub fn body_digest(body: &[u8]) -> u64 {
    xxh3_64(body)
}
