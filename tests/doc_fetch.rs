//! When documents are fetched after a heartbeat, and the load that it answers.

mod support;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use parking_lot::Mutex;
use support::ms;
use tamarackdeck::{
    Doc, DocOffers, FetchStep, InstanceId, Member, PeerOptions, Peers, SLOW_FETCH, Tier,
    TierOptions, UpstreamCodec, fetch_delay, run_heartbeats, serve_peers,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Returns a tier of its own, whose machine bounds the links.
fn new_tier() -> Arc<Tier> {
    Arc::new(Tier::new(TierOptions::default(), UpstreamCodec))
}

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

const TOPIC: &str = "entries";

fn versions(version: u64) -> IndexMap<String, u64> {
    IndexMap::from([(TOPIC.to_owned(), version)])
}

fn peer(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16))
}

/// An instance that was suspended or cut off hears from all members at once. One fetch takes a fixed time.
struct PauseCase {
    name: &'static str,
    /// Version that the instance has; `None` if it lacks the document.
    has: Option<u64>,
    /// Versions that the members have, each shown in a heartbeat at 0 ms and at this interval.
    members: &'static [u64],
    interval_ms: u64,
    fetch_ms: u64,
    /// Members that answer no fetch, the last ones.
    unresponsive: usize,
    /// When a fetch from such a member ends.
    no_answer_ms: u64,
    /// When such members send their last heartbeat.
    silent_after_ms: u64,
    /// When a push of the newest version arrives, if it does.
    pushed_at_ms: Option<u64>,
    /// Maximum number of fetches, those without an answer included.
    max_fetches: usize,
    /// Maximum time until the instance has the newest version.
    max_lag_ms: u64,
}

const PAUSE: PauseCase = PauseCase {
    name: "",
    has: Some(1),
    members: &[7; 60],
    interval_ms: 400,
    fetch_ms: 30,
    unresponsive: 0,
    no_answer_ms: 30,
    silent_after_ms: 10_000,
    pushed_at_ms: None,
    max_fetches: 1,
    max_lag_ms: 900,
};

const PAUSES: &[PauseCase] = &[
    PauseCase { name: "all members have the same version", ..PAUSE },
    PauseCase {
        name: "fetches take longer than heartbeats",
        fetch_ms: 1_000,
        max_lag_ms: 1_900,
        ..PAUSE
    },
    PauseCase {
        name: "some members are behind the others",
        members: &[7, 5, 7, 6, 5, 7, 6],
        max_fetches: 2,
        ..PAUSE
    },
    PauseCase {
        name: "the push arrives in time",
        pushed_at_ms: Some(700),
        max_fetches: 0,
        ..PAUSE
    },
    PauseCase {
        name: "the push arrives during the fetch",
        pushed_at_ms: Some(1_000),
        fetch_ms: 500,
        max_lag_ms: 1_000,
        ..PAUSE
    },
    PauseCase { name: "an instance without the document", has: None, max_lag_ms: 30, ..PAUSE },
    PauseCase {
        name: "most members answer no fetch",
        members: &[7; 5],
        unresponsive: 4,
        max_fetches: 5,
        max_lag_ms: 1_100,
        ..PAUSE
    },
    PauseCase {
        name: "the member heard last is suspended",
        members: &[7; 5],
        unresponsive: 1,
        no_answer_ms: 3_000,
        silent_after_ms: 0,
        max_fetches: 2,
        max_lag_ms: 2_200,
        ..PAUSE
    },
];

/// Replays a case until the instance has the newest version and all fetches have ended. Returns the number of fetches and the
/// time until then; `slow` is the time after which a fetch no longer holds up the next one, none do without it.
fn replay_pause(case: &PauseCase, slow: Option<Duration>) -> (usize, u64) {
    let newest = case.members.iter().copied().max().unwrap_or_default();
    let (mut offers, mut has, mut fetches, mut reached_at) =
        (DocOffers::default(), case.has, 0, None);
    // without a limit: heartbeats, by when their fetch is due, and what the member has
    let mut unlimited: VecDeque<(u64, usize)> = VecDeque::new();
    let is_unresponsive = |member: usize| member + case.unresponsive >= case.members.len();
    // when a fetch began, and its member
    let mut in_flight: Vec<(u64, usize)> = Vec::new();
    let took = |member| if is_unresponsive(member) { case.no_answer_ms } else { case.fetch_ms };
    for now in 0..10_000 {
        for (_, member) in in_flight.extract_if(.., |(began, m)| *began + took(*m) <= now) {
            if !is_unresponsive(member) {
                has = has.max(Some(case.members[member]));
            }
        }
        if case.pushed_at_ms == Some(now) {
            has = has.max(Some(newest));
        }
        if has >= Some(newest) && reached_at.is_none() {
            reached_at = Some(now);
        }
        let is_behind = |theirs: u64| has.is_none_or(|own| own < theirs);
        if now % case.interval_ms == 0 {
            for (member, version) in case.members.iter().enumerate().filter(|(_, v)| is_behind(**v))
            {
                if is_unresponsive(member) && now > case.silent_after_ms {
                    continue;
                }
                offers.record_heartbeat(peer(member), versions(*version), has.is_none(), ms(now));
                let delay_ms = fetch_delay(has.is_none()).as_millis() as u64;
                unlimited.push_back((now + delay_ms, member));
            }
        }
        if slow.is_none() {
            while let Some((_, member)) = unlimited.pop_front_if(|(due, _)| *due <= now) {
                if is_behind(case.members[member]) {
                    in_flight.push((now, member));
                    fetches += 1;
                }
            }
        }
        while slow.is_some_and(|slow| {
            in_flight.iter().all(|(began, _)| u128::from(now - began) >= slow.as_millis())
        }) {
            let step = offers.next_step(|theirs| is_behind(theirs[TOPIC]), ms(now));
            let FetchStep::Fetch(from) = step else { break };
            in_flight.push((now, usize::from(from.port() - 1_000)));
            fetches += 1;
        }
    }
    (fetches, reached_at.unwrap_or(u64::MAX))
}

