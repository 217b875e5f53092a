//! Revisions of a store that comes back from an older copy: watches and documents, in virtual time.

mod support;

use bytes::Bytes;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use support::seeds;
use tamarackdeck::{
    Doc, DocStore, ListExtent, ListUse, StoreCall, StoreChanges, StoreList, StoreMirror,
    StorePoint, WatchCursor, WatchUse, doc_era,
};

#[derive(Clone, Copy)]
enum Reply {
    List(Option<u64>, u64, ListUse),
    Watch(Option<u64>, u64, WatchUse),
    /// The store does not have the revision.
    Gone,
    /// Another instance watches, and its document is adopted.
    Adopt(u64),
}

struct CursorCase {
    name: &'static str,
    replies: &'static [Reply],
    next: StoreCall,
}

const STALE: StoreCall = StoreCall::List { stale: true };
const LIST: StoreCall = StoreCall::List { stale: false };

const CURSORS: &[CursorCase] = &[
    CursorCase { name: "the first list may be old", replies: &[], next: STALE },
    CursorCase {
        name: "a watch follows a list",
        replies: &[Reply::List(Some(1), 70, ListUse::Replace)],
        next: StoreCall::Watch { from: 70 },
    },
    CursorCase {
        name: "a watch goes on from its answer",
        replies: &[
            Reply::List(Some(1), 70, ListUse::Replace),
            Reply::Watch(Some(1), 75, WatchUse::Apply),
        ],
        next: StoreCall::Watch { from: 75 },
    },
    CursorCase {
        name: "a history that is gone, later lists are not old",
        replies: &[Reply::List(Some(1), 70, ListUse::Replace), Reply::Gone],
        next: LIST,
    },
    CursorCase {
        name: "an answer of a new era does not apply",
        replies: &[
            Reply::List(Some(1), 70, ListUse::Replace),
            Reply::Watch(Some(2), 75, WatchUse::ListAgain),
        ],
        next: LIST,
    },
    CursorCase {
        name: "the list after it is of a restored store",
        replies: &[
            Reply::List(Some(1), 70, ListUse::Replace),
            Reply::Watch(Some(2), 75, WatchUse::ListAgain),
            Reply::List(Some(2), 72, ListUse::Restored),
        ],
        next: StoreCall::Watch { from: 72 },
    },
    CursorCase {
        name: "an old list and a watch of a later era",
        replies: &[
            Reply::List(Some(1), 70, ListUse::Replace),
            Reply::Watch(Some(2), 70, WatchUse::ListAgain),
        ],
        next: LIST,
    },
    CursorCase {
        name: "a list of an earlier era is not used",
        replies: &[
            Reply::List(Some(2), 70, ListUse::Replace),
            Reply::Gone,
            Reply::List(Some(1), 90, ListUse::Outdated),
        ],
        next: LIST,
    },
    CursorCase {
        name: "entries of another instance, from before the restore",
        replies: &[Reply::Adopt(1 << 48 | 70 << 8), Reply::List(Some(2), 60, ListUse::Restored)],
        next: StoreCall::Watch { from: 60 },
    },
    CursorCase {
        name: "entries of another instance, from after the restore",
        replies: &[Reply::Adopt(2 << 48 | 70 << 8), Reply::List(Some(2), 80, ListUse::Replace)],
        next: StoreCall::Watch { from: 80 },
    },
    CursorCase {
        name: "a store that states no era",
        replies: &[
            Reply::List(None, 70, ListUse::Replace),
            Reply::Watch(None, 75, WatchUse::Apply),
        ],
        next: StoreCall::Watch { from: 75 },
    },
    CursorCase {
        name: "an answer without an era is of the known one",
        replies: &[
            Reply::List(Some(1), 70, ListUse::Replace),
            Reply::Watch(None, 75, WatchUse::Apply),
        ],
        next: StoreCall::Watch { from: 75 },
    },
];

