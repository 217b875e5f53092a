//! A change ticket: numbered, with the whole new state of all that it touches.

use serde::{Deserialize, Serialize};

use crate::state::fleet::{Domain, Service, Upstream};
use crate::state::named_map::NamedMap;

/// A change ticket as an operator writes it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ticket {
    /// Its number: one more than that of the last accepted ticket.
    pub number: u64,
    /// Version of the configuration that its author had read.
    pub base: u64,
    /// Why, in the author's words.
    pub note: String,
    /// Failure domains, each with its whole new state.
    pub domains: NamedMap<Domain>,
    /// Services, each with its whole new state.
    pub services: NamedMap<Service>,
    /// Upstreams, each with its whole new state.
    pub upstreams: NamedMap<Upstream>,
    /// Objects to remove.
    pub remove: Removals,
}

/// Names of the objects that a ticket removes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Removals {
    /// Failure domains.
    pub domains: Vec<String>,
    /// Services.
    pub services: Vec<String>,
    /// Upstreams.
    pub upstreams: Vec<String>,
}
