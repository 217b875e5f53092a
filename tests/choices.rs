//! Choice of the snapshot and the replica for a query.

mod support;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::ms;
use tamarackdeck::{
    Candidate, Catalog, FleetConfig, Key, NameInterner, NamedMap, ServerKey, ServerStats, Service,
    ShardMap, Snapshot, SnapshotRange, Tick, Upstream, UpstreamKey, Versioned, choose_snapshot,
    pick_server,
};

fn stamp<T>((name, value): (String, T)) -> (String, Versioned<T>) {
    (name, Versioned { changed: 1, value })
}

/// Shard `a` on upstreams 0 and 1 up to snapshot 4; from snapshot 5 also shard `b` on upstreams 2 and 3.
fn catalog() -> Catalog {
    let addr = "127.0.0.1:9".parse().unwrap();
    let up = |n| {
        (
            format!("u{n}"),
            Upstream { addr, domain: "d".into(), service: "s".into(), leaving: false },
        )
    };
    let shard = |name: &str, ups: [&str; 2]| (name.to_owned(), ups.map(String::from).to_vec());
    let map = |from, shards: Vec<_>| ShardMap {
        from: Snapshot(from),
        shards: shards.into_iter().collect(),
    };
    let (a, b) = (shard("a", ["u0", "u1"]), shard("b", ["u2", "u3"]));
    let service =
        Service { maps: vec![map(0, vec![a.clone()]), map(5, vec![a, b])], ..Default::default() };
    let services: NamedMap<_> = [stamp(("s".to_owned(), service))].into_iter().collect();
    let upstreams = (0..4).map(|n| stamp(up(n))).collect();
    Catalog::compile(
        FleetConfig { version: 1, services, upstreams, ..Default::default() },
        &Catalog::default(),
        &NameInterner::default(),
    )
}

struct SnapshotCase {
    name: &'static str,
    /// Oldest and newest snapshot held by upstreams 0 to 3, if known.
    held: [Option<(u64, u64)>; 4],
    newer_than: Option<u64>,
    chosen: Option<u64>,
}

const SNAPSHOTS: &[SnapshotCase] = &[
    SnapshotCase { name: "nothing known", held: [None; 4], newer_than: None, chosen: None },
    SnapshotCase {
        name: "newest of one map",
        held: [Some((1, 3)), None, None, None],
        newer_than: None,
        chosen: Some(3),
    },
    SnapshotCase {
        name: "some replica of every shard",
        held: [Some((1, 3)), Some((1, 4)), None, None],
        newer_than: None,
        chosen: Some(4),
    },
    SnapshotCase {
        name: "one shard is behind",
        held: [Some((4, 6)), Some((4, 6)), Some((4, 5)), Some((4, 5))],
        newer_than: None,
        chosen: Some(5),
    },
    SnapshotCase {
        name: "a shard without the snapshot does not block the others",
        held: [Some((7, 9)), Some((7, 9)), Some((2, 3)), None],
        newer_than: None,
        chosen: Some(9),
    },
    SnapshotCase {
        name: "a new map is used once its shards are available",
        held: [Some((4, 5)), Some((4, 5)), Some((5, 5)), None],
        newer_than: None,
        chosen: Some(5),
    },
    SnapshotCase {
        name: "the old map while the new one is not available",
        held: [Some((4, 5)), Some((4, 5)), Some((1, 4)), Some((1, 4))],
        newer_than: None,
        chosen: Some(4),
    },
    SnapshotCase {
        name: "only newer ones",
        held: [Some((1, 3)), None, None, None],
        newer_than: Some(3),
        chosen: None,
    },
];

#[test]
fn one_snapshot_that_most_shards_hold() {
    let catalog = catalog();
    let (_, service) = catalog.service("s").unwrap();
    for case in SNAPSHOTS {
        let held = |u: UpstreamKey| {
            let (oldest, newest) = case.held[u.index()]?;
            Some(SnapshotRange { oldest: Snapshot(oldest), newest: Snapshot(newest) })
        };
        let chosen = choose_snapshot(service, held, case.newer_than.map(Snapshot));
        assert_eq!(chosen, case.chosen.map(Snapshot), "{}", case.name);
    }
}

#[derive(Clone, Copy)]
struct Replica {
    /// Recorded answer times in milliseconds; the usual time is 10 ms.
    took_ms: &'static [u64],
    failures: u32,
    /// Load-shedding refusals, each followed by an answer.
    refusals: u32,
    /// Reported requests running and queued on 2 slots.
    queue: u32,
    age_ms: u64,
    trip_ms: u64,
    /// Age of a request in flight, if there is one.
    waiting_ms: Option<u64>,
    cold: bool,
    has_capacity: bool,
}

const WARM: Replica = Replica {
    took_ms: &[10, 10, 10],
    failures: 0,
    refusals: 0,
    queue: 0,
    age_ms: 0,
    trip_ms: 0,
    waiting_ms: None,
    cold: false,
    has_capacity: true,
};

