//! The greatest records of several parts.

use bytes::{Bytes, BytesMut};

/// Returns the `top` greatest records of `size` bytes in all parts, greatest first; equal ones all count.
///
/// A remainder shorter than a record at the end of a part is none.
pub fn top_records(parts: &[Bytes], size: usize, top: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|p| p.chunks_exact(size)).collect();
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
    }
    records.truncate(top);
    records.sort_unstable_by(|a, b| b.cmp(a));
    let mut out = BytesMut::with_capacity(records.len() * size);
    records.iter().for_each(|r| out.extend_from_slice(r));
    out.freeze()
}
