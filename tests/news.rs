//! State that instances learn from peers and the platform: store entries, members, documents.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use support::ms;
use tamarackdeck::{
    Beliefs, Doc, DocStore, GracePeriods, HeldBack, InstanceId, Member, Members, StorePoint,
};

/// What one instance believes, with the document of its watcher and the grace periods that it knows.
#[derive(Default)]
struct View {
    beliefs: Beliefs,
    grace: GracePeriods,
    era: u64,
    revision: u64,
    listed: IndexMap<String, Bytes>,
}

impl View {
    /// Applies a document with the entries listed.
    fn publish(&mut self, at: u64) {
        self.revision += 1;
        let point = StorePoint { era: self.era, revision: self.revision };
        let doc = Arc::new(Doc { version: point.doc_version(), entries: self.listed.clone() });
        self.grace.record_era(self.era, ms(at));
        self.grace.believe(&mut self.beliefs, doc, HeldBack::RestoredAndLapsed, ms(at));
    }

    fn list(&mut self, entries: &[(&str, u32)], at: u64) {
        let text = |n: u32| Bytes::from(n.to_string());
        self.listed = entries.iter().map(|(name, n)| ((*name).to_owned(), text(*n))).collect();
        self.publish(at);
    }

    /// Lists a store that came back from an older copy.
    fn list_restored(&mut self, entries: &[(&str, u32)], at: u64) {
        self.era += 1;
        self.list(entries, at);
    }

    fn insert(&mut self, name: &str, n: u32, at: u64) {
        self.listed.insert(name.to_owned(), Bytes::from(n.to_string()));
        self.publish(at);
    }

    fn remove(&mut self, name: &str, at: u64) {
        self.listed.shift_remove(name);
        self.publish(at);
    }

    fn start_grace(&mut self, at: u64) {
        self.grace.record_return(ms(at));
    }

    fn believed(&mut self, at: u64) -> Vec<(String, u32)> {
        self.beliefs.expire(ms(at));
        let number = |text: &Bytes| std::str::from_utf8(text).unwrap().parse().unwrap();
        let mut left: Vec<_> =
            self.beliefs.iter().map(|(name, text)| (name.to_owned(), number(text))).collect();
        left.sort_unstable();
        left
    }
}

struct EntryCase {
    name: &'static str,
    steps: fn(&mut View),
    /// Names left at 10 s, after expired entries are removed.
    left: &'static [&'static str],
}

const ENTRIES: &[EntryCase] = &[
    EntryCase {
        name: "removed outside the grace period",
        steps: |v| v.remove("a", 5_000),
        left: &["b"],
    },
    EntryCase {
        name: "removed during the grace period stays until its end",
        steps: |v| {
            v.start_grace(8_500);
            v.remove("a", 8_600);
        },
        left: &["a", "b"],
    },
    EntryCase {
        name: "not registered again when the grace period ends",
        steps: |v| {
            v.start_grace(7_000);
            v.remove("a", 7_100);
        },
        left: &["b"],
    },
    EntryCase {
        name: "registered again in time",
        steps: |v| {
            v.start_grace(7_000);
            v.remove("a", 7_100);
            v.insert("a", 3, 7_200);
        },
        left: &["a", "b"],
    },
    EntryCase {
        name: "registered again in time, and removed after the grace period",
        steps: |v| {
            v.start_grace(7_000);
            v.remove("a", 7_100);
            v.insert("a", 3, 7_200);
            v.remove("a", 9_100);
        },
        left: &["b"],
    },
    EntryCase {
        name: "entry that another instance saw removed does not return in the grace period",
        steps: |v| {
            // the document of another instance, while this one does not reach the store
            v.list(&[("b", 1)], 8_000);
            v.start_grace(8_500);
            v.list(&[("b", 2)], 8_600);
        },
        left: &["b"],
    },
    EntryCase {
        name: "entry known to another instance but not listed is kept for the grace period",
        steps: |v| {
            v.start_grace(8_500);
            v.list(&[("a", 1), ("b", 1)], 8_550);
            v.list(&[("b", 2)], 8_600);
        },
        left: &["a", "b"],
    },
    EntryCase {
        name: "missing from a list after an outage is kept",
        steps: |v| {
            v.start_grace(8_500);
            v.list(&[("b", 2)], 8_600);
        },
        left: &["a", "b"],
    },
    EntryCase {
        name: "missing from a list at any other time is removed",
        steps: |v| v.list(&[("b", 2)], 8_600),
        left: &["b"],
    },
    EntryCase {
        name: "a peer's grace period counts from its start, not from when it is heard of",
        steps: |v| {
            v.grace.record_peer(Duration::from_millis(500), ms(8_500));
            v.remove("a", 8_600);
        },
        left: &["b"],
    },
    EntryCase {
        name: "a peer's grace period is no longer than any",
        steps: |v| {
            v.grace.record_peer(Duration::from_secs(60), ms(7_500));
            v.remove("a", 8_600);
        },
        left: &["b"],
    },
    EntryCase {
        name: "the second outage does not lengthen what was kept after the first",
        steps: |v| {
            v.start_grace(7_900);
            v.remove("a", 8_000);
            v.start_grace(9_000);
            v.list(&[("b", 3)], 9_100);
        },
        left: &["b"],
    },
];

