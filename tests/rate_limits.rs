//! The rate that a server names, shared by all instances without messages, in virtual time.

mod support;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use support::{ms, seeds};
use tamarackdeck::{
    Availability, InstanceId, LimitPart, LimitReport, LimitedRate, Member, NameInterner,
    NotRunCode, Notice, RateLimit, Reservation, Role, ServerNotices, ServerReport, Tick, Topology,
    limit_share, limited_rate, places, role,
};

/// The users' rule: what a server may get in any `WINDOW`, from the instances that it told `TOLD_BEFORE` earlier, from
/// `IN_FORCE` after it first named its limit.
const WINDOW: u64 = 4_000;
const TOLD_BEFORE: u64 = 500;
const IN_FORCE: u64 = 4_000;

fn most_allowed(limit: f64) -> f64 {
    limit * WINDOW as f64 / 1_000.0 * 1.5 + 5.0
}

/// A load on the servers of one service.
#[derive(Clone, Copy)]
struct LoadCase {
    name: &'static str,
    instances: usize,
    /// Gatherers among them; zero if each instance sends its own requests.
    gatherers: usize,
    servers: usize,
    /// Rate that each server names, in requests per second.
    limit: f64,
    /// Requests per second to all servers together, by time in milliseconds.
    demand: fn(u64) -> f64,
    /// Whether instances know of a tenth more or fewer members than there are.
    views_differ: bool,
    /// Chance that an instance is killed and starts anew, per second.
    restarts: f64,
    /// Requests per second to a server at least, over the time in which the limit is in force, from told instances or not.
    served: f64,
}

const BASE: LoadCase = LoadCase {
    name: "",
    instances: 9,
    gatherers: 0,
    servers: 11,
    limit: 1.0,
    demand: |_| 44.0,
    views_differ: false,
    restarts: 0.0,
    served: 0.5,
};

const LOADS: &[LoadCase] = &[
    LoadCase { name: "one request a second, nine instances", ..BASE },
    LoadCase {
        name: "half of the shards' servers, few instances",
        gatherers: 8,
        servers: 2,
        limit: 22.9,
        demand: |_| 90.0,
        served: 12.0,
        ..BASE
    },
    LoadCase {
        name: "shares below one request, gatherers",
        instances: 68,
        gatherers: 9,
        servers: 2,
        limit: 5.6,
        demand: |_| 30.0,
        served: 2.0,
        ..BASE
    },
    LoadCase {
        name: "shares below one request, each instance sends",
        instances: 68,
        servers: 40,
        limit: 2.0,
        demand: |_| 200.0,
        served: 1.2,
        ..BASE
    },
    LoadCase {
        name: "idle, then a burst of all instances",
        instances: 68,
        servers: 2,
        limit: 5.6,
        demand: |at| if at % 8_000 < 7_000 { 2.0 } else { 300.0 },
        served: 0.4,
        ..BASE
    },
    LoadCase {
        name: "views that differ, instances that start and die",
        instances: 68,
        servers: 20,
        limit: 3.0,
        demand: |_| 200.0,
        views_differ: true,
        restarts: 0.03,
        served: 1.2,
        ..BASE
    },
    LoadCase {
        name: "640 instances",
        instances: 640,
        servers: 8,
        limit: 3.0,
        demand: |_| 200.0,
        views_differ: true,
        restarts: 0.000_1,
        served: 1.2,
        ..BASE
    },
    LoadCase {
        name: "640 instances, a burst after an idle time",
        instances: 640,
        servers: 4,
        limit: 10.0,
        demand: |at| if at % 10_000 < 7_000 { 10.0 } else { 400.0 },
        served: 2.0,
        ..BASE
    },
    LoadCase { name: "no requests at all", limit: 0.0, served: 0.05, ..BASE },
    LoadCase {
        name: "no requests at all, 640 instances",
        instances: 640,
        limit: 0.0,
        demand: |_| 200.0,
        served: 0.05,
        ..BASE
    },
];

/// One instance's use of the limits of all servers.
#[derive(Clone)]
struct Instance {
    rates: Vec<LimitedRate>,
    /// When each server told it of its limit first, in milliseconds.
    told_at: Vec<Option<u64>>,
    share: f64,
    place: f64,
    /// Difference of its time of day to the true one, in milliseconds.
    skew: i64,
}

/// Time of day at the start of a replay, in milliseconds since the Unix epoch.
const TIME_OF_DAY: i64 = 1_790_000_000_000;