struct ReplicaCase {
    name: &'static str,
    replicas: [Replica; 2],
    extra: bool,
    picked: Option<usize>,
}

const FRESH: ReplicaCase =
    ReplicaCase { name: "", replicas: [WARM, WARM], extra: false, picked: Some(0) };

const SLOW: &[u64] = &[80, 80, 80];

const REPLICAS: &[ReplicaCase] = &[
    ReplicaCase {
        name: "the nearer",
        replicas: [Replica { trip_ms: 10, ..WARM }, WARM],
        picked: Some(1),
        ..FRESH
    },
    ReplicaCase {
        name: "the faster",
        replicas: [WARM, Replica { took_ms: SLOW, ..WARM }],
        ..FRESH
    },
    ReplicaCase {
        name: "the shorter queue",
        replicas: [Replica { queue: 9, ..WARM }, WARM],
        picked: Some(1),
        ..FRESH
    },
    ReplicaCase {
        name: "a far one before a straggler",
        replicas: [Replica { took_ms: SLOW, ..WARM }, Replica { trip_ms: 10, ..WARM }],
        picked: Some(1),
        ..FRESH
    },
    ReplicaCase {
        name: "a far one before one that has stalled",
        replicas: [Replica { waiting_ms: Some(60), ..WARM }, Replica { trip_ms: 10, ..WARM }],
        picked: Some(1),
        ..FRESH
    },
    ReplicaCase {
        name: "a straggler of long ago is tried again",
        replicas: [
            Replica { took_ms: SLOW, age_ms: 20_000, ..WARM },
            Replica { trip_ms: 10, ..WARM },
        ],
        ..FRESH
    },
    ReplicaCase {
        name: "a far one before one that refuses every other request",
        replicas: [Replica { refusals: 3, ..WARM }, Replica { trip_ms: 12, ..WARM }],
        picked: Some(1),
        ..FRESH
    },
    ReplicaCase {
        name: "one that refused long ago is tried again",
        replicas: [
            Replica { refusals: 3, age_ms: 30_000, ..WARM },
            Replica { trip_ms: 12, ..WARM },
        ],
        ..FRESH
    },
    ReplicaCase {
        name: "the nearer of two that refuse alike",
        replicas: [Replica { refusals: 3, ..WARM }, Replica { refusals: 3, trip_ms: 12, ..WARM }],
        ..FRESH
    },
    ReplicaCase {
        name: "an ejected one last",
        replicas: [Replica { failures: 3, ..WARM }, Replica { took_ms: &[200; 9], ..WARM }],
        picked: Some(1),
        ..FRESH
    },
    ReplicaCase {
        name: "an ejected one rather than none",
        replicas: [Replica { failures: 3, ..WARM }, Replica { has_capacity: false, ..WARM }],
        ..FRESH
    },
    ReplicaCase {
        name: "no hedge to an ejected one",
        replicas: [Replica { failures: 3, ..WARM }, Replica { has_capacity: false, ..WARM }],
        extra: true,
        picked: None,
    },
    ReplicaCase {
        name: "a warm one before a cold one",
        replicas: [Replica { cold: true, ..WARM }, Replica { trip_ms: 1, ..WARM }],
        picked: Some(1),
        ..FRESH
    },
    ReplicaCase {
        name: "none that has capacity",
        replicas: [
            Replica { has_capacity: false, ..WARM },
            Replica { has_capacity: false, ..WARM },
        ],
        picked: None,
        ..FRESH
    },
];

fn server_stats(r: &Replica, now: Tick) -> ServerStats {
    let at = now - Duration::from_millis(r.age_ms);
    let usual = Duration::from_millis(10);
    let mut server_stats = ServerStats::default();
    for took in r.took_ms {
        server_stats.record_answer(Duration::from_millis(*took), usual, at);
    }
    (0..r.failures).for_each(|_| server_stats.record_failure(at));
    for _ in 0..r.refusals {
        server_stats.record_shed(at);
        server_stats.record_answer(usual, usual, at);
    }
    server_stats.record_load(r.queue, 2, at);
    if let Some(waiting) = r.waiting_ms {
        server_stats.record_send(now - Duration::from_millis(waiting));
    }
    server_stats
}

#[test]
fn the_replica_expected_to_answer_first() {
    let now = ms(100_000);
    for case in REPLICAS {
        let candidate = |(n, r): (usize, &Replica)| {
            let server_stats = server_stats(r, now);
            Candidate {
                key: ServerKey::new(n as u32, 0),
                expected: server_stats.expected_latency(Duration::from_millis(10), 2, r.cold, now),
                round_trip: Duration::from_millis(r.trip_ms),
                has_capacity: r.has_capacity,
                is_healthy: server_stats.outlier.can_send(true, now),
            }
        };
        let candidates: Vec<_> = case.replicas.iter().enumerate().map(candidate).collect();
        let mut rng = StdRng::seed_from_u64(1);
        for _ in 0..40 {
            let picked = pick_server(&candidates, case.extra, || rng.random());
            assert_eq!(picked.map(|key| key.index()), case.picked, "{}", case.name);
        }
    }
}
