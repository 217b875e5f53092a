//! Route lookup, traffic splits, the view of servers, and the health of failure domains.

mod support;

use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use support::ms;
use tamarackdeck::{
    CutReport, DomainHealth, Key, NameInterner, PoolKey, PoolLimits, Route, RouteTable,
    ScatterGather, Server, ServerReport, Target, Topology, WeightedRoundRobin, is_unreachable,
    top_records,
};

fn route(names: &NameInterner, name: &str, host: &str, prefix: &str) -> Route {
    Route {
        key: names.route_key(name),
        host: host.into(),
        path_prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        max_attempts: 2,
        target: Target::Split(Vec::new()),
    }
}

struct FindCase {
    host: &'static str,
    path: &'static str,
    found: Option<&'static str>,
}

const FINDS: &[FindCase] = &[
    FindCase { host: "h.example", path: "/a/x", found: Some("a") },
    FindCase { host: "h.example", path: "/a/b/x", found: Some("ab") },
    FindCase { host: "H.Example:80", path: "/a/b/", found: Some("ab") },
    FindCase { host: "h.example", path: "/a/bx", found: Some("a") },
    FindCase { host: "h.example", path: "/a", found: None },
    FindCase { host: "other.example", path: "/a/b/x", found: Some("other") },
    FindCase { host: "none.example", path: "/a/", found: None },
];

#[test]
fn the_longest_prefix_of_the_host_is_the_route() {
    let names = NameInterner::default();
    let table = RouteTable {
        routes: vec![
            route(&names, "a", "h.example", "/a/"),
            route(&names, "ab", "h.example", "/a/b/"),
            route(&names, "other", "other.example", "/"),
        ],
        ..Default::default()
    };
    for case in FINDS {
        let found = table.find(case.host, case.path).map(|r| names.route_name(r.key));
        assert_eq!(found.as_deref(), case.found, "{} {}", case.host, case.path);
    }
}

struct DrawCase {
    weights: &'static [f64],
    instances: usize,
    /// Number of requests per instance.
    requests: usize,
}

const DRAWS: &[DrawCase] = &[
    DrawCase { weights: &[1.0], instances: 1, requests: 3 },
    DrawCase { weights: &[9.0, 1.0], instances: 9, requests: 34 },
    DrawCase { weights: &[0.5, 0.3, 0.2], instances: 80, requests: 4 },
    DrawCase { weights: &[70.0, 30.0], instances: 68, requests: 5 },
    DrawCase { weights: &[1.0, 0.0, 1.0], instances: 9, requests: 40 },
];

#[test]
fn a_split_keeps_to_its_weights_though_each_instance_sees_few_requests() {
    for case in DRAWS {
        let mut counts = vec![0.0; case.weights.len()];
        for n in 0..case.instances {
            let phase = (n as f64 * 0.618_034).fract();
            let mut round_robin = WeightedRoundRobin::new(case.weights, phase);
            (0..case.requests).for_each(|_| counts[round_robin.next(case.weights).unwrap()] += 1.0);
        }
        let (all, sum) =
            ((case.instances * case.requests) as f64, case.weights.iter().sum::<f64>());
        for (count, weight) in counts.iter().zip(case.weights) {
            let deviation = (count / all - weight / sum).abs();
            assert!(deviation <= 0.05, "{:?}: {counts:?}", case.weights);
        }
    }
    assert_eq!(WeightedRoundRobin::new(&[0.0], 0.3).next(&[0.0]), None, "no weight above zero");
}

fn report(id: &str, pool: PoolKey, addr: &str, born: u64) -> ServerReport {
    ServerReport {
        id: id.into(),
        started_at_ms: Some(born),
        pools: vec![pool],
        addr: addr.parse().unwrap(),
        domain: "d".into(),
        slots: 2,
        draining: false,
        cold_remaining: Duration::ZERO,
    }
}

struct PictureCase {
    name: &'static str,
    change: fn(&mut ServerReport),
    same_run: bool,
    open: bool,
}

