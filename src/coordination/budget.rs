//! The budget of hedges and retries together, as a share of first attempts.

/// Extra attempts that may gather while none are needed, per service and instance.
const MOST: f64 = 20.0;
/// Extra attempts at hand when the process starts.
const FIRST: f64 = 5.0;

/// A budget that first attempts fill and extra attempts spend.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: FIRST }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(MOST);
    }

    /// Spends one extra attempt, if there is one.
    pub fn spend(&mut self) -> bool {
        let ok = self.tokens >= 1.0;
        if ok {
            self.tokens -= 1.0;
        }
        ok
    }
}
