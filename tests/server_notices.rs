//! What servers ask for: who is sent requests meanwhile, and when callers that are turned away return.

mod support;

use std::time::Duration;

use support::ms;
use tamarackdeck::{
    Availability, Candidate, Key, ListenerNumber, MAX_BACKOFF, NameInterner, NotRunCode, Notice,
    NoticeMemory, PoolKey, Reservation, ReturnTimes, RunId, RunReport, Sent, ServerKey,
    ServerNotices, ServerReport, ServerStats, ServiceShare, Tick, Topology, available_from,
    pick_server, return_from,
};

const LEAVING: Notice = Notice { draining: true, backoff: None };

const fn backoff(time_ms: u64) -> Notice {
    Notice { draining: false, backoff: Some(Duration::from_millis(time_ms)) }
}

struct NoticeCase {
    name: &'static str,
    /// Notices, each with the time of its reply in milliseconds.
    replies: &'static [(u64, Notice)],
    /// Times in milliseconds, and what is refused a request then.
    refused: &'static [(u64, Option<NotRunCode>)],
}

const NOTICES: &[NoticeCase] = &[
    NoticeCase {
        name: "a server that asked for nothing",
        replies: &[(0, Notice { draining: false, backoff: None })],
        refused: &[(0, None), (1, None)],
    },
    NoticeCase {
        name: "requests again once the time has passed, not before",
        replies: &[(10, backoff(1_000))],
        refused: &[
            (10, Some(NotRunCode::BackingOff)),
            (1_009, Some(NotRunCode::BackingOff)),
            (1_010, None),
        ],
    },
    NoticeCase {
        name: "a shorter time that is read later does not shorten the first",
        replies: &[(10, backoff(1_000)), (20, backoff(100))],
        refused: &[(500, Some(NotRunCode::BackingOff)), (1_010, None)],
    },
    NoticeCase {
        name: "a reply that asks for nothing does not end the time",
        replies: &[(10, backoff(1_000)), (20, Notice { draining: false, backoff: None })],
        refused: &[(500, Some(NotRunCode::BackingOff))],
    },
    NoticeCase {
        name: "a later time prolongs the first",
        replies: &[(10, backoff(1_000)), (900, backoff(1_000))],
        refused: &[(1_500, Some(NotRunCode::BackingOff)), (1_900, None)],
    },
    NoticeCase { name: "no time", replies: &[(10, backoff(0))], refused: &[(10, None)] },
    NoticeCase {
        name: "an absurd time ends after the maximum",
        replies: &[(0, backoff(u64::MAX / 2))],
        refused: &[(3_599_999, Some(NotRunCode::BackingOff)), (3_600_000, None)],
    },
    NoticeCase {
        name: "a run that leaves does not return",
        replies: &[(10, LEAVING), (20, Notice { draining: false, backoff: None })],
        refused: &[(10, Some(NotRunCode::Leaving)), (100_000_000, Some(NotRunCode::Leaving))],
    },
    NoticeCase {
        name: "a run that leaves after the time it asked for",
        replies: &[(10, Notice { draining: true, ..backoff(1_000) })],
        refused: &[(500, Some(NotRunCode::Leaving)), (2_000, Some(NotRunCode::Leaving))],
    },
];

#[test]
fn a_server_is_sent_nothing_that_it_asked_not_to_be_sent() {
    assert_eq!(MAX_BACKOFF, Duration::from_secs(3_600));
    for case in NOTICES {
        let mut notices = ServerNotices::default();
        for (at, notice) in case.replies {
            notices.record(*notice, ms(*at));
        }
        for (at, refused) in case.refused {
            assert_eq!(
                notices.permit(&Reservation::default(), ms(*at)).err(),
                *refused,
                "{}: {at} ms",
                case.name
            );
        }
    }
}

struct RunCase {
    name: &'static str,
    /// Boot IDs of two replies; the first one asks for something.
    boot_ids: [Option<u64>; 2],
    starts_clean: bool,
}

const RUNS: &[RunCase] = &[
    RunCase { name: "the same run", boot_ids: [Some(1), Some(1)], starts_clean: false },
    RunCase { name: "a new run", boot_ids: [Some(1), Some(2)], starts_clean: true },
    RunCase { name: "runs that are not identified", boot_ids: [None, None], starts_clean: false },
];

