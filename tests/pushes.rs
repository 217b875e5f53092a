//! A change of documents that goes to all members of a failure domain, and what its sender encodes.

use std::sync::atomic::{AtomicUsize, Ordering};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize, Serializer};
use tamarackdeck::{Encoded, MAX_FRAME_BYTES, decode_batch, encode_batch};

struct Case {
    name: &'static str,
    members: usize,
    entries: usize,
    /// Bytes of each entry that are alike in all, beside its address.
    entry_bytes: usize,
    /// Maximum part of its size that the change takes in a message.
    max_compressed: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "one entry to a few",
        members: 3,
        entries: 1,
        entry_bytes: 200,
        max_compressed: 1.0,
    },
    Case {
        name: "servers of a new set of shards",
        members: 60,
        entries: 300,
        entry_bytes: 180,
        max_compressed: 0.2,
    },
    Case {
        name: "a configuration",
        members: 60,
        entries: 1,
        entry_bytes: 40_000,
        max_compressed: 0.2,
    },
];

static ENCODED_ENTRIES: AtomicUsize = AtomicUsize::new(0);

/// An entry that counts how often one is encoded.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(transparent)]
struct Entry(String);

impl Serialize for Entry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        ENCODED_ENTRIES.fetch_add(1, Ordering::Relaxed);
        serializer.serialize_str(&self.0)
    }
}

type Change = IndexMap<String, Entry>;

/// Sends one message for each member and returns the number of entries encoded, with the last frame.
fn send<T: Serialize>(members: usize, message: impl Fn() -> T) -> (usize, Vec<u8>) {
    let before = ENCODED_ENTRIES.load(Ordering::Relaxed);
    let frames = (0..members).map(|_| encode_batch(&[message()]).unwrap());
    let last = frames.last().unwrap().to_vec();
    (ENCODED_ENTRIES.load(Ordering::Relaxed) - before, last)
}

#[test]
fn a_change_is_encoded_once_for_all_members() {
    for case in CASES {
        let alike = || (0..case.entry_bytes).map(|n| char::from(b'a' + (n * n % 23) as u8));
        let text =
            |n: usize| format!("10.0.{}.{}{}", n / 251, n % 251, alike().collect::<String>());
        let entry = |n: usize| (format!("i-{:08x}", n * 2_654_435_761), Entry(text(n)));
        let change: Change = (0..case.entries).map(entry).collect();
        let (before, frame_before) = send(case.members, || change.clone());
        let started = ENCODED_ENTRIES.load(Ordering::Relaxed);
        let encoded = Encoded::new(&change).unwrap();
        let (_, frame) = send(case.members, || encoded.clone());
        let after = ENCODED_ENTRIES.load(Ordering::Relaxed) - started;
        println!("case: {}: {after} entries encoded, {before} in a message each", case.name);
        assert_eq!(after, case.entries, "{}", case.name);
        assert_eq!(before, case.members * case.entries, "{}: no load", case.name);
        let received: Vec<Encoded<Change>> = decode_batch(&frame).unwrap();
        assert_eq!(received[0].decode().unwrap(), change, "{}", case.name);
        let part = frame.len() as f64 / frame_before.len() as f64;
        assert!(part <= case.max_compressed, "{}: {part:.3} of its size", case.name);
    }
}

#[test]
fn a_change_that_exceeds_a_frame_when_decompressed_is_an_error() {
    let encoded = Encoded::new(&"0".repeat(MAX_FRAME_BYTES)).unwrap();
    assert!(encoded.compressed_bytes() < MAX_FRAME_BYTES / 50);
    assert!(encoded.decode().is_err());
    assert!(Encoded::new(&"0".repeat(MAX_FRAME_BYTES - 100)).unwrap().decode().is_ok());
}

#[test]
fn bytes_that_are_no_change_are_an_error() {
    let other = Encoded::new(&String::from("text")).unwrap();
    let frame = encode_batch(&[other]).unwrap();
    let received: Vec<Encoded<Change>> = decode_batch(&frame).unwrap();
    assert!(received[0].decode().is_err());
}
