//! Selection of gatherers, and the encoding of the queries that are forwarded to them.

mod support;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use indexmap::IndexMap;
use support::ms;
use tamarackdeck::{
    GatherContext, GatherRefusal, GatherRequest, GatherScope, GatherTimes, InstanceId, Member,
    OutgoingRequest, Role, Spread, can_take, connection_share, is_heavy, role, select_gatherers,
};

fn member((name, domain, power): &(&str, &str, u32)) -> Member {
    let addr = "127.0.0.1:9".parse().unwrap();
    Member { id: InstanceId((*name).to_owned()), domain: (*domain).to_owned(), addr, power: *power }
}

struct Case {
    name: &'static str,
    /// Name, failure domain and processor power of each member; the first one has the request.
    members: &'static [(&'static str, &'static str, u32)],
    /// Number of shards, out of ten, in each failure domain.
    held: &'static [(&'static str, usize)],
    rate: f64,
    /// Members that may gather; empty if the first one gathers itself.
    chosen: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "the larger ones gather for the others",
        members: &[("a", "d", 120), ("b", "d", 120), ("x", "d", 500), ("y", "d", 500)],
        held: &[("d", 10)],
        rate: 0.6,
        chosen: &["x", "y"],
    },
    Case {
        name: "a small one forwards its requests though its connections are warm",
        members: &[("a", "d", 120), ("x", "d", 500)],
        held: &[("d", 10)],
        rate: 50.0,
        chosen: &["x"],
    },
    Case {
        name: "a gatherer gathers itself",
        members: &[("x", "d", 500), ("y", "d", 500), ("a", "d", 120)],
        held: &[("d", 10)],
        rate: 0.1,
        chosen: &[],
    },
    Case {
        name: "three of one size all gather",
        members: &[("a", "d", 250), ("b", "d", 250), ("c", "d", 250)],
        held: &[("d", 7), ("e", 7)],
        rate: 0.1,
        chosen: &[],
    },
    Case {
        name: "an instance without near shards forwards to the domains with the most shards",
        members: &[("a", "d", 250), ("x", "e", 250), ("y", "f", 250), ("z", "g", 250)],
        held: &[("e", 10), ("f", 10), ("g", 2)],
        rate: 20.0,
        chosen: &["x", "y"],
    },
    Case {
        name: "no domain holds enough",
        members: &[("a", "d", 250), ("x", "e", 250), ("y", "f", 250)],
        held: &[("d", 3), ("e", 4), ("f", 3)],
        rate: 1.0,
        chosen: &[],
    },
    Case {
        name: "nobody else is known",
        members: &[("a", "d", 250)],
        held: &[("e", 10)],
        rate: 1.0,
        chosen: &[],
    },
];

#[test]
fn requests_are_gathered_near_the_shards_on_warm_connections() {
    for case in CASES {
        let members: Vec<Member> = case.members.iter().map(member).collect();
        let held: IndexMap<&str, usize> = case.held.iter().copied().collect();
        let context = GatherContext { me: &members[0], request_rate: case.rate, shard_count: 10 };
        let chosen = select_gatherers(context, &held, &members);
        let mut names: Vec<_> = chosen.iter().map(|m| m.id.name()).collect();
        names.sort_unstable();
        assert_eq!(names, case.chosen, "{}", case.name);
    }
}

#[test]
fn heavy_requests_go_to_the_first_gatherer_of_a_domain() {
    let names: Vec<String> = (0..6).map(|n| format!("i{n}")).collect();
    let members: Vec<Member> = names.iter().map(|n| member(&(n, "d", 120))).collect();
    let held: IndexMap<&str, usize> = [("d", 180)].into_iter().collect();
    let chosen = |me, rate| -> Vec<String> {
        let context = GatherContext { me, request_rate: rate, shard_count: 180 };
        let chosen = select_gatherers(context, &held, &members);
        chosen.iter().map(|m| m.id.name().to_owned()).collect()
    };
    let order = chosen(&members[0], 0.2);
    assert_eq!(order.len(), 3);
    for me in &members {
        assert_eq!(chosen(me, 0.2), order, "all prefer the same one, the gatherers too");
        assert!(chosen(me, 10.0).is_empty(), "an instance with warm connections gathers itself");
    }
}

