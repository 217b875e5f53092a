//! The life cycle of a ticket as a typestate: draft, checked, accepted.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::state::findings::Findings;
use crate::state::fleet::{Capacity, FleetConfig, Policy, Service, Upstream, Versioned};
use crate::state::named_map::NamedMap;
use crate::state::ticket::Ticket;

/// Maximum size of a configuration, in bytes; the platform limits values to one megabyte.
pub const MAX_CONFIG_BYTES: usize = 1_000_000;
/// Maximum length of a name, in bytes.
const MAX_NAME_LEN: usize = 64;

/// The platform's head object: the configuration in force and the ticket that it came from.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Head {
    /// The configuration.
    pub fleet: FleetConfig,
    /// Identifies the last accepted submission, to resolve a write whose answer was lost.
    pub token: u64,
    /// Note of the last accepted ticket.
    pub note: String,
}

/// State of a ticket as submitted.
#[derive(Debug)]
pub struct Draft(());
/// State of a ticket that passed the checks, with the head object that it would create.
#[derive(Debug)]
pub struct Checked(Head);
/// State of a ticket that was applied to the platform's head object.
#[derive(Debug)]
pub struct Accepted(Head);

/// A ticket in life cycle state `S`.
#[derive(Debug)]
pub struct Change<S> {
    ticket: Ticket,
    state: S,
}

impl Change<Draft> {
    /// Creates a draft from a submitted ticket.
    pub fn new(ticket: Ticket) -> Self {
        Self { ticket, state: Draft(()) }
    }

    /// Checks the ticket against the configuration in force and returns all findings together.
    ///
    /// `size` returns the size of a head object as stored by the platform, in bytes.
    pub fn check(
        self,
        head: &Head,
        token: u64,
        size: impl Fn(&Head) -> usize,
    ) -> Result<Change<Checked>, Findings> {
        let mut findings = Findings::default();
        check_number(&self.ticket, head, &mut findings);
        check_conflicts(&self.ticket, &head.fleet, &mut findings);
        check_names(&self.ticket, &mut findings);
        let fleet = apply_ticket(&self.ticket, &head.fleet);
        check_fleet(&fleet, &mut findings);
        let next = Head { fleet, token, note: self.ticket.note.clone() };
        check_size(size(&next), &mut findings);
        findings.into_result(Change { ticket: self.ticket, state: Checked(next) })
    }
}

impl Change<Checked> {
    /// Returns the head object to write.
    pub fn head(&self) -> &Head {
        &self.state.0
    }

    /// Marks the ticket as accepted after the write took effect.
    pub fn accept(self) -> Change<Accepted> {
        Change { ticket: self.ticket, state: Accepted(self.state.0) }
    }

    /// Accepts the ticket, or returns it to a draft, by the head object read after a lost answer.
    pub fn resolve_read_back(self, found: &Head) -> Result<Change<Accepted>, Box<Change<Draft>>> {
        if found.token == self.state.0.token {
            Ok(self.accept())
        } else {
            Err(Box::new(Change::new(self.ticket)))
        }
    }

    /// Returns the ticket to a draft after a conflicting write.
    pub fn into_draft(self) -> Change<Draft> {
        Change::new(self.ticket)
    }
}

impl Change<Accepted> {
    /// Returns the head object in force.
    pub fn head(&self) -> &Head {
        &self.state.0
    }

    /// Returns the ticket.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }
}

/// Returns whether `next` may replace `now`, since versions never decrease.
pub fn is_newer(now: &FleetConfig, next: &FleetConfig) -> bool {
    next.version > now.version
}

fn check_number(ticket: &Ticket, head: &Head, findings: &mut Findings) {
    let last = head.fleet.version;
    if ticket.number <= last {
        let by =
            if ticket.number == last { format!(" (\"{}\")", head.note) } else { String::new() };
        findings.add(
            "number",
            format!("ticket {} was already accepted{by}; the next is {}", ticket.number, last + 1),
        );
    } else if ticket.number > last + 1 {
        findings.add("number", format!("the next ticket is {}", last + 1));
    }
    findings.require(
        ticket.base <= last,
        "base",
        format!("no such version yet; the last is {last}"),
    );
}

fn check_conflicts(ticket: &Ticket, fleet: &FleetConfig, findings: &mut Findings) {
    let names = |given: &mut dyn Iterator<Item = &String>, removed: &[String]| -> Vec<String> {
        given.cloned().chain(removed.iter().cloned()).collect()
    };
    let domains = names(&mut ticket.domains.keys(), &ticket.remove.domains);
    let services = names(&mut ticket.services.keys(), &ticket.remove.services);
    let upstreams = names(&mut ticket.upstreams.keys(), &ticket.remove.upstreams);
    find_conflicts("domains", &domains, &fleet.domains, ticket.base, findings);
    find_conflicts("services", &services, &fleet.services, ticket.base, findings);
    find_conflicts("upstreams", &upstreams, &fleet.upstreams, ticket.base, findings);
    find_missing("domains", &ticket.remove.domains, &fleet.domains, findings);
    find_missing("services", &ticket.remove.services, &fleet.services, findings);
    find_missing("upstreams", &ticket.remove.upstreams, &fleet.upstreams, findings);
}

fn find_conflicts<T>(
    kind: &str,
    changed_names: &[String],
    known: &NamedMap<Versioned<T>>,
    base: u64,
    findings: &mut Findings,
) {
    for name in changed_names {
        if let Some(by) = known.get(name).map(|s| s.changed).filter(|c| *c > base) {
            let problem = format!(
                "changed by ticket {by}, after version {base} that this ticket is based on"
            );
            findings.add(format!("{kind}.{name}"), problem);
        }
    }
}