#[test]
fn a_watch_goes_on_within_the_era_of_its_revision() {
    for case in CURSORS {
        let mut cursor = WatchCursor::default();
        for reply in case.replies {
            match *reply {
                Reply::List(era, revision, expected) => {
                    assert_eq!(cursor.record_list(era, revision), expected, "{}", case.name);
                }
                Reply::Watch(era, next, expected) => {
                    assert_eq!(cursor.record_watch(era, next), expected, "{}", case.name);
                }
                Reply::Gone => cursor.list_again(),
                Reply::Adopt(version) => cursor.adopt(version),
            }
        }
        assert_eq!(cursor.next_call(), case.next, "{}", case.name);
    }
}

struct VersionCase {
    name: &'static str,
    older: StorePoint,
    newer: StorePoint,
}

const fn point(era: u64, revision: u64) -> StorePoint {
    StorePoint { era, revision }
}

const VERSIONS: &[VersionCase] = &[
    VersionCase { name: "a later revision", older: point(1, 70), newer: point(1, 71) },
    VersionCase { name: "the same revision again", older: point(1, 70), newer: point(2, 70) },
    VersionCase { name: "an earlier revision", older: point(1, 1 << 39), newer: point(2, 1) },
    VersionCase { name: "no era before", older: point(0, 1 << 39), newer: point(1, 1) },
    VersionCase {
        name: "beyond the range of a revision",
        older: point(1, u64::MAX),
        newer: point(2, 0),
    },
];

#[test]
fn a_document_of_a_later_era_is_newer() {
    for case in VERSIONS {
        let (older, newer) = (case.older.doc_version(), case.newer.doc_version());
        assert!(older < newer, "{}", case.name);
        assert_eq!(doc_era(newer), case.newer.era, "{}", case.name);
    }
}

/// Duration of a step of the replay, and of a round of heartbeats between failure domains, in milliseconds.
const STEP: u64 = 50;
const REMOTE_ROUND: u64 = 2_000;

/// A store with one object, whose value is a number that rises.
#[derive(Clone)]
struct Store {
    era: u64,
    revision: u64,
    value: u64,
    /// Revisions of the changes of the object.
    changes: Vec<u64>,
}

impl Store {
    fn write(&mut self, value: u64) {
        self.revision += 1;
        self.value = value;
        self.changes.push(self.revision);
    }
}

/// One instance; the first one of a failure domain that runs watches for it.
struct Instance {
    mirror: StoreMirror<u64>,
    docs: DocStore,
    /// Time at which it runs again, in milliseconds.
    runs_from: u64,
    /// The value in force; it never goes back.
    in_force: u64,
}

impl Instance {
    fn new(runs_from: u64) -> Self {
        let (mirror, docs) = Default::default();
        Self { mirror, docs, runs_from, in_force: 0 }
    }

    fn apply(&mut self, doc: Arc<Doc>) {
        if self.docs.update("t", doc.clone()).is_some() {
            let value: u64 = std::str::from_utf8(&doc.entries["o"]).unwrap().parse().unwrap();
            self.in_force = self.in_force.max(value);
        }
    }

    /// Makes one call; returns the document that it publishes.
    fn call(&mut self, store: &Store) -> Option<Arc<Doc>> {
        let (era, revision) = (Some(store.era), store.revision);
        let object = ("o".to_owned(), store.value);
        let has_changed = match self.mirror.next_call() {
            StoreCall::List { .. } => {
                if let Some(doc) = self.docs.get("t") {
                    self.mirror.record_peer_version(doc.version);
                }
                let entries = IndexMap::from([object]);
                let list = StoreList {
                    extent: ListExtent::Whole,
                    era,
                    revision,
                    last_revision: revision,
                    entries,
                };
                self.mirror.record_list(list);
                true
            }
            StoreCall::Watch { from } if from > store.revision => {
                self.mirror.list_again();
                false
            }
            StoreCall::Watch { from } => {
                let has_events = store.changes.iter().any(|revision| *revision > from);
                let changes =
                    if has_events { vec![(object.0, Some(object.1))] } else { Vec::new() };
                let use_of = self.mirror.record_watch(StoreChanges { era, revision, changes });
                use_of == WatchUse::Apply && has_events
            }
        };
        let (point, entries) = self.mirror.published().filter(|_| has_changed)?;
        let text = |value: &u64| Bytes::from(value.to_string());
        let entries = entries.iter().map(|(name, value)| (name.clone(), text(value))).collect();
        Some(Arc::new(Doc { version: point.doc_version(), entries }))
    }
}

