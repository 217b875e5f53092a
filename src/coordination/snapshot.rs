//! Choice of the one snapshot that a query is answered from.

use crate::state::arena::UpstreamKey;
use crate::state::catalog::ServiceEntry;
use crate::state::fleet::Snapshot;
use crate::state::news::Held;

/// Chooses the snapshot that most shards of its own map hold, and the newest among equals.
///
/// `held` tells what is known of an upstream. A shard of which nothing is known counts as holding
/// it; the upstream's own answer decides. `newer_than` excludes a snapshot that was lost in mid-query.
pub fn choose_snapshot(
    service: &ServiceEntry,
    held: impl Fn(UpstreamKey) -> Option<Held>,
    newer_than: Option<Snapshot>,
) -> Option<Snapshot> {
    let upstreams = service.maps.iter().flat_map(|m| &m.shards).flat_map(|s| &s.replicas);
    let mut found: Vec<Snapshot> =
        upstreams.filter_map(|u| held(*u)).flat_map(|h| [h.oldest, h.newest]).collect();
    found.sort_unstable();
    found.dedup();
    found
        .into_iter()
        .filter(|s| newer_than.is_none_or(|n| *s > n))
        .filter_map(|s| Some((count_missing_shards(service, s, &held)?, s)))
        .min_by_key(|(missing, s)| (*missing, std::cmp::Reverse(*s)))
        .map(|(_, s)| s)
}

/// Counts the shards of the snapshot's own map that no replica is known to hold.
fn count_missing_shards(
    service: &ServiceEntry,
    snapshot: Snapshot,
    held: &impl Fn(UpstreamKey) -> Option<Held>,
) -> Option<usize> {
    let map = service.map_of(snapshot)?;
    let lacks = |replicas: &[UpstreamKey]| {
        let mut known = replicas.iter().filter_map(|u| held(*u)).peekable();
        known.peek().is_some() && known.all(|h| !h.has(snapshot))
    };
    Some(map.shards.iter().filter(|s| lacks(&s.replicas)).count())
}