struct LoadCase {
    name: &'static str,
    power: u32,
    shards_in_flight: usize,
    shard_count: usize,
    taken: bool,
    heavy: bool,
}

const LOADS: &[LoadCase] = &[
    LoadCase {
        name: "the first request of a small instance",
        power: 120,
        shards_in_flight: 0,
        shard_count: 270,
        taken: true,
        heavy: true,
    },
    LoadCase {
        name: "a second one over many shards",
        power: 120,
        shards_in_flight: 180,
        shard_count: 180,
        taken: false,
        heavy: true,
    },
    LoadCase {
        name: "a second one over few shards",
        power: 120,
        shards_in_flight: 20,
        shard_count: 20,
        taken: true,
        heavy: false,
    },
    LoadCase {
        name: "a fourth one on a large instance",
        power: 500,
        shards_in_flight: 540,
        shard_count: 180,
        taken: true,
        heavy: false,
    },
    LoadCase {
        name: "unknown power",
        power: 0,
        shards_in_flight: 9_000,
        shard_count: 180,
        taken: true,
        heavy: false,
    },
];

#[test]
fn a_gatherer_takes_what_its_processor_allows() {
    for case in LOADS {
        let taken = can_take(case.power, case.shards_in_flight, case.shard_count);
        assert_eq!(taken, case.taken, "{}", case.name);
        assert_eq!(is_heavy(case.power, case.shard_count), case.heavy, "{}", case.name);
    }
}

struct SpreadCase {
    name: &'static str,
    /// Times at which a gatherer was busy, in milliseconds.
    busy: &'static [u64],
    now: u64,
    width: usize,
}

const SPREADS: &[SpreadCase] = &[
    SpreadCase { name: "none was busy", busy: &[], now: 0, width: 1 },
    SpreadCase { name: "one was busy", busy: &[100], now: 200, width: 2 },
    SpreadCase { name: "no more than there are", busy: &[1, 2, 3, 4], now: 5, width: 3 },
    SpreadCase { name: "one less after a while", busy: &[1, 2], now: 5_002, width: 2 },
    SpreadCase { name: "only the first in the end", busy: &[1, 2], now: 60_000, width: 1 },
    SpreadCase { name: "busy again after long", busy: &[1, 2, 60_000], now: 60_001, width: 2 },
];

#[test]
fn more_gatherers_are_used_while_the_first_are_busy() {
    for case in SPREADS {
        let mut spread = Spread::default();
        for at in case.busy {
            spread.width(ms(*at));
            spread.record_busy(3, ms(*at));
        }
        assert_eq!(spread.width(ms(case.now)), case.width, "{}", case.name);
    }
}

#[test]
fn a_busy_instance_of_usual_size_gathers_itself() {
    let names: Vec<String> = (0..16).map(|n| format!("i{n}")).collect();
    let members: Vec<Member> = names.iter().map(|n| member(&(n, "d", 250))).collect();
    let held: IndexMap<&str, usize> = [("d", 10)].into_iter().collect();
    let forwarding = |rate| {
        let asks = |me: &&Member| {
            !select_gatherers(
                GatherContext { me, request_rate: rate, shard_count: 10 },
                &held,
                &members,
            )
            .is_empty()
        };
        members.iter().filter(asks).count()
    };
    assert_eq!(
        (forwarding(0.5), forwarding(10.0)),
        (13, 0),
        "three of sixteen gather for the others"
    );
    let gather = members.iter().filter(|me| role(me, &members) == Role::Gatherer(3)).count();
    assert_eq!(gather, 3, "each gatherer knows its role and the number of gatherers");
}