#[test]
fn a_new_run_of_a_server_starts_clean() {
    for case in RUNS {
        for notice in [LEAVING, backoff(60_000)] {
            let mut stats = ServerStats::default();
            let [first, second] = case.boot_ids;
            let run = |boot_id, notice| RunReport { boot_id, notice, ..RunReport::default() };
            assert!(stats.record_run(run(first, notice), Duration::ZERO, ms(1)), "{}", case.name);
            stats.record_run(run(second, Notice::default()), Duration::ZERO, ms(2));
            assert_eq!(
                stats.notices.permit(&Reservation::default(), ms(3)).is_ok(),
                case.starts_clean,
                "{}",
                case.name
            );
        }
    }
}

#[derive(Clone, Copy)]
enum ListenerEvent {
    Accepted,
    NoListener,
    /// The connection timed out or was reset, which tells nothing of a listener.
    NotOpened,
    /// A reply on a connection to the listener of this number among those that accepted connections.
    Reply(usize, Notice),
}

struct ListenerCase {
    name: &'static str,
    events: &'static [ListenerEvent],
    /// Why the server is refused a request while the same run is listed.
    refused: Option<NotRunCode>,
    /// Why the next run that is listed is refused one.
    refused_once_listed: Option<NotRunCode>,
}

const LISTENERS: &[ListenerCase] = &[
    ListenerCase {
        name: "the listed run leaves",
        events: &[ListenerEvent::Accepted, ListenerEvent::Reply(0, LEAVING)],
        refused: Some(NotRunCode::Leaving),
        refused_once_listed: None,
    },
    ListenerCase {
        name: "a listed run does not accept connections at once",
        events: &[
            ListenerEvent::NoListener,
            ListenerEvent::Accepted,
            ListenerEvent::Reply(0, LEAVING),
        ],
        refused: Some(NotRunCode::Leaving),
        refused_once_listed: None,
    },
    ListenerCase {
        name: "connections that fail otherwise do not tell of another run",
        events: &[
            ListenerEvent::Accepted,
            ListenerEvent::NotOpened,
            ListenerEvent::Accepted,
            ListenerEvent::Reply(1, LEAVING),
        ],
        refused: Some(NotRunCode::Leaving),
        refused_once_listed: None,
    },
    ListenerCase {
        name: "a run that is not listed yet leaves",
        events: &[
            ListenerEvent::Accepted,
            ListenerEvent::NoListener,
            ListenerEvent::NoListener,
            ListenerEvent::Accepted,
            ListenerEvent::Reply(1, LEAVING),
        ],
        refused: Some(NotRunCode::Leaving),
        refused_once_listed: Some(NotRunCode::BackingOff),
    },
    ListenerCase {
        name: "a run that is not listed yet wants time",
        events: &[
            ListenerEvent::Accepted,
            ListenerEvent::NoListener,
            ListenerEvent::Accepted,
            ListenerEvent::Reply(1, backoff(1_000)),
        ],
        refused: Some(NotRunCode::BackingOff),
        refused_once_listed: Some(NotRunCode::BackingOff),
    },
    ListenerCase {
        name: "what the listed run said counts until the next one is listed",
        events: &[
            ListenerEvent::Accepted,
            ListenerEvent::Reply(0, backoff(1_000)),
            ListenerEvent::NoListener,
            ListenerEvent::Accepted,
        ],
        refused: Some(NotRunCode::BackingOff),
        refused_once_listed: None,
    },
    ListenerCase {
        name: "a late reply of the listed run is not of the next one",
        events: &[
            ListenerEvent::Accepted,
            ListenerEvent::NoListener,
            ListenerEvent::Accepted,
            ListenerEvent::Reply(0, LEAVING),
        ],
        refused: Some(NotRunCode::Leaving),
        refused_once_listed: None,
    },
];

#[test]
fn a_run_that_is_not_listed_yet_is_not_taken_for_the_listed_one() {
    for case in LISTENERS {
        let (mut stats, mut accepted) = (ServerStats::default(), Vec::<ListenerNumber>::new());
        for event in case.events {
            match *event {
                ListenerEvent::Accepted => {
                    accepted.push(stats.record_connect(Duration::ZERO, ms(1)));
                }
                ListenerEvent::NoListener => stats.record_connect_refused(true),
                ListenerEvent::NotOpened => stats.record_connect_refused(false),
                ListenerEvent::Reply(number, notice) => {
                    let listener = accepted[number];
                    let run = RunReport { notice, listener, ..RunReport::default() };
                    stats.record_run(run, Duration::ZERO, ms(1));
                }
            }
        }
        assert_eq!(
            stats.notices.permit(&Reservation::default(), ms(2)).err(),
            case.refused,
            "{}",
            case.name
        );
        let once_listed = stats.unlisted_notices().once_listed(ms(2));
        assert_eq!(
            once_listed.permit(&Reservation::default(), ms(3)).err(),
            case.refused_once_listed,
            "{}",
            case.name
        );
        assert!(once_listed.permit(&Reservation::default(), ms(60_002)).is_ok(), "{}", case.name);
    }
}