#[test]
fn entries_that_expired_during_an_outage_get_a_grace_period() {
    for case in ENTRIES {
        let mut view = View::default();
        view.list(&[("a", 1), ("b", 2)], 0);
        (case.steps)(&mut view);
        let left: Vec<String> = view.believed(10_000).into_iter().map(|(name, _)| name).collect();
        assert_eq!(left, case.left, "{}", case.name);
    }
}

struct RestoredCase {
    name: &'static str,
    /// What the restored store lists at 7.0 s; `a` is 1 and `b` is 2 before.
    list: &'static [(&'static str, u32)],
    then: fn(&mut View),
    /// Entries in the grace period, and after it.
    during: &'static [(&'static str, u32)],
    after: &'static [(&'static str, u32)],
}

const RESTORED: &[RestoredCase] = &[
    RestoredCase {
        name: "nothing was lost",
        list: &[("a", 1), ("b", 2)],
        then: |_| {},
        during: &[("a", 1), ("b", 2)],
        after: &[("a", 1), ("b", 2)],
    },
    RestoredCase {
        name: "an entry of the lost time is not written again",
        list: &[("b", 2)],
        then: |_| {},
        during: &[("a", 1), ("b", 2)],
        after: &[("b", 2)],
    },
    RestoredCase {
        name: "an entry of the lost time is written again",
        list: &[("b", 2)],
        then: |v| v.insert("a", 1, 7_500),
        during: &[("a", 1), ("b", 2)],
        after: &[("a", 1), ("b", 2)],
    },
    RestoredCase {
        name: "an entry that was removed is back, and stays",
        list: &[("a", 1), ("b", 2), ("c", 3)],
        then: |_| {},
        during: &[("a", 1), ("b", 2)],
        after: &[("a", 1), ("b", 2), ("c", 3)],
    },
    RestoredCase {
        name: "an entry that was removed is back, and is removed again",
        list: &[("a", 1), ("b", 2), ("c", 3)],
        then: |v| v.remove("c", 7_500),
        during: &[("a", 1), ("b", 2)],
        after: &[("a", 1), ("b", 2)],
    },
    RestoredCase {
        name: "an entry is as it was before, and is written again",
        list: &[("a", 9), ("b", 2)],
        then: |v| v.insert("a", 1, 7_500),
        during: &[("a", 1), ("b", 2)],
        after: &[("a", 1), ("b", 2)],
    },
    RestoredCase {
        name: "an entry differs, and is not written again",
        list: &[("a", 9), ("b", 2)],
        then: |_| {},
        during: &[("a", 1), ("b", 2)],
        after: &[("a", 9), ("b", 2)],
    },
    RestoredCase {
        name: "an entry differs while another one is written",
        list: &[("a", 9), ("b", 2)],
        then: |v| v.insert("b", 4, 7_500),
        during: &[("a", 1), ("b", 4)],
        after: &[("a", 9), ("b", 4)],
    },
    RestoredCase {
        name: "a second restore within the grace period",
        list: &[("a", 9), ("b", 2)],
        then: |v| v.list_restored(&[("b", 2)], 8_000),
        during: &[("a", 1), ("b", 2)],
        after: &[("b", 2)],
    },
];

#[test]
fn entries_of_the_lost_time_hold_until_they_are_written_again() {
    for case in RESTORED {
        let mut view = View::default();
        view.list(&[("a", 1), ("b", 2)], 0);
        view.list_restored(case.list, 7_000);
        let owned = |list: &[(&str, u32)]| -> Vec<(String, u32)> {
            list.iter().map(|(name, n)| ((*name).to_owned(), *n)).collect()
        };
        (case.then)(&mut view);
        assert_eq!(view.believed(8_900), owned(case.during), "{} at 8,900 ms", case.name);
        assert_eq!(view.believed(10_100), owned(case.after), "{} at 10,100 ms", case.name);
        assert_eq!(view.beliefs.kept_count(), 0, "{}", case.name);
    }
}