impl Instance {
    /// Returns its part of the limit of a server.
    fn part(&self, server: usize, at: u64) -> LimitPart {
        let time_of_day = Duration::from_millis((TIME_OF_DAY + at as i64 + self.skew) as u64);
        LimitPart { share: self.share, place: self.place + 0.37 * server as f64, time_of_day }
    }
}

/// A reply that is under way to an instance.
struct Reply {
    arrives_at: u64,
    sent_at: u64,
    instance: usize,
    server: usize,
    run: u64,
}

/// Replays a load; returns the arrivals at each server, each with whether it counts.
fn replay(case: &LoadCase, seed: u64, length_ms: u64) -> Vec<Vec<(u64, bool)>> {
    const STEP: u64 = 5;
    let mut rng = StdRng::seed_from_u64(seed);
    let new_instance = |i: usize, rng: &mut StdRng| {
        let known = match case.views_differ {
            true => (case.instances as f64 * rng.random_range(0.9..1.1)).round() as usize,
            false => case.instances,
        };
        let (role, place) = match (case.gatherers, i < case.gatherers) {
            (0, _) => (Role::Alone, i as f64 / known as f64),
            (_, true) => (Role::Gatherer(case.gatherers), i as f64 / case.gatherers as f64),
            (_, false) => (Role::Asker, i as f64 / known as f64),
        };
        // one clock in twenty has jumped
        let skew = if rng.random_bool(0.05) { 2_400 } else { rng.random_range(-20..20) };
        Instance {
            rates: vec![LimitedRate::default(); case.servers],
            told_at: vec![None; case.servers],
            share: role.share(known),
            place,
            skew,
        }
    };
    let mut instances: Vec<Instance> =
        (0..case.instances).map(|i| new_instance(i, &mut rng)).collect();
    let mut runs = vec![0u64; case.instances];
    let mut replies: Vec<Reply> = Vec::new();
    let mut arrivals = vec![Vec::new(); case.servers];
    let senders = if case.gatherers > 0 { case.gatherers } else { case.instances };
    let mut due = 0.0;
    for at in (0..length_ms).step_by(STEP as usize) {
        let limit = RateLimit::new(case.limit);
        replies.retain(|reply| {
            let is_due = reply.arrives_at <= at;
            if is_due && runs[reply.instance] == reply.run {
                let instance = &mut instances[reply.instance];
                let part = instance.part(reply.server, at);
                let named = limit.map(|limit| (limit, part));
                let report = LimitReport { named, sent_at: ms(reply.sent_at) };
                instance.rates[reply.server].record(report, ms(at));
                instance.told_at[reply.server].get_or_insert(at);
            }
            !is_due
        });
        if case.restarts > 0.0 {
            for i in 0..case.instances {
                if rng.random_bool(case.restarts * STEP as f64 / 1_000.0) {
                    instances[i] = new_instance(i, &mut rng);
                    runs[i] += 1;
                }
            }
        }
        due += (case.demand)(at) * STEP as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            let i = rng.random_range(0..senders);
            let mut order: Vec<usize> = (0..case.servers).collect();
            order.shuffle(&mut rng);
            let instance = &mut instances[i];
            let reserved = order.into_iter().find(|s| instance.rates[*s].reserve(ms(at)).is_some());
            let Some(server) = reserved else { continue };
            let counts = instance.told_at[server].is_some_and(|told| told + TOLD_BEFORE <= at);
            arrivals[server].push((at, counts));
            let arrives_at = at + rng.random_range(5..60);
            replies.push(Reply { arrives_at, sent_at: at, instance: i, server, run: runs[i] });
        }
    }
    arrivals
}

#[test]
fn a_server_gets_no_more_than_the_rate_that_it_names() {
    const LENGTH: u64 = 40_000;
    for (case, seed) in LOADS.iter().flat_map(|case| seeds(6).into_iter().map(move |s| (case, s))) {
        let mut total = 0;
        for (server, arrivals) in replay(case, seed, LENGTH).iter().enumerate() {
            total += arrivals.iter().filter(|(at, _)| *at >= IN_FORCE).count();
            let counted: Vec<u64> =
                arrivals.iter().filter(|(_, c)| *c).map(|(at, _)| *at).collect();
            let counted = &counted[counted.partition_point(|at| *at < IN_FORCE)..];
            for (first, at) in counted.iter().enumerate() {
                let count = counted[first..].partition_point(|t| *t < at + WINDOW);
                assert!(
                    count as f64 <= most_allowed(case.limit),
                    "{}, seed {seed}, server {server}: {count} of {} from {at} ms on",
                    case.name,
                    most_allowed(case.limit)
                );
            }
        }
        let seconds = (LENGTH - IN_FORCE) as f64 / 1_000.0;
        let served = total as f64 / seconds / case.servers as f64;
        assert!(served >= case.served, "{}, seed {seed}: {served:.2} a second", case.name);
    }
}

