//! Top-k selection over the records of several parts.

use bytes::{Bytes, BytesMut};

/// Returns the `count` greatest records of `record_size` bytes in descending order, with duplicates.
///
/// An incomplete record at the end of a part is ignored.
pub fn top_records(parts: &[Bytes], record_size: usize, count: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|p| p.chunks_exact(record_size)).collect();
    if records.len() > count && count > 0 {
        records.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
    }
    records.truncate(count);
    records.sort_unstable_by(|a, b| b.cmp(a));
    let mut out = BytesMut::with_capacity(records.len() * record_size);
    records.iter().for_each(|r| out.extend_from_slice(r));
    out.freeze()
}
