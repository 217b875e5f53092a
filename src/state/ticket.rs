//! A change ticket: numbered, with the complete new state of each object that it changes.

use serde::{Deserialize, Serialize};

use crate::state::fleet::{Domain, Service, Upstream};
use crate::state::named_map::NamedMap;

/// A change ticket as submitted by an operator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ticket {
    /// Ticket number: one more than that of the last accepted ticket.
    pub number: u64,
    /// Configuration version that the change is based on.
    pub base: u64,
    /// Reason for the change, as free text.
    pub note: String,
    /// Failure domains, each with its complete new state.
    pub domains: NamedMap<Domain>,
    /// Services, each with its complete new state.
    pub services: NamedMap<Service>,
    /// Upstreams, each with its complete new state.
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