fn find_missing<T>(
    kind: &str,
    removed: &[String],
    known: &NamedMap<Versioned<T>>,
    findings: &mut Findings,
) {
    for name in removed {
        findings.require(
            known.contains_key(name),
            format!("remove.{kind}"),
            format!("`{name}` is not there"),
        );
    }
}

fn check_names(ticket: &Ticket, findings: &mut Findings) {
    let kinds: [(&str, Vec<&String>); 3] = [
        ("domains", ticket.domains.keys().collect()),
        ("services", ticket.services.keys().collect()),
        ("upstreams", ticket.upstreams.keys().collect()),
    ];
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    for (kind, names) in kinds {
        for name in names {
            let is_valid =
                !name.is_empty() && name.len() <= MAX_NAME_LEN && name.chars().all(is_allowed);
            let problem =
                format!("a name has 1 to {MAX_NAME_LEN} letters, digits, `-`, `_` or `.`");
            findings.require(is_valid, format!("{kind}.{name}"), problem);
        }
    }
}

fn apply_ticket(ticket: &Ticket, fleet: &FleetConfig) -> FleetConfig {
    let mut next = fleet.clone();
    next.version = ticket.number;
    apply_changes(&mut next.domains, &ticket.domains, &ticket.remove.domains, ticket.number);
    apply_changes(&mut next.services, &ticket.services, &ticket.remove.services, ticket.number);
    apply_changes(&mut next.upstreams, &ticket.upstreams, &ticket.remove.upstreams, ticket.number);
    next
}

fn apply_changes<T: Clone>(
    known: &mut NamedMap<Versioned<T>>,
    new: &NamedMap<T>,
    removed: &[String],
    number: u64,
) {
    known.retain(|name, _| !removed.contains(name));
    for (name, value) in new.iter() {
        known.insert(name.clone(), Versioned { changed: number, value: value.clone() });
    }
}

/// The path of an object within a configuration.
struct ConfigPath<'a>(&'a str, &'a str);

impl fmt::Display for ConfigPath<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0, self.1)
    }
}

fn check_fleet(fleet: &FleetConfig, findings: &mut Findings) {
    for (name, up) in fleet.upstreams.iter() {
        check_upstream(ConfigPath("upstreams", name), &up.value, fleet, findings);
    }
    for (name, service) in fleet.services.iter() {
        let place = ConfigPath("services", name);
        check_policy(&place, &service.value.policy, findings);
        check_capacity(&place, &service.value.capacity, findings);
        check_maps(name, &service.value, fleet, findings);
    }
}

fn check_size(bytes: usize, findings: &mut Findings) {
    findings.require(
        bytes <= MAX_CONFIG_BYTES,
        "",
        format!("the configuration has {bytes} bytes; at most {MAX_CONFIG_BYTES}"),
    );
}

fn check_upstream(
    place: ConfigPath<'_>,
    up: &Upstream,
    fleet: &FleetConfig,
    findings: &mut Findings,
) {
    let domain = fleet.domains.contains_key(&up.domain);
    findings.require(
        domain,
        format!("{place}.domain"),
        format!("no failure domain `{}`", up.domain),
    );
    let service = fleet.services.contains_key(&up.service);
    findings.require(service, format!("{place}.service"), format!("no service `{}`", up.service));
    findings.require(up.addr.port() != 0, format!("{place}.addr"), "the port is 0");
}

fn check_policy(place: &ConfigPath<'_>, p: &Policy, findings: &mut Findings) {
    let at = |field: &str| format!("{place}.policy.{field}");
    findings.require(p.soft_ms > 0, at("soft_ms"), "must be above 0");
    findings.require(p.hard_ms >= p.soft_ms, at("hard_ms"), "must not be below soft_ms");
    findings.require(p.hard_ms <= 60_000, at("hard_ms"), "must not be above 60000");
    findings.require(
        (0.0..=1.0).contains(&p.extra_share),
        at("extra_share"),
        "must be from 0 to 1",
    );
}

fn check_capacity(place: &ConfigPath<'_>, b: &Capacity, findings: &mut Findings) {
    let at = |field: &str| format!("{place}.bear.{field}");
    findings.require(b.slots > 0, at("slots"), "must be above 0");
    findings.require(b.connections >= b.slots, at("connections"), "must not be below slots");
    findings.require(b.cold_rate > 0.0, at("cold_rate"), "must be above 0");
    findings.require(b.cold_ms <= 600_000, at("cold_ms"), "must not be above 600000");
}

fn check_maps(name: &str, service: &Service, fleet: &FleetConfig, findings: &mut Findings) {
    findings.require(
        !service.maps.is_empty(),
        format!("services.{name}.maps"),
        "must not be empty",
    );
    for (i, map) in service.maps.iter().enumerate() {
        let place = format!("services.{name}.maps[{i}]");
        let is_ascending = i == 0 || service.maps[i - 1].from < map.from;
        findings.require(
            is_ascending,
            format!("{place}.from"),
            "must be above that of the map before",
        );
        findings.require(!map.shards.is_empty(), format!("{place}.shards"), "must not be empty");
        for (shard, replicas) in map.shards.iter() {
            let place = format!("{place}.shards.{shard}");
            findings.require(!replicas.is_empty(), &place, "has no replica");
            for up in replicas {
                let is_valid = fleet.upstreams.get(up).is_some_and(|u| u.value.service == name);
                findings.require(
                    is_valid,
                    &place,
                    format!("`{up}` is no upstream of this service"),
                );
            }
        }
    }
}