struct ShareCase {
    name: &'static str,
    limit: u32,
    instances: usize,
    role: Role,
    share: u32,
}

const SHARES: &[ShareCase] = &[
    ShareCase {
        name: "enough for all",
        limit: 26,
        instances: 9,
        role: Role::Gatherer(9),
        share: 2,
    },
    ShareCase { name: "a gatherer", limit: 56, instances: 68, role: Role::Gatherer(6), share: 4 },
    ShareCase {
        name: "an instance that forwards",
        limit: 56,
        instances: 68,
        role: Role::Asker,
        share: 1,
    },
    ShareCase {
        name: "more gatherers than connections",
        limit: 8,
        instances: 68,
        role: Role::Gatherer(9),
        share: 1,
    },
];

#[test]
fn gatherers_have_more_of_few_connections() {
    for case in SHARES {
        let share = connection_share(case.limit, case.instances, case.role);
        assert_eq!(share, case.share, "{}", case.name);
    }
}

struct RefusalCase {
    why: GatherRefusal,
    excluded: bool,
    invalidates_clock: bool,
}

const REFUSALS: &[RefusalCase] = &[
    RefusalCase { why: GatherRefusal::Version, excluded: false, invalidates_clock: false },
    RefusalCase { why: GatherRefusal::Unfit, excluded: false, invalidates_clock: false },
    RefusalCase { why: GatherRefusal::Busy, excluded: false, invalidates_clock: false },
    RefusalCase { why: GatherRefusal::Cut, excluded: false, invalidates_clock: false },
    RefusalCase { why: GatherRefusal::Leaving, excluded: true, invalidates_clock: false },
    RefusalCase { why: GatherRefusal::Late, excluded: true, invalidates_clock: true },
];

#[test]
fn a_gatherer_that_may_take_the_next_request_is_asked_again_at_once() {
    for case in REFUSALS {
        let why = case.why;
        assert_eq!(!why.exclusion_time().is_zero(), case.excluded, "{why:?}");
        assert_eq!(why.invalidates_clock(), case.invalidates_clock, "{why:?}");
    }
}

struct QueryCase {
    name: &'static str,
    header: (&'static str, &'static [u8]),
    uri: &'static str,
}

const QUERIES: &[QueryCase] = &[
    QueryCase { name: "plain", header: ("accept", b"*/*"), uri: "/all/x?y=1" },
    QueryCase {
        name: "a header value that is not UTF-8",
        header: ("x-odd", b"\xff\xfe"),
        uri: "/all/",
    },
];

#[test]
fn a_query_survives_encoding_and_decoding() {
    for case in QUERIES {
        let mut headers = HeaderMap::new();
        let (name, value) = case.header;
        headers.append(name, hyper::header::HeaderValue::from_bytes(value).unwrap());
        headers.append(name, "again".parse().unwrap());
        let out = OutgoingRequest {
            method: Method::POST,
            uri: case.uri.parse().unwrap(),
            headers,
            body: Bytes::from_static(b"body"),
            labels: vec!["a1".to_owned()],
        };
        let scope = GatherScope { route: "r".to_owned(), version: 7, shards: 60..120 };
        let times = GatherTimes { sent: ms(1), ..Default::default() };
        let query = GatherRequest::new("a1", scope, &out, times);
        let sent = tamarackdeck::encode_batch(std::slice::from_ref(&query)).unwrap();
        let came: Vec<GatherRequest> = tamarackdeck::decode_batch(&sent).unwrap();
        assert_eq!(came, [query], "{}", case.name);
        let again = came[0].to_outgoing().unwrap();
        assert_eq!(
            (again.method, again.uri, again.headers, again.body, again.labels),
            (out.method, out.uri, out.headers, out.body, out.labels),
            "{}",
            case.name
        );
    }
}
