//! Walks over lists whose names other writers have chosen, replayed against a store that lists names in the order of their bytes.

mod support;

use indexmap::IndexSet;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::seeds;
use tamarackdeck::{ListWalk, NextPage, PageName, encode_uri_component};

/// A name that fits no request.
const TOO_LONG: usize = 70_000;
/// A name that fits only some requests.
const LONG: usize = 9_000;

struct Walk {
    names: IndexSet<Vec<u8>>,
    calls: usize,
    is_whole: bool,
}

/// Lists the names page by page; fails if the walk asks from a name that was not on the page.
fn walk(names: &[Vec<u8>], page_size: usize) -> Walk {
    let mut sorted = names.to_vec();
    sorted.sort();
    sorted.dedup();
    let (mut walk, mut seen, mut calls) = (ListWalk::default(), IndexSet::new(), 0);
    let mut after: Option<Vec<u8>> = None;
    loop {
        calls += 1;
        let start = after.as_ref().map_or(0, |after| sorted.partition_point(|name| name <= after));
        let page = &sorted[start..sorted.len().min(start + page_size)];
        seen.extend(page.iter().cloned());
        let has_more = start + page.len() < sorted.len();
        let named = page.iter().rev().map(|name| PageName {
            cursor: encode_uri_component(name),
            is_text: str::from_utf8(name).is_ok(),
        });
        match walk.next(has_more, named) {
            NextPage::End => return Walk { names: seen, calls, is_whole: true },
            NextPage::Unreachable => return Walk { names: seen, calls, is_whole: false },
            NextPage::After(cursor) => {
                let next = page.iter().find(|name| encode_uri_component(name) == cursor);
                after = Some(next.expect("a name of the page").clone());
            }
        }
    }
}

struct Case {
    name: &'static str,
    names: fn() -> Vec<Vec<u8>>,
    calls: usize,
    /// Names that are seen; all of them if the list is whole.
    seen: usize,
    is_whole: bool,
}

fn numbered(prefix: &str, count: usize) -> impl Iterator<Item = Vec<u8>> {
    (0..count).map(move |n| format!("{prefix}{n:02}").into_bytes())
}

fn long(prefix: &str, bytes: usize) -> Vec<u8> {
    [prefix.as_bytes(), &vec![b'x'; bytes]].concat()
}

/// Returns a page of plain names, one of names that `middle` makes, and another plain one.
fn between_plain_pages(middle: impl Fn(u8) -> Vec<u8>) -> Vec<Vec<u8>> {
    let pages = numbered("e", PAGE_SIZE).chain((0..PAGE_SIZE as u8).map(middle));
    pages.chain(numbered("g", PAGE_SIZE)).collect()
}

const PAGE_SIZE: usize = 4;
const CASES: &[Case] = &[
    Case { name: "no names", names: Vec::new, calls: 1, seen: 0, is_whole: true },
    Case {
        name: "plain names",
        names: || numbered("e", 10).collect(),
        calls: 3,
        seen: 10,
        is_whole: true,
    },
    Case {
        name: "the last of a page fits no request",
        names: || numbered("e", 10).chain([long("e02", TOO_LONG)]).collect(),
        calls: 3,
        seen: 11,
        is_whole: true,
    },
    Case {
        name: "the last of a page is no text",
        names: || numbered("e", 10).chain([b"e02\xff".to_vec()]).collect(),
        calls: 3,
        seen: 11,
        is_whole: true,
    },
    Case {
        name: "all of a page are no text",
        names: || between_plain_pages(|n| vec![b'f', 0xff, n]),
        calls: 3,
        seen: 12,
        is_whole: true,
    },
    Case {
        name: "all of a page fit some requests",
        names: || between_plain_pages(|n| long(&format!("f{n}"), LONG)),
        calls: 3,
        seen: 12,
        is_whole: true,
    },
    Case {
        name: "all of a page fit no request",
        names: || between_plain_pages(|n| long(&format!("f{n}"), TOO_LONG)),
        calls: 2,
        seen: 8,
        is_whole: false,
    },
    Case {
        name: "all but one between plain names fit no request",
        names: || {
            (0..3).map(|n| long(&format!("f{n}"), TOO_LONG)).chain(numbered("g", 8)).collect()
        },
        calls: 3,
        seen: 11,
        is_whole: true,
    },
];

/// Guards against a name that ends a list, makes it go round, or costs names that come after it.
#[test]
fn a_walk_goes_on_from_a_name_that_can_be_asked_for() {
    for case in CASES {
        let Walk { names, calls, is_whole } = walk(&(case.names)(), PAGE_SIZE);
        assert_eq!(
            (calls, names.len(), is_whole),
            (case.calls, case.seen, case.is_whole),
            "{}",
            case.name
        );
    }
}

/// Guards against the same with names drawn at random: a list lacks names only if a whole page fits no request.
#[test]
fn a_walk_over_any_names_ends_and_lacks_none_that_can_be_reached() {
    for seed in seeds(500) {
        let mut rng = StdRng::seed_from_u64(seed);
        let page_size = rng.random_range(1..6);
        let count = rng.random_range(0..60);
        let mut names: Vec<Vec<u8>> = (0..count)
            .map(|_| {
                let plain: Vec<u8> =
                    (0..rng.random_range(1..4)).map(|_| rng.random_range(0..=255)).collect();
                match rng.random_range(0..6) {
                    0 => [plain, vec![b'x'; TOO_LONG]].concat(),
                    1 => [plain, vec![b'x'; LONG]].concat(),
                    _ => plain,
                }
            })
            .collect();
        names.sort();
        names.dedup();
        let Walk { names: seen, calls, is_whole } = walk(&names, page_size);
        assert!(calls <= names.len() + 1, "seed {seed}: {calls} calls for {} names", names.len());
        let fits = |name: &Vec<u8>| encode_uri_component(name).len() < 65_000;
        let is_blocked = names.windows(page_size).any(|page| !page.iter().any(fits));
        assert!(is_whole || is_blocked, "seed {seed}: ends early");
        assert!(!is_whole || seen.len() == names.len(), "seed {seed}: lacks names");
    }
}
