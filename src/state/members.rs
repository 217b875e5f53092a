//! Who is there: the rosters of all failure domains, as far as this instance has heard.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::state::roster::{Member, Roster};

/// Rosters by failure domain; each only ever moves forward.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rosters(pub IndexMap<String, Roster>);

impl Rosters {
    /// Takes a roster in; says whether that changed anything.
    pub fn take(&mut self, domain: &str, roster: &Roster) -> bool {
        self.0.entry(domain.to_owned()).or_default().merge(roster)
    }

    /// Returns the stamps, to compare with a peer's.
    pub fn stamps(&self) -> IndexMap<String, u64> {
        self.0.iter().map(|(d, r)| (d.clone(), r.stamp())).collect()
    }

    /// Returns the rosters that differ from those with the given stamps.
    pub fn other_than(&self, stamps: &IndexMap<String, u64>) -> Rosters {
        let differs = |d: &String, r: &Roster| stamps.get(d) != Some(&r.stamp());
        Rosters(
            self.0
                .iter()
                .filter(|(d, r)| differs(d, r))
                .map(|(d, r)| (d.clone(), r.clone()))
                .collect(),
        )
    }

    /// Returns the roster of a failure domain.
    pub fn get(&self, domain: &str) -> Option<&Roster> {
        self.0.get(domain)
    }

    /// Walks over all members of all failure domains.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.0.values().flat_map(|r| r.entries.iter().map(|e| &e.member))
    }
}