/// Guards against a grace period that begins anew with each kind, or with the first list after a cut, long after the store's
/// return.
#[test]
fn the_grace_period_of_a_restore_counts_from_when_its_era_is_heard_of() {
    let mut view = View::default();
    view.list(&[("a", 1), ("b", 2)], 0);
    view.grace.record_era(1, ms(7_000));
    view.list_restored(&[("a", 1)], 9_100);
    assert_eq!(view.believed(9_100), [("a".to_owned(), 1)]);
}

fn member(name: &str, domain: &str) -> Member {
    let addr = "127.0.0.1:9".parse().unwrap();
    Member { id: InstanceId::new(name, 1), domain: domain.into(), addr, power: 0 }
}

const CONTACT_TIMEOUT: Duration = Duration::from_secs(1);

struct WatchCase {
    name: &'static str,
    /// Members in contact: name, whether it can watch, and time of the contact in milliseconds.
    contacts: &'static [(&'static str, bool, u64)],
    /// How many of a, b and c consider themselves the watcher at 10 s.
    watchers: usize,
}

const WATCHES: &[WatchCase] = &[
    WatchCase {
        name: "members that cannot watch leave it to the one that can",
        contacts: &[("a", false, 9_900), ("b", true, 9_900), ("c", false, 9_900)],
        watchers: 1,
    },
    WatchCase {
        name: "one of the members in contact",
        contacts: &[("a", true, 9_900), ("b", true, 9_900), ("c", true, 9_900)],
        watchers: 1,
    },
    WatchCase { name: "every member when none is in contact", contacts: &[], watchers: 3 },
    WatchCase {
        name: "every member when all contacts timed out",
        contacts: &[("a", true, 8_000), ("b", true, 8_000), ("c", true, 8_000)],
        watchers: 3,
    },
    WatchCase {
        name: "two keep trying when none can watch",
        contacts: &[("a", false, 9_900), ("b", false, 9_900), ("c", false, 9_900)],
        watchers: 2,
    },
];

struct NewcomerCase {
    name: &'static str,
    /// Members on the list, which is received 50 ms after the start.
    listed: &'static [&'static str],
    /// Members in contact, whether they can watch, and the time of contact in milliseconds.
    contacts: &'static [(&'static str, bool, u64)],
    /// Time since the start of the process, in milliseconds.
    now: u64,
    /// Whether `a`, the lowest in rank, watches.
    watches: bool,
}

const NEWCOMERS: &[NewcomerCase] = &[
    NewcomerCase { name: "alone", listed: &["a"], contacts: &[], now: 60, watches: true },
    NewcomerCase {
        name: "others are listed and had no time to be in contact",
        listed: &["a", "b", "c"],
        contacts: &[],
        now: 60,
        watches: false,
    },
    NewcomerCase {
        name: "a listed one is in contact and cannot watch, another is not in contact yet",
        listed: &["a", "b", "c"],
        contacts: &[("b", false, 400)],
        now: 410,
        watches: false,
    },
    NewcomerCase {
        name: "those listed are not in contact in time",
        listed: &["a", "b", "c"],
        contacts: &[],
        now: 1_060,
        watches: true,
    },
    NewcomerCase {
        name: "only members of another domain are listed",
        listed: &["a", "far"],
        contacts: &[],
        now: 60,
        watches: true,
    },
];

#[test]
fn a_newcomer_leaves_watching_to_listed_members() {
    for case in NEWCOMERS {
        let domain = |name: &str| if name == "far" { "other" } else { "d" };
        // the rank follows the power
        let member = |name: &str| Member {
            power: name.bytes().map(u32::from).sum(),
            ..member(name, domain(name))
        };
        let mut members = Members::default();
        let list: Vec<Member> = case.listed.iter().map(|name| member(name)).collect();
        members.apply_list(&list, ms(50), CONTACT_TIMEOUT);
        for (name, can_watch, at) in case.contacts {
            members.record_contact(&member(name), *can_watch, ms(*at));
        }
        let watches = members.is_watcher(&member("a"), true, CONTACT_TIMEOUT, ms(case.now));
        assert_eq!(watches, case.watches, "{}", case.name);
    }
}

