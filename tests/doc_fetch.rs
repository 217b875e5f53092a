//! When documents are fetched after a heartbeat, and the load that it answers.

use std::time::Duration;

use tamarackdeck::fetch_delay;

/// A document of many entries changes at a fixed interval. Its watcher pushes each change to one member after the other, and
/// each member hears the new version from a heartbeat before its push arrives. All transfers share the watcher's link.
struct Case {
    name: &'static str,
    members: u64,
    changes: u64,
    interval_ms: u64,
    /// Time that the link needs for one push and for one whole document, in milliseconds.
    push_ms: u64,
    doc_ms: u64,
    /// Members that have no document at first.
    newcomers: u64,
    /// The change that the network loses on its way to all members, by number.
    lost: Option<u64>,
    /// Maximum number of whole documents that are transferred.
    max_fetches: u64,
    /// Maximum time from a change until all members have it, in milliseconds.
    max_lag_ms: u64,
}

const CASE: Case = Case {
    name: "",
    members: 60,
    changes: 20,
    interval_ms: 300,
    push_ms: 2,
    doc_ms: 25,
    newcomers: 0,
    lost: None,
    max_fetches: 0,
    max_lag_ms: 300,
};

const CASES: &[Case] = &[
    Case { name: "heartbeats overtake pushes while many servers register", ..CASE },
    Case {
        name: "a lost push is made up for by a fetch",
        lost: Some(20),
        max_fetches: 60,
        max_lag_ms: 3_000,
        ..CASE
    },
    Case { name: "newcomers fetch at once", newcomers: 5, max_fetches: 5, ..CASE },
];

/// Returns the number of whole documents transferred, and the longest time until all members have a change.
fn replay(case: &Case, delay: impl Fn(bool) -> Duration) -> (u64, u64) {
    let delay_ms = |lacks_doc| delay(lacks_doc).as_millis() as u64;
    // transfers that want the link: when, how long, to which member, and the version that they bring
    let mut wanted: Vec<(u64, u64, u64, u64)> = Vec::new();
    let mut fetches_due: Vec<(u64, u64, u64)> = Vec::new();
    for change in 1..=case.changes {
        let at = change * case.interval_ms;
        for member in 0..case.members {
            let lacks_doc = change == 1 && member < case.newcomers;
            if case.lost != Some(change) && !lacks_doc {
                wanted.push((at, case.push_ms, member, change));
            }
            fetches_due.push((at + delay_ms(lacks_doc), member, change));
        }
    }
    let (mut versions, mut fetches, mut max_lag) = (vec![0; case.members as usize], 0, 0);
    let (mut now, mut done) = (0, 0);
    wanted.sort_unstable();
    fetches_due.sort_unstable();
    let (mut pushes, mut due) = (wanted.into_iter().peekable(), fetches_due.into_iter().peekable());
    while pushes.peek().is_some() || due.peek().is_some() {
        let next_push = pushes.peek().map_or(u64::MAX, |p| p.0);
        let next_fetch = due.peek().map_or(u64::MAX, |f| f.0);
        now = now.max(next_push.min(next_fetch));
        // a fetch that is due goes first: the heartbeat has overtaken the push
        let (member, version) = if next_fetch <= now {
            let (_, member, change) = due.next().unwrap();
            if versions[member as usize] >= change {
                continue;
            }
            fetches += 1;
            now += case.doc_ms;
            (member, now.min(case.changes * case.interval_ms) / case.interval_ms)
        } else {
            let (_, took, member, change) = pushes.next().unwrap();
            now += took;
            (member, change)
        };
        let has = &mut versions[member as usize];
        *has = version.max(*has);
        let behind = versions.iter().min().copied().unwrap_or_default();
        while done < behind {
            done += 1;
            max_lag = max_lag.max(now - done * case.interval_ms);
        }
    }
    (fetches, max_lag)
}

#[test]
fn whole_documents_are_fetched_only_if_a_push_is_missed() {
    for case in CASES {
        let (fetches, max_lag) = replay(case, fetch_delay);
        let (before, lag_before) = replay(case, |_| Duration::ZERO);
        println!(
            "case: {}: {fetches} documents, in force after {max_lag} ms; {before} and {lag_before} ms if they are fetched at once",
            case.name
        );
        assert!(fetches <= case.max_fetches, "{}: {fetches} documents", case.name);
        assert!(max_lag <= case.max_lag_ms, "{}: in force after {max_lag} ms", case.name);
        assert!(before > case.max_fetches, "{}: the load does not show the fault", case.name);
    }
}