/// Returns the report of a reply, read at `at`, to the only instance; a point of the grid is at time 0.
fn report(named: Option<f64>, sent_at: u64, at: u64) -> LimitReport {
    report_to(1.0, named, sent_at, at)
}

fn report_to(share: f64, named: Option<f64>, sent_at: u64, at: u64) -> LimitReport {
    let part = LimitPart { share, place: 0.0, time_of_day: Duration::from_millis(at) };
    let named = named.and_then(RateLimit::new).map(|limit| (limit, part));
    LimitReport { named, sent_at: ms(sent_at) }
}

struct ReportCase {
    name: &'static str,
    /// Time of reading, in milliseconds, limit named and time at which the request was sent.
    replies: &'static [(u64, Option<f64>, u64)],
    limit: Option<f64>,
}

const REPORTS: &[ReportCase] = &[
    ReportCase { name: "none", replies: &[(10, None, 0)], limit: None },
    ReportCase { name: "named", replies: &[(10, Some(5.0), 0)], limit: Some(5.0) },
    ReportCase {
        name: "it ends with a reply that does not name it",
        replies: &[(10, Some(5.0), 0), (30, None, 20)],
        limit: None,
    },
    ReportCase {
        name: "a reply to an earlier request does not end it",
        replies: &[(10, Some(5.0), 0), (30, None, 5)],
        limit: Some(5.0),
    },
    ReportCase {
        name: "it rises",
        replies: &[(10, Some(5.0), 0), (30, Some(9.0), 20)],
        limit: Some(9.0),
    },
    ReportCase {
        name: "a reply to an earlier request does not raise it",
        replies: &[(10, Some(5.0), 0), (30, Some(9.0), 5)],
        limit: Some(5.0),
    },
    ReportCase {
        name: "a reply to an earlier request lowers it",
        replies: &[(10, Some(5.0), 0), (30, Some(2.0), 5)],
        limit: Some(2.0),
    },
    ReportCase {
        name: "named again after its end",
        replies: &[(10, Some(5.0), 0), (30, None, 20), (50, Some(3.0), 40)],
        limit: Some(3.0),
    },
];

#[test]
fn the_limit_is_the_one_that_the_last_reply_names() {
    for case in REPORTS {
        let mut rate = LimitedRate::default();
        for (at, named, sent_at) in case.replies {
            rate.record(report(*named, *sent_at, *at), ms(*at));
        }
        assert_eq!(rate.limit().map(RateLimit::per_s), case.limit, "{}", case.name);
    }
}

/// Returns the times, in milliseconds, at which an instance sends that tries each millisecond.
fn sends(rate: &mut LimitedRate, from: u64, to: u64) -> Vec<u64> {
    (from..to).filter(|at| rate.reserve(ms(*at)).is_some()).collect()
}

#[test]
fn a_changed_limit_shortens_or_lengthens_the_wait_for_the_next_request() {
    let mut rate = LimitedRate::default();
    // intervals of 200, 20 and 40 s
    rate.record(report_to(0.01, Some(0.5 / 0.9), 0, 1), ms(1));
    assert_eq!(rate.next_at(ms(1)), ms(200_000));
    rate.record(report_to(0.01, Some(5.0 / 0.9), 20_000, 20_000), ms(20_000));
    assert_eq!(rate.next_at(ms(20_000)), ms(40_000), "the wait of 180 s is now 18 s");
    rate.record(report_to(0.01, Some(2.5 / 0.9), 25_000, 25_000), ms(25_000));
    assert_eq!(rate.next_at(ms(25_000)), ms(40_000), "the wait of 15 s is now 30 s");
}

#[test]
fn a_limit_that_changes_with_each_reply_gives_no_additional_requests() {
    let mut rate = LimitedRate::default();
    let mut count = 0;
    for at in (0..200_000u64).step_by(10) {
        if rate.reserve(ms(at)).is_some() {
            count += 1;
            let limit = if count % 2 == 0 { 1.0 } else { 1.01 };
            rate.record(report_to(0.5, Some(limit), at, at + 5), ms(at + 5));
        }
    }
    assert!((80..=95).contains(&count), "{count} of 90 in 200 s");
}