fn report(id: &str, pool: PoolKey, port: u16, started_at_ms: u64) -> ServerReport {
    ServerReport {
        id: id.into(),
        started_at_ms: Some(started_at_ms),
        pools: vec![pool],
        addr: ([127, 0, 0, 1], port).into(),
        domain: "d".into(),
        slots: 2,
        draining: false,
        cold_remaining: Duration::ZERO,
    }
}

fn run_id(report: &ServerReport) -> RunId {
    RunId::of(report).expect("its start is reported")
}

#[test]
fn a_run_whose_start_is_not_reported_is_not_taken_for_another() {
    let pool = NameInterner::default().pool_key("s");
    let report = ServerReport { started_at_ms: None, ..report("a", pool, 1, 0) };
    assert_eq!(RunId::of(&report), None);
}

struct MemoryCase {
    name: &'static str,
    notice: Notice,
    /// The run that is listed again, by id, port and start.
    listed: (&'static str, u16, u64),
    /// Time of the list in milliseconds; the notice is of time 0.
    at: u64,
    is_known: bool,
}

const MEMORY: &[MemoryCase] = &[
    MemoryCase {
        name: "an old list brings a leaving run back",
        notice: LEAVING,
        listed: ("a", 1, 5),
        at: 599_999,
        is_known: true,
    },
    MemoryCase {
        name: "a run that left long ago is forgotten",
        notice: LEAVING,
        listed: ("a", 1, 5),
        at: 600_000,
        is_known: false,
    },
    MemoryCase {
        name: "a new run of the same id",
        notice: LEAVING,
        listed: ("a", 1, 6),
        at: 10,
        is_known: false,
    },
    MemoryCase {
        name: "another server at the same address",
        notice: LEAVING,
        listed: ("b", 1, 5),
        at: 10,
        is_known: false,
    },
    MemoryCase {
        name: "the same id and start at another address",
        notice: LEAVING,
        listed: ("a", 2, 5),
        at: 10,
        is_known: false,
    },
    MemoryCase {
        name: "a time that has not passed",
        notice: backoff(1_000),
        listed: ("a", 1, 5),
        at: 999,
        is_known: true,
    },
    MemoryCase {
        name: "a time that has passed",
        notice: backoff(1_000),
        listed: ("a", 1, 5),
        at: 1_000,
        is_known: false,
    },
];

#[test]
fn what_a_run_asked_for_holds_when_it_is_listed_again() {
    let pool = NameInterner::default().pool_key("s");
    for case in MEMORY {
        let (mut memory, mut notices) = (NoticeMemory::default(), ServerNotices::default());
        notices.record(case.notice, ms(0));
        memory.record(run_id(&report("a", pool, 1, 5)), notices, ms(0));
        memory.forget(ms(case.at));
        let (id, port, start) = case.listed;
        let known = memory.get(&run_id(&report(id, pool, port, start)));
        assert_eq!(known.is_some(), case.is_known, "{}", case.name);
        assert!(known.is_none_or(|k| k == notices), "{}", case.name);
    }
}

#[test]
fn the_memory_of_runs_is_bounded_and_keeps_the_newest() {
    let pool = NameInterner::default().pool_key("s");
    let (mut memory, mut notices) = (NoticeMemory::default(), ServerNotices::default());
    notices.record(LEAVING, ms(0));
    let run = |n: u64| run_id(&report("a", pool, 1, n));
    for n in 0..50_000 {
        memory.record(run(n), notices, ms(0));
        assert!(memory.len() <= 9_000, "{n}: {}", memory.len());
        assert!(memory.get(&run(n)).is_some(), "{n}");
    }
}

struct AvailabilityCase {
    name: &'static str,
    min_shard_ratio: f64,
    /// For each shard, when each of its servers may be sent a request, in milliseconds; `u64::MAX` means never.
    shards: &'static [&'static [u64]],
    expected: Availability,
}

const NEVER: u64 = u64::MAX;

