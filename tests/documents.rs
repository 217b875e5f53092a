//! Document deltas: a receiver either reproduces the sender's document or detects that it must fetch it in full.

mod support;

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::seeds;
use tamarackdeck::{ApplyOutcome, Doc, DocDelta, DocStore};

const TOPIC: &str = "t";

fn doc(version: u64, entries: &[(&str, &str)]) -> Arc<Doc> {
    let entry =
        |(name, text): &(&str, &str)| ((*name).to_owned(), Bytes::copy_from_slice(text.as_bytes()));
    Arc::new(Doc { version, entries: entries.iter().map(entry).collect() })
}

struct Case {
    name: &'static str,
    /// Version and entries of the sender before and after the change.
    sender: [(u64, &'static [(&'static str, &'static str)]); 2],
    /// Version and entries of the receiver.
    receiver: (u64, &'static [(&'static str, &'static str)]),
    /// Number of entries in the delta that are put and that are removed.
    sent: (usize, usize),
    /// Whether the base matches; `None` if the delta is not newer.
    base_matches: Option<bool>,
}

const CASES: &[Case] = &[
    Case {
        name: "one of two entries changed",
        sender: [(3, &[("a", "1"), ("b", "1")]), (4, &[("a", "1"), ("b", "2")])],
        receiver: (3, &[("b", "1"), ("a", "1")]),
        sent: (1, 0),
        base_matches: Some(true),
    },
    Case {
        name: "one entry removed, one added",
        sender: [(3, &[("a", "1"), ("b", "1")]), (4, &[("b", "1"), ("c", "1")])],
        receiver: (3, &[("a", "1"), ("b", "1")]),
        sent: (1, 1),
        base_matches: Some(true),
    },
    Case {
        name: "same entries under another version",
        sender: [(3, &[("a", "1")]), (5, &[("a", "2")])],
        receiver: (4, &[("a", "1")]),
        sent: (1, 0),
        base_matches: Some(true),
    },
    Case {
        name: "receiver missed a version",
        sender: [(3, &[("a", "1"), ("b", "1")]), (4, &[("a", "1"), ("b", "2")])],
        receiver: (2, &[("a", "1")]),
        sent: (1, 0),
        base_matches: Some(false),
    },
    Case {
        name: "values swapped between entries",
        sender: [(3, &[("a", "1"), ("b", "2")]), (4, &[("a", "3"), ("b", "2")])],
        receiver: (3, &[("a", "2"), ("b", "1")]),
        sent: (1, 0),
        base_matches: Some(false),
    },
    Case {
        name: "not newer",
        sender: [(3, &[("a", "1")]), (4, &[("a", "2")])],
        receiver: (4, &[("a", "2")]),
        sent: (1, 0),
        base_matches: None,
    },
];

#[test]
fn delta_applies_only_to_its_base_entries() {
    for case in CASES {
        let (mut sender, mut receiver) = (DocStore::default(), DocStore::default());
        let [(v, entries), (next, then)] = case.sender;
        sender.update(TOPIC, doc(v, entries));
        let delta = sender.update(TOPIC, doc(next, then)).unwrap();
        assert_eq!((delta.put.len(), delta.gone.len()), case.sent, "{}", case.name);
        receiver.update(TOPIC, doc(case.receiver.0, case.receiver.1));
        let base_matches = match receiver.apply_delta(TOPIC, &delta) {
            ApplyOutcome::Updated(updated) => {
                assert_eq!(updated, doc(next, then), "{}", case.name);
                Some(true)
            }
            ApplyOutcome::NotNewer => None,
            ApplyOutcome::BaseMismatch => Some(false),
        };
        assert_eq!(base_matches, case.base_matches, "{}", case.name);
    }
}

/// Instances receive deltas that are lost, delayed or reordered, and fetch the full document on a base
/// mismatch.
fn replicate(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut instances = vec![DocStore::default(); 4];
    let mut entries: IndexMap<String, Bytes> = IndexMap::new();
    let mut history = Vec::new();
    let mut in_flight: Vec<(usize, DocDelta)> = Vec::new();
    for version in 1..60 {
        let name = format!("e{}", rng.random_range(0..8));
        match rng.random_bool(0.3) {
            true => drop(entries.shift_remove(&name)),
            false => drop(entries.insert(name, Bytes::from(version.to_string()))),
        }
        let next = Arc::new(Doc { version, entries: entries.clone() });
        history.push(next.clone());
        let delta = instances[0].update(TOPIC, next).unwrap();
        in_flight.extend((1..instances.len()).map(|to| (to, delta.clone())));
        while rng.random_bool(0.8) && !in_flight.is_empty() {
            let (to, delta) = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
            if rng.random_bool(0.1) {
                continue;
            }
            let before = instances[to].versions();
            match instances[to].apply_delta(TOPIC, &delta) {
                ApplyOutcome::Updated(doc) => {
                    assert_eq!(doc, history[delta.version as usize - 1], "seed {seed}");
                }
                ApplyOutcome::NotNewer => {}
                ApplyOutcome::BaseMismatch => {
                    let whole = instances[0].newer_than(&instances[to].versions());
                    whole
                        .into_iter()
                        .for_each(|(topic, doc)| drop(instances[to].update(&topic, doc)));
                }
            }
            assert!(
                !instances[to].is_behind(&before),
                "seed {seed}: the version of an instance decreased"
            );
        }
    }
    let first = instances[0].newer_than(&IndexMap::new());
    for other in &mut instances[1..] {
        let whole = first.clone();
        whole.into_iter().for_each(|(topic, doc)| drop(other.update(&topic, doc)));
        let version = |docs: &IndexMap<String, Arc<Doc>>| docs[TOPIC].clone();
        let held = other.newer_than(&IndexMap::new());
        assert_eq!(version(&held), version(&first), "seed {seed}");
    }
}

#[test]
fn lost_and_reordered_deltas_never_produce_an_unpublished_document() {
    seeds(500).into_iter().for_each(replicate);
}