#[test]
fn a_request_that_is_not_sent_is_given_back() {
    let mut rate = LimitedRate::default();
    rate.record(report(Some(1.0 / 0.9), 0, 0), ms(0));
    let reserved = rate.reserve(ms(0)).expect("the first one");
    assert_eq!(rate.reserve(ms(0)), None);
    rate.give_back(reserved);
    assert!(rate.reserve(ms(0)).is_some());
    assert_eq!(sends(&mut rate, 0, 2_500), [1_000, 2_000]);
}

struct PermitCase {
    name: &'static str,
    /// Whether the request is reserved before the server names a limit.
    reserved_before: bool,
    dispatched_at: u64,
    refused: Option<NotRunCode>,
}

const PERMITS: &[PermitCase] = &[
    PermitCase {
        name: "reserved within the limit",
        reserved_before: false,
        dispatched_at: 100,
        refused: None,
    },
    PermitCase {
        name: "waited for too long",
        reserved_before: false,
        dispatched_at: 701,
        refused: Some(NotRunCode::RateLimited),
    },
    PermitCase {
        name: "reserved before the limit was named",
        reserved_before: true,
        dispatched_at: 100,
        refused: Some(NotRunCode::RateLimited),
    },
];

#[test]
fn a_request_is_dispatched_only_within_the_limit() {
    for case in PERMITS {
        let mut notices = ServerNotices::default();
        let mut reserved = notices.reserve(ms(0)).expect("no limit yet");
        notices.record_limit(report(Some(0.001), 0, 0), ms(0));
        if !case.reserved_before {
            reserved = notices.reserve(ms(100)).expect("the first one");
        }
        let at = ms(case.dispatched_at);
        assert_eq!(notices.permit(&reserved, at).err(), case.refused, "{}", case.name);
    }
}

#[test]
fn an_ended_reservation_is_made_again_if_the_limit_allows() {
    let mut notices = ServerNotices::default();
    let mut reserved = notices.reserve(ms(0)).expect("no limit yet");
    notices.record_limit(report(Some(10.0), 0, 0), ms(0));
    notices.renew(&mut reserved, ms(50));
    assert!(notices.permit(&reserved, ms(50)).is_ok());
    notices.record_limit(report(None, 60, 70), ms(70));
    assert!(notices.permit(&Reservation::default(), ms(80)).is_ok(), "no limit any more");
}

struct WaitCase {
    name: &'static str,
    notice: Notice,
    limit: f64,
    available: Availability,
}

const WAITS: &[WaitCase] = &[
    WaitCase {
        name: "the limit alone",
        notice: Notice { draining: false, backoff: None },
        limit: 1.0 / 0.9,
        available: Availability::From(Tick(1_000_000)),
    },
    WaitCase {
        name: "a longer backoff",
        notice: Notice { draining: false, backoff: Some(Duration::from_secs(3)) },
        limit: 1.0 / 0.9,
        available: Availability::From(Tick(3_000_000)),
    },
    WaitCase {
        name: "a shorter backoff",
        notice: Notice { draining: false, backoff: Some(Duration::from_millis(500)) },
        limit: 1.0 / 0.9,
        available: Availability::From(Tick(1_000_000)),
    },
    WaitCase {
        name: "draining",
        notice: Notice { draining: true, backoff: None },
        limit: 1.0 / 0.9,
        available: Availability::Never,
    },
];

#[test]
fn a_limited_server_is_available_from_the_next_request_that_it_takes() {
    for case in WAITS {
        let mut notices = ServerNotices::default();
        notices.record(case.notice, ms(0));
        notices.record_limit(report(Some(case.limit), 0, 0), ms(0));
        let _ = notices.reserve(ms(0));
        assert_eq!(notices.availability(ms(0)), case.available, "{}", case.name);
    }
}

fn member(name: &str, domain: &str, power: u32) -> Member {
    let addr = "10.0.0.1:1".parse().unwrap();
    Member { id: InstanceId(name.to_owned()), domain: domain.to_owned(), addr, power }
}

/// Shares and places of members with one view of each other.
struct PlaceCase {
    name: &'static str,
    members_by_domain: &'static [usize],
}

