//! Choice of the snapshot that a query is answered from.

use crate::state::arena::UpstreamKey;
use crate::state::catalog::ServiceEntry;
use crate::state::fleet::Snapshot;
use crate::state::snapshot_range::SnapshotRange;

/// Chooses the snapshot that is missing from the fewest shards of its own map, and the newest on a tie.
///
/// `held` returns the snapshots that an upstream is known to hold. A shard about which nothing is known
/// counts as holding the snapshot, since the upstream's answer decides. `newer_than` excludes snapshots
/// up to one that was lost during the query.
pub fn choose_snapshot(
    service: &ServiceEntry,
    held: impl Fn(UpstreamKey) -> Option<SnapshotRange>,
    newer_than: Option<Snapshot>,
) -> Option<Snapshot> {
    let upstreams = service.maps.iter().flat_map(|m| &m.shards).flat_map(|s| &s.replicas);
    let mut candidates: Vec<Snapshot> =
        upstreams.filter_map(|u| held(*u)).flat_map(|h| [h.oldest, h.newest]).collect();
    candidates.sort_unstable();
    candidates.dedup();
    candidates
        .into_iter()
        .filter(|s| newer_than.is_none_or(|n| *s > n))
        .filter_map(|s| Some((count_missing_shards(service, s, &held)?, s)))
        .min_by_key(|(missing, s)| (*missing, std::cmp::Reverse(*s)))
        .map(|(_, s)| s)
}

/// Counts the shards of the snapshot's map whose known replicas all lack it.
fn count_missing_shards(
    service: &ServiceEntry,
    snapshot: Snapshot,
    held: &impl Fn(UpstreamKey) -> Option<SnapshotRange>,
) -> Option<usize> {
    let map = service.shard_map(snapshot)?;
    let is_missing = |replicas: &[UpstreamKey]| {
        let mut known = replicas.iter().filter_map(|u| held(*u)).peekable();
        known.peek().is_some() && known.all(|h| !h.contains(snapshot))
    };
    Some(map.shards.iter().filter(|s| is_missing(&s.replicas)).count())
}