const AVAILABILITY: &[AvailabilityCase] = &[
    AvailabilityCase {
        name: "one server is left",
        min_shard_ratio: 1.0,
        shards: &[&[900, NEVER, 0]],
        expected: Availability::Now,
    },
    AvailabilityCase {
        name: "the first server that is free again",
        min_shard_ratio: 1.0,
        shards: &[&[900, NEVER, 400]],
        expected: Availability::From(Tick(400_000)),
    },
    AvailabilityCase {
        name: "all servers leave",
        min_shard_ratio: 1.0,
        shards: &[&[NEVER, NEVER]],
        expected: Availability::Never,
    },
    AvailabilityCase {
        name: "no server is listed",
        min_shard_ratio: 1.0,
        shards: &[&[]],
        expected: Availability::Never,
    },
    AvailabilityCase {
        name: "as many shards as the ratio allows are left out",
        min_shard_ratio: 0.75,
        shards: &[&[0], &[0], &[0], &[NEVER]],
        expected: Availability::Now,
    },
    AvailabilityCase {
        name: "enough shards once the second one is free",
        min_shard_ratio: 0.75,
        shards: &[&[0], &[500, 700], &[300], &[NEVER]],
        expected: Availability::From(Tick(500_000)),
    },
    AvailabilityCase {
        name: "too many shards without servers",
        min_shard_ratio: 0.75,
        shards: &[&[0], &[0], &[NEVER], &[]],
        expected: Availability::Never,
    },
];