const PLACES: &[PlaceCase] = &[
    PlaceCase { name: "alone", members_by_domain: &[1] },
    PlaceCase { name: "few and alike", members_by_domain: &[3, 4, 2] },
    PlaceCase { name: "gatherers among many", members_by_domain: &[24, 24, 20] },
    PlaceCase { name: "640", members_by_domain: &[80, 80, 80, 80, 80, 80, 80, 80] },
];

#[test]
fn members_have_places_that_are_spread_evenly_and_shares_that_add_up_to_one() {
    for case in PLACES {
        let domains = case.members_by_domain.iter().enumerate();
        let members: Vec<Member> = domains
            .flat_map(|(d, n)| {
                (0..*n).map(move |i| member(&format!("i{d}-{i}"), &d.to_string(), 250))
            })
            .collect();
        let is_spread = |mut places: Vec<f64>| {
            places.sort_by(f64::total_cmp);
            let n = places.len() as f64;
            places.iter().enumerate().all(|(i, place)| (place * n - i as f64).abs() < 1e-6)
        };
        let all = members.iter().map(|m| places(m, &members).among_all).collect();
        assert!(is_spread(all), "{}: all", case.name);
        let roles: Vec<Role> = members.iter().map(|m| role(m, &members)).collect();
        for is_gatherer in [false, true] {
            let of_role = members
                .iter()
                .zip(&roles)
                .filter(|(_, role)| matches!(role, Role::Gatherer(_)) == is_gatherer);
            let in_role = of_role.map(|(m, _)| places(m, &members).in_role).collect();
            assert!(is_spread(in_role), "{}: gatherers {is_gatherer}", case.name);
        }
        for is_only_gathered in [false, true] {
            let of_member = |(m, role): (&Member, &Role)| {
                limit_share(*role, places(m, &members), members.len(), is_only_gathered).0
            };
            let sum: f64 = members.iter().zip(&roles).map(of_member).sum();
            assert!(sum <= 1.0 + 1e-9, "{}: the shares are {sum}", case.name);
        }
    }
}

struct LimitedCase {
    name: &'static str,
    /// Rates of the servers of each shard; `None` for a server that names none.
    rates: &'static [&'static [Option<f64>]],
    min_shard_ratio: f64,
    limited_rate: Option<f64>,
}

const LIMITED: &[LimitedCase] = &[
    LimitedCase { name: "no limit", rates: &[&[None]], min_shard_ratio: 1.0, limited_rate: None },
    LimitedCase {
        name: "all copies",
        rates: &[&[Some(2.0), Some(3.0)]],
        min_shard_ratio: 1.0,
        limited_rate: Some(5.0),
    },
    LimitedCase {
        name: "a copy without a limit",
        rates: &[&[Some(2.0), None]],
        min_shard_ratio: 1.0,
        limited_rate: None,
    },
    LimitedCase {
        name: "the tightest shard that is needed",
        rates: &[&[Some(9.0)], &[Some(1.0)], &[Some(4.0)]],
        min_shard_ratio: 0.6,
        limited_rate: Some(4.0),
    },
    LimitedCase {
        name: "shards that an answer may lack",
        rates: &[&[Some(9.0)], &[None], &[None]],
        min_shard_ratio: 0.6,
        limited_rate: None,
    },
];

#[test]
fn callers_return_as_fast_as_the_tightest_shards_allow() {
    for case in LIMITED {
        let (names, mut topology) = (NameInterner::default(), Topology::default());
        let mut rates = Vec::new();
        let mut pools = Vec::new();
        for (shard, servers) in case.rates.iter().enumerate() {
            let pool = names.pool_key(&format!("s{shard}"));
            pools.push(pool);
            for (n, rate) in servers.iter().enumerate() {
                let report = ServerReport {
                    id: format!("s{shard}-{n}"),
                    started_at_ms: Some(1),
                    pools: vec![pool],
                    addr: "10.0.0.1:1".parse().unwrap(),
                    domain: "z".to_owned(),
                    slots: 2,
                    draining: false,
                    cold_remaining: Duration::ZERO,
                };
                topology.update_server(report, ms(0));
                rates.push((topology.view().key_by_id(&format!("s{shard}-{n}")).unwrap(), *rate));
            }
        }
        let rate = |key| rates.iter().find(|(k, _)| *k == key).and_then(|(_, rate)| *rate);
        let limited = limited_rate(&pools, case.min_shard_ratio, topology.view(), rate);
        assert_eq!(limited, case.limited_rate, "{}", case.name);
    }
}
