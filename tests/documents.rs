//! Changes of documents: what one instance passes on, another one ends up with, or fetches whole.

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
    /// Version and entries that the sender had, and has now.
    sender: [(u64, &'static [(&'static str, &'static str)]); 2],
    /// What the receiver has.
    receiver: (u64, &'static [(&'static str, &'static str)]),
    /// Entries passed on, and those said to be gone.
    sent: (usize, usize),
    fits: Option<bool>,
}

const CASES: &[Case] = &[
    Case {
        name: "one of two differs",
        sender: [(3, &[("a", "1"), ("b", "1")]), (4, &[("a", "1"), ("b", "2")])],
        receiver: (3, &[("b", "1"), ("a", "1")]),
        sent: (1, 0),
        fits: Some(true),
    },
    Case {
        name: "one is gone, one is new",
        sender: [(3, &[("a", "1"), ("b", "1")]), (4, &[("b", "1"), ("c", "1")])],
        receiver: (3, &[("a", "1"), ("b", "1")]),
        sent: (1, 1),
        fits: Some(true),
    },
    Case {
        name: "the same entries by another's version",
        sender: [(3, &[("a", "1")]), (5, &[("a", "2")])],
        receiver: (4, &[("a", "1")]),
        sent: (1, 0),
        fits: Some(true),
    },
    Case {
        name: "a version was missed",
        sender: [(3, &[("a", "1"), ("b", "1")]), (4, &[("a", "1"), ("b", "2")])],
        receiver: (2, &[("a", "1")]),
        sent: (1, 0),
        fits: Some(false),
    },
    Case {
        name: "values have changed places",
        sender: [(3, &[("a", "1"), ("b", "2")]), (4, &[("a", "3"), ("b", "2")])],
        receiver: (3, &[("a", "2"), ("b", "1")]),
        sent: (1, 0),
        fits: Some(false),
    },
    Case {
        name: "not newer",
        sender: [(3, &[("a", "1")]), (4, &[("a", "2")])],
        receiver: (4, &[("a", "2")]),
        sent: (1, 0),
        fits: None,
    },
];

#[test]
fn a_change_applies_to_the_entries_that_it_was_made_for() {
    for case in CASES {
        let (mut sender, mut receiver) = (DocStore::default(), DocStore::default());
        let [(v, entries), (next, then)] = case.sender;
        sender.update(TOPIC, doc(v, entries));
        let change = sender.update(TOPIC, doc(next, then)).unwrap();
        assert_eq!((change.put.len(), change.gone.len()), case.sent, "{}", case.name);
        receiver.update(TOPIC, doc(case.receiver.0, case.receiver.1));
        let fits = match receiver.apply_delta(TOPIC, &change) {
            ApplyOutcome::Updated(made) => {
                assert_eq!(made, doc(next, then), "{}", case.name);
                Some(true)
            }
            ApplyOutcome::NotNewer => None,
            ApplyOutcome::BaseMismatch => Some(false),
        };
        assert_eq!(fits, case.fits, "{}", case.name);
    }
}

/// Instances pass on changes that are lost, late or crossed, and fetch what does not fit.
fn passed_on(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all = vec![DocStore::default(); 4];
    let mut entries: IndexMap<String, Bytes> = IndexMap::new();
    let mut history = Vec::new();
    let mut under_way: Vec<(usize, DocDelta)> = Vec::new();
    for version in 1..60 {
        let name = format!("e{}", rng.random_range(0..8));
        match rng.random_bool(0.3) {
            true => drop(entries.shift_remove(&name)),
            false => drop(entries.insert(name, Bytes::from(version.to_string()))),
        }
        let next = Arc::new(Doc { version, entries: entries.clone() });
        history.push(next.clone());
        let change = all[0].update(TOPIC, next).unwrap();
        under_way.extend((1..all.len()).map(|to| (to, change.clone())));
        while rng.random_bool(0.8) && !under_way.is_empty() {
            let (to, change) = under_way.swap_remove(rng.random_range(0..under_way.len()));
            if rng.random_bool(0.1) {
                continue;
            }
            let before = all[to].versions();
            match all[to].apply_delta(TOPIC, &change) {
                ApplyOutcome::Updated(made) => {
                    assert_eq!(made, history[change.version as usize - 1], "seed {seed}");
                }
                ApplyOutcome::NotNewer => {}
                ApplyOutcome::BaseMismatch => {
                    let whole = all[0].newer_than(&all[to].versions());
                    whole.into_iter().for_each(|(topic, doc)| drop(all[to].update(&topic, doc)));
                }
            }
            assert!(!all[to].is_behind(&before), "seed {seed}: an instance went back");
        }
    }
    let first = all[0].newer_than(&IndexMap::new());
    for other in &mut all[1..] {
        let whole = first.clone();
        whole.into_iter().for_each(|(topic, doc)| drop(other.update(&topic, doc)));
        let version = |docs: &IndexMap<String, Arc<Doc>>| docs[TOPIC].clone();
        let held = other.newer_than(&IndexMap::new());
        assert_eq!(version(&held), version(&first), "seed {seed}");
    }
}

#[test]
fn lost_and_crossed_changes_never_make_a_document_that_nobody_had() {
    seeds(500).into_iter().for_each(passed_on);
}
