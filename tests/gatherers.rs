//! Which instances gather requests over shards, and what is sent to them.

mod support;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use indexmap::IndexMap;
use support::ms;
use tamarackdeck::{
    GatherContext, GatherRefusal, InstanceId, Member, Outgoing, Query, QueryTimes, Role,
    connection_share, role, select_gatherers,
};

fn member((name, domain, power): &(&str, &str, u32)) -> Member {
    let addr = "127.0.0.1:9".parse().unwrap();
    Member { id: InstanceId((*name).to_owned()), domain: (*domain).to_owned(), addr, power: *power }
}

struct Case {
    name: &'static str,
    /// Name, failure domain and processor of each member; the first one asks.
    members: &'static [(&'static str, &'static str, u32)],
    /// Shards of ten that each failure domain holds.
    held: &'static [(&'static str, usize)],
    rate: f64,
    /// Who may gather; none if the asker does.
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
        name: "a small one hands on though its connections are warm",
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
        name: "an instance without shards near it hands on to the domains that hold most",
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
        let asker = GatherContext { me: &members[0], request_rate: case.rate, shard_count: 10 };
        let chosen = select_gatherers(asker, &held, &members);
        let mut names: Vec<_> = chosen.iter().map(|m| m.id.name()).collect();
        names.sort_unstable();
        assert_eq!(names, case.chosen, "{}", case.name);
    }
}

#[test]
fn a_busy_instance_of_usual_size_gathers_itself() {
    let names: Vec<String> = (0..16).map(|n| format!("i{n}")).collect();
    let members: Vec<Member> = names.iter().map(|n| member(&(n, "d", 250))).collect();
    let held: IndexMap<&str, usize> = [("d", 10)].into_iter().collect();
    let hands_on = |rate| {
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
    assert_eq!((hands_on(0.5), hands_on(10.0)), (13, 0), "three of sixteen gather for the rest");
    let gather = members.iter().filter(|me| role(me, &members) == Role::Gatherer(3)).count();
    assert_eq!(gather, 3, "each knows whether it does, and how many do");
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
    ShareCase { name: "an asker", limit: 56, instances: 68, role: Role::Asker, share: 1 },
    ShareCase {
        name: "more gatherers than room",
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

struct NotTakenCase {
    why: GatherRefusal,
    left_out: bool,
    doubts_link: bool,
}

const NOT_TAKEN: &[NotTakenCase] = &[
    NotTakenCase { why: GatherRefusal::Version, left_out: false, doubts_link: false },
    NotTakenCase { why: GatherRefusal::Unfit, left_out: false, doubts_link: false },
    NotTakenCase { why: GatherRefusal::Leaving, left_out: true, doubts_link: false },
    NotTakenCase { why: GatherRefusal::Cut, left_out: true, doubts_link: false },
    NotTakenCase { why: GatherRefusal::Late, left_out: true, doubts_link: true },
];

#[test]
fn a_gatherer_with_another_version_is_asked_again_at_once() {
    for case in NOT_TAKEN {
        let why = case.why;
        assert_eq!(!why.exclusion_time().is_zero(), case.left_out, "{why:?}");
        assert_eq!(why.invalidates_link_delay(), case.doubts_link, "{why:?}");
    }
}

struct QueryCase {
    name: &'static str,
    header: (&'static str, &'static [u8]),
    uri: &'static str,
}

const QUERIES: &[QueryCase] = &[
    QueryCase { name: "plain", header: ("accept", b"*/*"), uri: "/all/x?y=1" },
    QueryCase { name: "a value that is no text", header: ("x-odd", b"\xff\xfe"), uri: "/all/" },
];

#[test]
fn a_query_comes_out_as_it_went_in() {
    for case in QUERIES {
        let mut headers = HeaderMap::new();
        let (name, value) = case.header;
        headers.append(name, hyper::header::HeaderValue::from_bytes(value).unwrap());
        headers.append(name, "again".parse().unwrap());
        let out = Outgoing {
            method: Method::POST,
            uri: case.uri.parse().unwrap(),
            headers,
            body: Bytes::from_static(b"body"),
            labels: vec!["a1".to_owned()],
        };
        let times = QueryTimes { sent: ms(1), ..Default::default() };
        let query = Query::new("a1", ("r".to_owned(), 7), &out, times);
        let sent = tamarackdeck::encode(std::slice::from_ref(&query)).unwrap();
        let came: Vec<Query> = tamarackdeck::decode(&sent).unwrap();
        assert_eq!(came, [query], "{}", case.name);
        let again = came[0].outgoing().unwrap();
        assert_eq!(
            (again.method, again.uri, again.headers, again.body, again.labels),
            (out.method, out.uri, out.headers, out.body, out.labels),
            "{}",
            case.name
        );
    }
}