const PICTURES: &[PictureCase] = &[
    PictureCase { name: "the same", change: |_| {}, same_run: true, open: true },
    PictureCase { name: "draining", change: |r| r.draining = true, same_run: true, open: false },
    PictureCase {
        name: "a new start",
        change: |r| r.started_at_ms = Some(9),
        same_run: false,
        open: true,
    },
    PictureCase {
        name: "another address",
        change: |r| r.addr = "127.0.0.1:10".parse().unwrap(),
        same_run: false,
        open: true,
    },
    PictureCase {
        name: "another service",
        change: |r| r.pools = vec![PoolKey::new(7, 0)],
        same_run: true,
        open: false,
    },
];

#[test]
fn a_run_of_a_server_keeps_its_key_and_a_new_one_gets_another() {
    let pool = PoolKey::new(1, 0);
    for case in PICTURES {
        let mut picture = Topology::default();
        picture.replace_servers(vec![report("s", pool, "127.0.0.1:9", 1)], ms(0));
        let before = picture.view().key_by_id("s").unwrap();
        let mut next = report("s", pool, "127.0.0.1:9", 1);
        (case.change)(&mut next);
        picture.replace_servers(vec![next], ms(1));
        let view = picture.view();
        assert_eq!(view.server(before).is_some(), case.same_run, "{}", case.name);
        assert_eq!(view.available_servers(pool).count(), usize::from(case.open), "{}", case.name);
    }
}

struct ColdCase {
    name: &'static str,
    /// Remaining cold time that the server reports in its first and second report, in seconds.
    reported: [u64; 2],
    /// Whether its domain is evacuated and returns before the second report.
    returned: bool,
    /// Time until which the server counts as cold, in seconds.
    cold_until: u64,
}

/// The reports arrive at 0 s and 2 s; the domain returns at 1 s, which makes its servers cold for 3 s.
const COLDS: &[ColdCase] = &[
    ColdCase { name: "reported again", reported: [3, 3], returned: false, cold_until: 3 },
    ColdCase { name: "newly reported", reported: [0, 3], returned: false, cold_until: 5 },
    ColdCase { name: "no longer reported", reported: [3, 0], returned: false, cold_until: 2 },
    ColdCase { name: "domain returned", reported: [0, 0], returned: true, cold_until: 4 },
];

#[test]
fn a_report_that_is_read_again_does_not_change_how_long_a_server_is_cold() {
    let pool = PoolKey::new(1, 0);
    for case in COLDS {
        let bounds = PoolLimits { cold_duration: Duration::from_secs(3), ..Default::default() };
        let pools = IndexMap::from([(pool, bounds)]);
        let mut picture = Topology::default();
        picture.update_routes(RouteTable { version: 1, pools, ..Default::default() });
        let report = |s: u64| {
            let server = report("s", pool, "127.0.0.1:9", 1);
            vec![ServerReport { cold_remaining: Duration::from_secs(s), ..server }]
        };
        picture.replace_servers(report(case.reported[0]), ms(0));
        if case.returned {
            picture.set_evacuated(["d".to_owned()].into(), ms(500));
            picture.set_evacuated(Default::default(), ms(1_000));
        }
        picture.replace_servers(report(case.reported[1]), ms(2_000));
        let (_, server) = picture.view().available_servers(pool).next().unwrap();
        assert_eq!(server.cold_until, ms(case.cold_until * 1_000), "{}", case.name);
    }
}

#[test]
fn a_domain_taken_out_gets_nothing_and_returns_cold() {
    let pool = PoolKey::new(1, 0);
    let bounds = PoolLimits { cold_duration: Duration::from_secs(3), ..Default::default() };
    let mut picture = Topology::default();
    picture.update_routes(RouteTable {
        version: 1,
        pools: IndexMap::from([(pool, bounds)]),
        ..Default::default()
    });
    picture.replace_servers(vec![report("s", pool, "127.0.0.1:9", 1)], ms(0));
    assert!(picture.set_evacuated(["d".to_owned()].into(), ms(1_000)));
    assert_eq!(picture.view().available_servers(pool).count(), 0);
    assert!(picture.set_evacuated(Default::default(), ms(2_000)));
    let (_, server) = picture.view().available_servers(pool).next().unwrap();
    assert_eq!(server.cold_until, ms(5_000));
}

