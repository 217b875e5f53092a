//! Tickets: findings with their path, conflicts with their reason, and versions that never decrease.

mod support;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::seeds;
use tamarackdeck::{
    Capacity, Catalog, Change, Domain, FleetConfig, Head, NameInterner, NamedMap, Policy, Service,
    ShardMap, Snapshot, Ticket, Upstream, head_size, is_newer,
};

fn named<T>(items: impl IntoIterator<Item = (&'static str, T)>) -> NamedMap<T> {
    items.into_iter().map(|(n, t)| (n.to_owned(), t)).collect()
}

fn service(shards: &[(&'static str, &[&str])]) -> Service {
    let shards = shards.iter().map(|(s, ups)| (*s, ups.iter().map(|u| u.to_string()).collect()));
    Service {
        maps: vec![ShardMap { from: Snapshot(0), shards: named(shards) }],
        ..Default::default()
    }
}

fn upstream(service: &str) -> Upstream {
    let addr = "127.0.0.1:9".parse().unwrap();
    Upstream { addr, domain: "d".into(), service: service.into(), leaving: false }
}

fn first() -> Ticket {
    Ticket {
        number: 1,
        note: "first".into(),
        domains: named([("d", Domain::default())]),
        services: named([("s", service(&[("a", &["u"])]))]),
        upstreams: named([("u", upstream("s"))]),
        ..Default::default()
    }
}

fn accept(ticket: Ticket, head: &Head, token: u64) -> Head {
    Change::new(ticket).check(head, token, head_size).unwrap().accept().head().clone()
}

struct Case {
    name: &'static str,
    change: fn(&mut Ticket),
    findings: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case { name: "good", change: |_| {}, findings: &[] },
    Case { name: "number taken", change: |t| t.number = 1, findings: &["number"] },
    Case { name: "number ahead", change: |t| t.number = 5, findings: &["number"] },
    Case { name: "base ahead", change: |t| t.base = 9, findings: &["base"] },
    Case { name: "object changed since", change: |t| t.base = 0, findings: &["domains.d"] },
    Case {
        name: "bad name",
        change: |t| t.domains = named([("d d", Domain::default())]),
        findings: &["domains.d d"],
    },
    Case {
        name: "removes an unknown object",
        change: |t| t.remove.domains = vec!["x".into()],
        findings: &["remove.domains"],
    },
    Case {
        name: "removes an object in use",
        change: |t| {
            t.domains = NamedMap::default();
            t.remove.domains = vec!["d".into()];
        },
        findings: &["upstreams.u.domain"],
    },
    Case {
        name: "more bytes than the platform holds",
        change: |t| t.note = "n".repeat(tamarackdeck::MAX_CONFIG_BYTES),
        findings: &[""],
    },
    Case {
        name: "shards without replicas, and unknown ones",
        change: |t| t.services = named([("s", service(&[("a", &[]), ("b", &["x"])]))]),
        findings: &["services.s.maps[0].shards.a", "services.s.maps[0].shards.b"],
    },
    Case {
        name: "everything wrong in one service",
        change: |t| {
            let policy = Policy { soft_ms: 0, hard_ms: 0, extra_share: 2.0, ..Default::default() };
            let bear = Capacity { slots: 0, connections: 0, cold_rate: 0.0, ..Default::default() };
            t.services = named([("s", Service { policy, capacity: bear, maps: vec![] })]);
        },
        findings: &[
            "services.s.policy.soft_ms",
            "services.s.policy.extra_share",
            "services.s.bear.slots",
            "services.s.bear.cold_rate",
            "services.s.maps",
        ],
    },
];

#[test]
fn all_findings_are_reported_together_with_their_place() {
    let head = accept(first(), &Head::default(), 1);
    for case in CASES {
        let mut ticket = Ticket {
            number: 2,
            base: 1,
            domains: named([("d", Domain { evacuated: true })]),
            ..Default::default()
        };
        (case.change)(&mut ticket);
        let places: Vec<String> = match Change::new(ticket).check(&head, 2, head_size) {
            Ok(_) => Vec::new(),
            Err(findings) => findings.0.into_iter().map(|f| f.place).collect(),
        };
        assert_eq!(places, case.findings, "{}", case.name);
    }
}

#[test]
fn a_duplicate_name_is_refused() {
    let text = r#"{"number": 1, "domains": {"d": {"out": true}, "d": {"out": false}}}"#;
    let error = serde_json::from_str::<Ticket>(text).unwrap_err().to_string();
    assert!(error.contains("`d` is given twice"), "{error}");
}

#[test]
fn upstreams_keep_their_keys_across_versions() {
    let head = accept(first(), &Head::default(), 1);
    let names = NameInterner::default();
    let catalog = Catalog::compile(head.fleet.clone(), &Catalog::default(), &names);
    let more = Ticket {
        number: 2,
        base: 1,
        services: named([("s", service(&[("a", &["v"])]))]),
        upstreams: named([("v", upstream("s"))]),
        remove: tamarackdeck::Removals { upstreams: vec!["u".into()], ..Default::default() },
        ..Default::default()
    };
    let next = Catalog::compile(accept(more, &head, 2).fleet, &catalog, &names);
    let (u, v) = (catalog.upstream_key("u").unwrap(), next.upstream_key("v").unwrap());
    assert_ne!(u, v, "the key of a removed upstream is not used again");
    let reports = next.server_reports(&head.fleet, &names);
    let known: Vec<_> =
        reports.iter().map(|r| (r.id.as_str(), r.cold_remaining.is_zero())).collect();
    assert_eq!(known, [("v", false)], "a removed upstream is gone, a new one counts as cold");
}

/// Concurrent operators, lost answers, and instances that read stale copies or copies of each other.
fn race(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut history = vec![Head::default(), accept(first(), &Head::default(), 1)];
    let mut instances = vec![FleetConfig::default(); 4];
    let (mut accepted, mut token) = (vec![(1, 1)], 1);
    for _ in 0..60 {
        let newest = history.last().unwrap().clone();
        if rng.random_bool(0.4) {
            token += 1;
            // both the operator and the checking instance may have read an old version
            let base = rng.random_range(0..=newest.fleet.version);
            let seen = &history[rng.random_range(0..history.len())];
            let number = rng.random_range(base.max(1)..=base + 1);
            let ticket = Ticket {
                number,
                base,
                domains: named([("d", Domain { evacuated: rng.random() })]),
                ..Default::default()
            };
            let Ok(checked) = Change::new(ticket).check(seen, token, head_size) else { continue };
            let is_current = seen.fleet.version == newest.fleet.version; // the conditional update
            if is_current {
                history.push(checked.head().clone());
            }
            let found = history.last().unwrap();
            let is_accepted = match (is_current, rng.random_bool(0.3)) {
                (_, true) => checked.resolve_read_back(found).is_ok(),
                (true, false) => true,
                (false, false) => false,
            };
            assert_eq!(is_accepted, is_current, "seed {seed}: the operator learns the outcome");
            if is_accepted {
                accepted.push((number, token));
            }
        }
        let to = rng.random_range(0..instances.len());
        let received = match rng.random_bool(0.5) {
            true => history[rng.random_range(0..history.len())].fleet.clone(),
            false => instances[rng.random_range(0..instances.len())].clone(),
        };
        let before = instances[to].version;
        if is_newer(&instances[to], &received) {
            instances[to] = received;
        }
        assert!(instances[to].version >= before, "seed {seed}: an instance went back");
    }
    let mut numbers: Vec<_> = accepted.iter().map(|(n, _)| *n).collect();
    numbers.dedup();
    assert_eq!(
        numbers,
        (1..=accepted.len() as u64).collect::<Vec<_>>(),
        "seed {seed}: one winner a number"
    );
}

#[test]
fn one_operator_wins_each_number_and_no_instance_goes_back() {
    seeds(5_000).into_iter().for_each(race);
}