#[test]
fn a_request_that_cannot_be_served_is_known_at_once() {
    for case in AVAILABILITY {
        let (names, mut topology) = (NameInterner::default(), Topology::default());
        let (mut pools, mut free_at) = (Vec::new(), Vec::new());
        for (shard, servers) in case.shards.iter().enumerate() {
            let pool = names.pool_key(&format!("s{shard}"));
            pools.push(pool);
            for (n, at) in servers.iter().enumerate() {
                let id = format!("{shard}.{n}");
                topology.update_server(report(&id, pool, 1 + n as u16, 1), ms(0));
                free_at.push((topology.view().key_by_id(&id).unwrap(), *at));
            }
        }
        let availability = |key: ServerKey| match free_at.iter().find(|(k, _)| *k == key) {
            Some((_, 0)) => Availability::Now,
            Some((_, NEVER)) | None => Availability::Never,
            Some((_, at)) => Availability::From(ms(*at)),
        };
        let found = available_from(&pools, case.min_shard_ratio, topology.view(), availability);
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

/// A request each millisecond to a service of three servers with one slot each, the first of which turns requests away from 0.5 s to 1.5 s
/// and asks for the time until then. They are more than the other two can take: the answer time grows with the requests
/// in flight.
struct PressureCase {
    name: &'static str,
    /// Whether servers are chosen by what they asked for.
    keeps_notices: bool,
    /// Requests that reach the first server between 0.5 s after its first refusal and the end of the time.
    arrivals: std::ops::RangeInclusive<u32>,
}

const PRESSURE: &[PressureCase] = &[
    PressureCase { name: "as asked", keeps_notices: true, arrivals: 0..=0 },
    PressureCase { name: "by failures alone", keeps_notices: false, arrivals: 3..=u32::MAX },
];

#[test]
fn a_server_that_asked_for_time_is_left_alone_under_load() {
    for case in PRESSURE {
        let usual = Duration::from_millis(10);
        let mut servers: Vec<ServerStats> = vec![ServerStats::default(); 3];
        let (mut arrivals, mut ends) = (0, Vec::<(u64, usize, u64, Sent)>::new());
        for at in 0..3_000 {
            for (_, server, sent, request) in ends.extract_if(.., |(end, ..)| *end <= at) {
                let stats = &mut servers[server];
                if server == 0 && (500..1_500).contains(&sent) {
                    stats.record_shed(ms(at));
                    let notice = backoff(1_500 - sent);
                    stats.record_run(RunReport { notice, ..RunReport::default() }, usual, ms(at));
                } else {
                    stats.record_answer(Duration::from_millis(at - sent), usual, ms(at));
                }
                stats.record_end(request, ms(at));
            }
            let candidates: Vec<Candidate> = (0..servers.len() as u32)
                .map(|n| {
                    let stats = &servers[n as usize];
                    Candidate {
                        key: ServerKey::new(n, 0),
                        expected: stats.expected_latency(usual, 1, false, ms(at)),
                        round_trip: Duration::ZERO,
                        has_capacity: !case.keeps_notices
                            || stats.notices.permit(&Reservation::default(), ms(at)).is_ok(),
                        is_healthy: stats.outlier.can_send(true, ms(at)),
                    }
                })
                .collect();
            let server = pick_server(&candidates, false, || 0.5).unwrap().index();
            let request = servers[server].record_send(ms(at));
            arrivals += u32::from(server == 0 && (1_000..1_500).contains(&at));
            ends.push((at + 3 * servers[server].in_flight() as u64, server, at, request));
        }
        assert!(case.arrivals.contains(&arrivals), "{}: {arrivals}", case.name);
    }
}

/// Callers that are turned away at a fixed interval for a second, all servers being free again at 2 s.
struct ReturnCase {
    name: &'static str,
    callers: u64,
    share: ServiceShare,
    /// Maximum number of callers that return within 100 ms.
    peak: usize,
    /// Latest return in milliseconds.
    last: u64,
    /// How often the places begin again.
    wraps: usize,
}

const RETURNS: &[ReturnCase] = &[
    ReturnCase {
        name: "as fast as the service can take them",
        callers: 50,
        share: ServiceShare {
            slots: 10,
            usual: Duration::from_millis(100),
            instances: 1,
            limited_rate: None,
        },
        peak: 11,
        last: 2_490,
        wraps: 0,
    },
    ReturnCase {
        name: "an instance among many takes its share",
        callers: 10,
        share: ServiceShare {
            slots: 10,
            usual: Duration::from_millis(100),
            instances: 10,
            limited_rate: None,
        },
        peak: 2,
        last: 2_900,
        wraps: 0,
    },
    ReturnCase {
        name: "more callers than return within the maximum spread",
        callers: 100,
        share: ServiceShare {
            slots: 10,
            usual: Duration::from_millis(100),
            instances: 5,
            limited_rate: None,
        },
        peak: 15,
        last: 3_000,
        wraps: 4,
    },
    ReturnCase {
        name: "as fast as the rates that servers name allow",
        callers: 5,
        share: ServiceShare {
            slots: 10,
            usual: Duration::from_millis(100),
            instances: 1,
            limited_rate: Some(4.0),
        },
        peak: 1,
        last: 3_000,
        wraps: 0,
    },
    ReturnCase {
        name: "nothing is known of the service",
        callers: 10,
        share: ServiceShare { slots: 0, usual: Duration::ZERO, instances: 0, limited_rate: None },
        peak: 10,
        last: 2_000,
        wraps: 0,
    },
];

struct ReturnFromCase {
    name: &'static str,
    free_at: u64,
    asked_until: u64,
    returns_from: u64,
}

const RETURNS_FROM: &[ReturnFromCase] = &[
    ReturnFromCase {
        name: "the time that servers asked for",
        free_at: 9_000,
        asked_until: 9_000,
        returns_from: 9_000,
    },
    ReturnFromCase {
        name: "room within the rate soon",
        free_at: 300,
        asked_until: 0,
        returns_from: 300,
    },
    ReturnFromCase {
        name: "room on this instance in hours, on another one sooner",
        free_at: 9_000_000,
        asked_until: 0,
        returns_from: 1_000,
    },
    ReturnFromCase { name: "both", free_at: 9_000_000, asked_until: 3_000, returns_from: 3_000 },
];

#[test]
fn callers_do_not_wait_for_one_instance_of_many() {
    for case in RETURNS_FROM {
        let from = return_from(ms(case.free_at), ms(case.asked_until), ms(0));
        assert_eq!(from, ms(case.returns_from), "{}", case.name);
    }
}

#[test]
fn callers_that_are_turned_away_return_one_after_another() {
    for case in RETURNS {
        let mut times = ReturnTimes::default();
        let returns: Vec<u64> = (0..case.callers)
            .map(|n| {
                let now = n * 1_000 / case.callers;
                now + times.next(ms(2_000), case.share, ms(now)).as_millis() as u64
            })
            .collect();
        let peak = returns
            .iter()
            .map(|at| returns.iter().filter(|other| (*at..at + 100).contains(*other)).count());
        assert!(returns.iter().all(|at| *at >= 2_000), "{}: {returns:?}", case.name);
        assert!(peak.max().unwrap() <= case.peak, "{}: {returns:?}", case.name);
        assert!(returns.iter().all(|at| *at <= case.last), "{}: {returns:?}", case.name);
        let wraps = returns.windows(2).filter(|pair| pair[1] < pair[0]).count();
        assert_eq!(wraps, case.wraps, "{}: who was turned away first returns first", case.name);
    }
}

struct SlotsCase {
    slots: &'static [u32],
    total: u64,
}

const SLOTS: &[SlotsCase] = &[
    SlotsCase { slots: &[], total: 0 },
    SlotsCase { slots: &[2, 3], total: 5 },
    SlotsCase { slots: &[u32::MAX, u32::MAX, 2], total: 8_589_934_592 },
];

/// Guards against a request that ends by an overflow because entries state more slots than a number of 32 bits holds.
#[test]
fn the_slots_of_all_servers_are_counted_whatever_their_entries_state() {
    for case in SLOTS {
        let total = ServiceShare::total_slots(case.slots.iter().copied());
        assert_eq!(total, case.total, "{:?}", case.slots);
    }
}