#[test]
fn routes_only_go_forward() {
    let mut picture = Topology::default();
    let table = |version| RouteTable { version, ..Default::default() };
    let taken: Vec<bool> = [4, 3, 4, 9].iter().map(|v| picture.update_routes(table(*v))).collect();
    assert_eq!(taken, [true, false, false, true]);
    assert_eq!(picture.view().route_table.as_ref().unwrap().version, 9);
}

struct GreatestCase {
    parts: &'static [&'static str],
    top: usize,
    merged: &'static str,
}

const GREATEST: &[GreatestCase] = &[
    GreatestCase { parts: &["aabbcc", "ddaa"], top: 3, merged: "ddccbb" },
    GreatestCase { parts: &["aa", "aa"], top: 5, merged: "aaaa" },
    GreatestCase { parts: &["zzx", "y"], top: 5, merged: "zz" },
    GreatestCase { parts: &["ab"], top: 0, merged: "" },
    GreatestCase { parts: &[], top: 5, merged: "" },
];

#[test]
fn the_greatest_records_of_all_parts() {
    for case in GREATEST {
        let parts: Vec<Bytes> =
            case.parts.iter().map(|p| Bytes::from_static(p.as_bytes())).collect();
        assert_eq!(top_records(&parts, 2, case.top), case.merged.as_bytes(), "{:?}", case.parts);
    }
}

struct HealthCase {
    name: &'static str,
    steps: fn(&mut DomainHealth),
    unresponsive: bool,
    /// Whether requests that need the domain are refused.
    unreachable: bool,
}

const HEALTH: &[HealthCase] = &[
    HealthCase { name: "no requests", steps: |_| {}, unresponsive: false, unreachable: false },
    HealthCase {
        name: "a few overdue",
        steps: |d| (0..7).for_each(|n| d.record_overdue(ms(n * 20))),
        unresponsive: false,
        unreachable: false,
    },
    HealthCase {
        name: "many overdue",
        steps: |d| (0..8).for_each(|n| d.record_overdue(ms(n * 20))),
        unresponsive: true,
        unreachable: false,
    },
    HealthCase {
        name: "many overdue at the same time",
        steps: |d| (0..30).for_each(|_| d.record_overdue(ms(1))),
        unresponsive: false,
        unreachable: false,
    },
    HealthCase {
        name: "some silent",
        steps: |d| (0..3).for_each(|n| d.record_unanswered(ms(n * 30))),
        unresponsive: true,
        unreachable: false,
    },
    HealthCase {
        name: "three refused",
        steps: |d| (0..3).for_each(|n| d.record_refused(ms(n * 30))),
        unresponsive: false,
        unreachable: false,
    },
    HealthCase {
        name: "four refused",
        steps: |d| (0..4).for_each(|n| d.record_refused(ms(n * 30))),
        unresponsive: true,
        unreachable: false,
    },
    HealthCase {
        name: "an answer between",
        steps: |d| {
            (0..7).for_each(|n| d.record_overdue(ms(n * 20)));
            d.record_answer();
            (7..14).for_each(|n| d.record_overdue(ms(n * 20)));
        },
        unresponsive: false,
        unreachable: false,
    },
    HealthCase {
        name: "an answer afterwards",
        steps: |d| {
            (0..9).for_each(|n| d.record_unanswered(ms(n * 30)));
            assert!(d.record_answer());
        },
        unresponsive: false,
        unreachable: false,
    },
    HealthCase {
        name: "a probe fails too",
        steps: |d| {
            (0..8).for_each(|n| d.record_overdue(ms(n * 20)));
            d.record_failed_probe();
        },
        unresponsive: true,
        unreachable: true,
    },
    HealthCase {
        name: "a probe fails, the next one is answered",
        steps: |d| {
            (0..8).for_each(|n| d.record_overdue(ms(n * 20)));
            d.record_failed_probe();
            d.record_answer();
        },
        unresponsive: false,
        unreachable: false,
    },
    HealthCase {
        name: "an alarm after the end of another one",
        steps: |d| {
            (0..8).for_each(|n| d.record_overdue(ms(n * 20)));
            d.record_failed_probe();
            d.record_answer();
            (0..8).for_each(|n| d.record_overdue(ms(n * 20)));
        },
        unresponsive: true,
        unreachable: false,
    },
    HealthCase {
        name: "an answer while a probe was on its way",
        steps: |d| {
            (0..8).for_each(|n| d.record_overdue(ms(n * 20)));
            d.record_answer();
            d.record_failed_probe();
            (0..8).for_each(|n| d.record_overdue(ms(n * 20)));
        },
        unresponsive: true,
        unreachable: false,
    },
];

