//! Which connections are opened before requests need them.

mod support;

use indexmap::IndexSet;
use support::ms;
use tamarackdeck::{Key, PoolKey, Warming};

struct Case {
    name: &'static str,
    shards: u32,
    /// Time of the last gathered request, in milliseconds.
    gathered: Option<u64>,
    /// Time of the first round; the others follow every 200 ms.
    start: u64,
    rounds: u64,
    /// Shards whose connection the server closes at once.
    closed: &'static [u32],
    /// Connections opened in all rounds, and shards that have one at the end.
    opened: usize,
    open: usize,
}

const BASE: Case = Case {
    name: "",
    shards: 180,
    gathered: None,
    start: 1_000,
    rounds: 1,
    closed: &[],
    opened: 16,
    open: 16,
};

const CASES: &[Case] = &[
    Case { name: "a few in each round", ..BASE },
    Case {
        name: "all shards have a connection before the first request",
        rounds: 12,
        opened: 180,
        open: 180,
        ..BASE
    },
    Case { name: "nothing is opened twice", rounds: 60, opened: 180, open: 180, ..BASE },
    Case {
        name: "a server that closes its connections does not keep the others waiting",
        rounds: 12,
        closed: &[0, 1, 2],
        opened: 183,
        open: 177,
        ..BASE
    },
    Case {
        name: "an instance that gathers nothing lets its connections close",
        start: 31_000,
        opened: 0,
        open: 0,
        ..BASE
    },
    Case {
        name: "an instance that gathered lately keeps them",
        start: 31_000,
        gathered: Some(10_000),
        ..BASE
    },
    Case { name: "no shards", shards: 0, opened: 0, open: 0, ..BASE },
];

#[test]
fn connections_are_opened_a_few_at_a_time() {
    for case in CASES {
        let shards: Vec<PoolKey> = (0..case.shards).map(|n| PoolKey::new(n, 0)).collect();
        let mut warming = Warming::default();
        if let Some(at) = case.gathered {
            warming.record_gather(ms(at));
        }
        let (mut open, mut opened) = (IndexSet::new(), 0);
        for round in 0..case.rounds {
            let now = ms(case.start + round * 200);
            let chosen = warming.next_round(&shards, |pool| open.contains(&pool), now);
            opened += chosen.len();
            open.extend(chosen);
            open.retain(|pool| !case.closed.contains(&(pool.index() as u32)));
        }
        assert_eq!((opened, open.len()), (case.opened, case.open), "{}", case.name);
    }
}