/// A member that is listed later may not be up: the one that watches goes on until it is in contact.
#[test]
fn a_watcher_goes_on_until_a_higher_ranked_one_is_in_contact() {
    let member = |name: &str, power| Member { power, ..member(name, "d") };
    let mut members = Members::default();
    members.apply_list(&[member("a", 1)], ms(50), CONTACT_TIMEOUT);
    members.apply_list(&[member("a", 1), member("b", 2)], ms(60_000), CONTACT_TIMEOUT);
    let watches =
        |members: &Members| members.is_watcher(&member("a", 1), true, CONTACT_TIMEOUT, ms(60_100));
    assert!(watches(&members));
    members.record_contact(&member("b", 2), true, ms(60_050));
    assert!(!watches(&members));
}

#[test]
fn one_member_of_a_domain_watches_the_platform() {
    let names = ["a", "b", "c"];
    for case in WATCHES {
        let mut members = Members::default();
        members.record_contact(&member("far", "other"), true, ms(9_999));
        for (name, can_watch, at) in case.contacts {
            members.record_contact(&member(name, "d"), *can_watch, ms(*at));
        }
        let can_watch =
            |n: &str| case.contacts.iter().all(|(name, can_watch, _)| *name != n || *can_watch);
        let watches = |n: &&&str| {
            members.is_watcher(&member(n, "d"), can_watch(n), CONTACT_TIMEOUT, ms(10_000))
        };
        assert_eq!(names.iter().filter(watches).count(), case.watchers, "{}", case.name);
    }
}

#[test]
fn watcher_that_is_silent_or_cannot_watch_is_replaced() {
    let names = ["a", "b", "c"];
    let mut members = Members::default();
    names.iter().for_each(|n| members.record_contact(&member(n, "d"), true, ms(9_900)));
    let watcher = |members: &Members, at| {
        let mut all = names
            .iter()
            .filter(|n| members.is_watcher(&member(n, "d"), true, CONTACT_TIMEOUT, ms(at)));
        all.next().copied().unwrap()
    };
    let first = watcher(&members, 10_000);
    let mut cut_off = members.clone();
    cut_off.record_contact(&member(first, "d"), false, ms(10_000));
    let others = names.iter().filter(|n| **n != first);
    let next: Vec<_> = others
        .filter(|n| cut_off.is_watcher(&member(n, "d"), true, CONTACT_TIMEOUT, ms(10_100)))
        .collect();
    assert_eq!(next.len(), 1, "one other member replaces a watcher that cannot watch");
    let still = cut_off.is_watcher(&member(first, "d"), false, CONTACT_TIMEOUT, ms(10_100));
    assert!(!still, "the member that cannot watch is no longer the watcher");
    let mut silent = members;
    names
        .iter()
        .filter(|n| **n != first)
        .for_each(|n| silent.record_contact(&member(n, "d"), true, ms(11_500)));
    let others = names.iter().filter(|n| **n != first);
    let replacements: Vec<_> = others
        .filter(|n| silent.is_watcher(&member(n, "d"), true, CONTACT_TIMEOUT, ms(11_600)))
        .collect();
    assert_eq!(replacements, next, "the same member replaces a silent watcher");
}

#[test]
fn member_count_includes_silent_members_while_listed() {
    let mut members = Members::default();
    members.apply_list(&[member("a", "d"), member("b", "d")], ms(0), CONTACT_TIMEOUT);
    members.record_contact(&member("c", "d"), true, ms(100));
    assert_eq!(members.len(), 3, "listed or in contact");
    members.apply_list(&[member("a", "d")], ms(500), CONTACT_TIMEOUT);
    assert_eq!(members.len(), 2, "in contact recently, though not listed");
    members.apply_list(&[member("a", "d")], ms(2_000), CONTACT_TIMEOUT);
    assert_eq!(members.len(), 1, "neither listed nor in contact");
    assert_eq!(members.silent_in("d", CONTACT_TIMEOUT, ms(3_000)), ["a"]);
    members.remove("a");
    assert!(members.is_empty());
}

#[test]
fn document_versions_never_decrease() {
    let doc = |version: u64| {
        let entry = ("e".to_owned(), Bytes::from(version.to_string()));
        Arc::new(Doc { version, entries: IndexMap::from([entry]) })
    };
    let mut docs = DocStore::default();
    let accepted: Vec<bool> =
        [3, 2, 3, 5].iter().map(|v| docs.update("t", doc(*v)).is_some()).collect();
    assert_eq!(accepted, [true, false, false, true]);
    let have = |v| IndexMap::from([("t".to_owned(), v)]);
    assert!(docs.is_behind(&have(6)) && !docs.is_behind(&have(5)));
    assert!(docs.newer_than(&have(5)).is_empty());
    assert_eq!(docs.newer_than(&have(4))["t"], doc(5));
    assert_eq!(docs.newer_than(&IndexMap::new())["t"], doc(5));
}