#[test]
fn a_domain_is_unresponsive_while_no_server_answers() {
    for case in HEALTH {
        let mut health = DomainHealth::default();
        (case.steps)(&mut health);
        assert_eq!(health.is_unresponsive(), case.unresponsive, "{}", case.name);
        assert_eq!(health.is_unreachable(), case.unreachable, "{}", case.name);
        assert_eq!(health.can_send(ms(200)), !case.unresponsive, "{}", case.name);
        assert!(health.can_send(ms(5_000)), "{}: tried again later", case.name);
    }
}

struct ReachCase {
    name: &'static str,
    /// Failure domains of the servers of each shard.
    shards: &'static [&'static [&'static str]],
    min_shard_ratio: f64,
    unreachable: bool,
}

const REACHES: &[ReachCase] = &[
    ReachCase {
        name: "a replica of each shard is responsive",
        shards: &[&["up", "down"], &["down", "up"]],
        min_shard_ratio: 1.0,
        unreachable: false,
    },
    ReachCase {
        name: "the minimum ratio of shards is responsive",
        shards: &[&["up"], &["up"], &["up"], &["down", "down"]],
        min_shard_ratio: 0.75,
        unreachable: false,
    },
    ReachCase {
        name: "less than the minimum ratio of shards is responsive",
        shards: &[&["up"], &["up"], &["down"], &["down", "down"]],
        min_shard_ratio: 0.75,
        unreachable: true,
    },
    ReachCase {
        name: "shards without servers do not count",
        shards: &[&["up"], &["up"], &[], &[]],
        min_shard_ratio: 0.75,
        unreachable: false,
    },
    ReachCase {
        name: "no server is responsive",
        shards: &[&["down"]],
        min_shard_ratio: 0.1,
        unreachable: true,
    },
];

#[test]
fn a_route_is_unreachable_when_too_few_shards_are_responsive() {
    for case in REACHES {
        let names = NameInterner::default();
        let mut picture = Topology::default();
        let (mut reports, mut shards) = (Vec::new(), Vec::new());
        for (n, domains) in case.shards.iter().enumerate() {
            let pool = names.pool_key(&n.to_string());
            shards.push(pool);
            for (m, domain) in domains.iter().enumerate() {
                let server = report(&format!("{n}-{m}"), pool, "127.0.0.1:9", 1);
                reports.push(ServerReport { domain: (*domain).into(), ..server });
            }
        }
        picture.replace_servers(reports, ms(0));
        let target = Target::Gather(ScatterGather {
            shards,
            top_k: 1,
            min_shard_ratio: case.min_shard_ratio,
        });
        let route = Route { target, ..route(&names, "r", "h", "/") };
        let is_up = |s: &Server| s.report.domain == "up";
        assert_eq!(
            is_unreachable(&route, picture.view(), is_up),
            case.unreachable,
            "{}",
            case.name
        );
    }
}

struct ReportCase {
    name: &'static str,
    /// When gatherers refused, in milliseconds.
    refused: &'static [u64],
    now: u64,
    holds: bool,
}

const REPORTS: &[ReportCase] = &[
    ReportCase { name: "none", refused: &[], now: 0, holds: false },
    ReportCase { name: "just now", refused: &[1_000], now: 1_000, holds: true },
    ReportCase { name: "before their next probe", refused: &[1_000], now: 1_299, holds: true },
    ReportCase { name: "asked again after it", refused: &[1_000], now: 1_300, holds: false },
    ReportCase { name: "refused again", refused: &[1_000, 1_300], now: 1_500, holds: true },
];

#[test]
fn what_gatherers_refuse_is_not_offered_again_before_their_next_probe() {
    for case in REPORTS {
        let mut report = CutReport::default();
        case.refused.iter().for_each(|at| report.record(ms(*at)));
        assert_eq!(report.holds(ms(case.now)), case.holds, "{}", case.name);
    }
}