#[test]
fn after_a_pause_documents_are_fetched_once() {
    let mut failures = Vec::new();
    for case in PAUSES {
        let (fetches, lag) = replay_pause(case, Some(SLOW_FETCH));
        let (_, one_at_a_time) = replay_pause(case, Some(Duration::MAX));
        let (before, lag_before) = replay_pause(case, None);
        println!(
            "case: {}: {fetches} fetches, newest after {lag} ms; {one_at_a_time} ms one at a time; {before} and {lag_before} ms \
             without a limit",
            case.name
        );
        if fetches > case.max_fetches || lag > case.max_lag_ms {
            failures.push(format!("{}: {fetches} fetches, newest after {lag} ms", case.name));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn a_push_that_can_not_be_applied_is_made_up_for_at_once_unless_that_is_no_longer_needed() {
    for (has, expected) in [(4, FetchStep::Fetch(peer(3))), (5, FetchStep::Idle)] {
        let mut offers = DocOffers::default();
        offers.record_failed_push(peer(3), versions(5));
        offers.record_failed_push(peer(3), versions(5));
        let is_behind = |theirs: &IndexMap<String, u64>| theirs[TOPIC] > has;
        assert_eq!(offers.next_step(is_behind, ms(0)), expected, "version {has}");
        assert_eq!(offers.next_step(is_behind, ms(0)), FetchStep::Idle, "version {has}");
    }
}

/// Members that send their first heartbeats to an instance at the same time, over links.
struct LinkCase {
    name: &'static str,
    /// Version of the document of each member; the instance has version 1.
    members: &'static [u64],
    max_fetches: usize,
}

const LINKS: &[LinkCase] = &[
    LinkCase { name: "the same version", members: &[2; 24], max_fetches: 1 },
    LinkCase {
        name: "two versions",
        members: &[2, 3, 2, 3, 2, 3, 2, 3, 2, 3, 2, 3],
        max_fetches: 2,
    },
];

/// Entries of a document, and bytes of each; an instance needs some milliseconds to apply all.
const DOC_ENTRIES: usize = 20_000;
const ENTRY_BYTES: usize = 150;

/// The addresses of the members that documents were fetched from, by the log.
static FETCHED_FROM: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct FetchLog;

impl log::Log for FetchLog {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.args().as_str() == Some("documents fetched") {
            let peer = record.key_values().get("peer".into()).map(|v| v.to_string());
            FETCHED_FROM.lock().extend(peer);
        }
    }

    fn flush(&self) {}
}

fn new_peers(me: Member, list: &[Member], version: u64) -> Arc<Peers> {
    let opts =
        PeerOptions { deployment: "default".into(), me, seeds: Vec::new(), remote_push_fanout: 0 };
    let peers = Arc::new(Peers::new(opts, Box::new(|_, _| {})));
    let entry = Bytes::from(vec![version as u8; ENTRY_BYTES]);
    let entries = (0..DOC_ENTRIES).map(|n| (format!("entry-{n}"), entry.clone())).collect();
    peers.publish(TOPIC, Doc { version, entries }); // no member is known yet
    peers.apply_list(list);
    peers
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn members_that_all_have_a_newer_document_send_it_once() {
    log::set_logger(&FetchLog).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let mut failures = Vec::new();
    for case in LINKS {
        let mut listeners = Vec::new();
        let mut members = Vec::new();
        for n in 0..=case.members.len() {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            members.push(Member {
                id: InstanceId::new(&format!("i{n}"), 1),
                domain: "d".into(),
                addr: listener.local_addr().unwrap(),
                power: if n == 0 { 2 } else { 1 },
            });
            listeners.push(listener);
        }
        let (stop, mut listeners) = (CancellationToken::new(), listeners.into_iter());
        let own_listener = listeners.next().unwrap();
        let instance = new_peers(members[0].clone(), &members, 1);
        let mut tasks = Vec::new();
        for (n, listener) in listeners.enumerate() {
            let member = members[n + 1].clone();
            let peers = new_peers(member.clone(), &[members[0].clone(), member], case.members[n]);
            tasks.push(tokio::spawn(serve_peers(
                new_tier(),
                peers.clone(),
                listener,
                stop.clone(),
            )));
            tasks.push(tokio::spawn(run_heartbeats(peers)));
        }
        // their links wait for the instance, as after a suspension
        tokio::time::sleep(Duration::from_millis(300)).await;
        FETCHED_FROM.lock().clear();
        tasks.push(tokio::spawn(serve_peers(
            new_tier(),
            instance.clone(),
            own_listener,
            stop.clone(),
        )));
        tasks.push(tokio::spawn(run_heartbeats(instance.clone())));
        let newest = case.members.iter().max().copied().unwrap();
        let deadline = Instant::now() + Duration::from_secs(10);
        while instance.doc(TOPIC).unwrap().version < newest {
            assert!(Instant::now() < deadline, "{}: documents not fetched", case.name);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_secs(2)).await; // fetches that are still under way
        let own_addr = members[0].addr.to_string();
        let fetches = FETCHED_FROM.lock().iter().filter(|from| **from != own_addr).count();
        println!("case: {}: {fetches} fetches", case.name);
        if fetches > case.max_fetches {
            failures.push(format!("{}: {fetches} fetches", case.name));
        }
        stop.cancel();
        tasks.iter().for_each(|task| task.abort());
    }
    assert!(failures.is_empty(), "{failures:?}");
}
