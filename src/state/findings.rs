//! Findings of a check, collected with their place and reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One finding: where it is and what is wrong there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Path to the faulty value, such as `services.quotes.bear.slots`.
    pub place: String,
    /// What is wrong, and what would be right.
    pub problem: String,
}

/// All findings of one check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn add(&mut self, place: impl Into<String>, problem: impl Into<String>) {
        self.0.push(Finding { place: place.into(), problem: problem.into() });
    }

    /// Adds a finding unless `ok` holds.
    pub fn require(&mut self, ok: bool, place: impl Into<String>, problem: impl Into<String>) {
        if !ok {
            self.add(place, problem);
        }
    }

    /// Returns `value` if nothing was found, else the findings.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            let sep = if i == 0 { "" } else { "\n" };
            write!(f, "{sep}{}: {}", finding.place, finding.problem)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
