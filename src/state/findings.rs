//! Validation findings, collected with their location and reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One validation finding: a location and the problem found there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Path to the invalid value, such as `services.quotes.bear.slots`.
    pub place: String,
    /// What is wrong with the value, and what is valid.
    pub problem: String,
}

/// All findings of one validation.
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

    /// Returns `value` if there are no findings, else the findings.
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