/// Writes go on before and after a restore, while instances are killed; returns how long the slowest instance took to have
/// a value in force, in milliseconds.
fn replay(seed: u64, domains: usize, members: usize) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = Store { era: 1, revision: 60, value: 1, changes: vec![60] };
    let mut fleet: Vec<Vec<Instance>> =
        (0..domains).map(|_| (0..members).map(|_| Instance::new(0)).collect()).collect();
    let (copied_at, away_from) = (rng.random_range(1_000..5_000), 8_000);
    let back_at = away_from + rng.random_range(0..2_000);
    let mut copy = None;
    let mut written: IndexMap<u64, u64> = IndexMap::new();
    let mut slowest = 0;
    for at in (0..25_000u64).step_by(STEP as usize) {
        if copy.is_none() && at >= copied_at {
            copy = Some(store.clone());
        }
        let is_away = (away_from..back_at).contains(&at);
        if at >= back_at && store.era == 1 {
            store = Store { era: 2, ..copy.clone().unwrap() };
        }
        if !is_away && rng.random_bool(0.02) {
            let value = store.value.max(written.keys().max().copied().unwrap_or(1)) + 1;
            store.write(value);
            written.insert(value, at);
        }
        // other objects
        store.revision += u64::from(!is_away) * rng.random_range(0..3);
        for domain in &mut fleet {
            for instance in domain.iter_mut() {
                if rng.random_bool(0.001) || (at == away_from && rng.random_bool(0.5)) {
                    *instance = Instance::new(at + rng.random_range(200..1_500));
                }
            }
            // a process that starts has the documents of its peers
            let held = domain.iter().filter_map(|i| i.docs.get("t")).max_by_key(|doc| doc.version);
            let runs = |i: &&mut Instance| i.runs_from <= at;
            for instance in domain.iter_mut().filter(runs) {
                if let Some(held) = held.clone().filter(|_| instance.docs.get("t").is_none()) {
                    instance.apply(held);
                }
            }
            let watcher = domain.iter_mut().find(|i| i.runs_from <= at).filter(|_| !is_away);
            if let Some(doc) = watcher.and_then(|watcher| watcher.call(&store)) {
                domain.iter_mut().filter(runs).for_each(|i| i.apply(doc.clone()));
            }
        }
        if at.is_multiple_of(REMOTE_ROUND) {
            let all = fleet.iter().flatten().filter_map(|i| i.docs.get("t"));
            if let Some(newest) = all.max_by_key(|doc| doc.version) {
                fleet
                    .iter_mut()
                    .flatten()
                    .filter(|i| i.runs_from <= at)
                    .for_each(|i| i.apply(newest.clone()));
            }
        }
        // a domain whose instances all start while the store is away has nobody to learn from
        let store_since = if at < away_from { 0 } else { back_at };
        for instance in fleet.iter().flatten().filter(|i| i.runs_from.max(store_since) <= at) {
            let lost = |written: u64| (copied_at..away_from).contains(&written);
            let due =
                written.iter().filter(|(value, at)| **value > instance.in_force && !lost(**at));
            if let Some((_, written_at)) = due.min_by_key(|(_, at)| **at) {
                let since = *written_at.max(&instance.runs_from).max(&store_since);
                slowest = slowest.max(at - since);
            }
        }
    }
    slowest
}

struct ReplayCase {
    name: &'static str,
    domains: usize,
    members: usize,
    seeds: u64,
}

const REPLAYS: &[ReplayCase] = &[
    ReplayCase { name: "nine instances", domains: 3, members: 3, seeds: 200 },
    ReplayCase { name: "640 instances", domains: 8, members: 80, seeds: 10 },
];

#[test]
fn what_is_written_after_a_restore_reaches_all_at_once() {
    for case in REPLAYS {
        for seed in seeds(case.seeds) {
            let slowest = replay(seed, case.domains, case.members);
            assert!(slowest <= 500, "{}, seed {seed}: {slowest} ms", case.name);
        }
    }
}
