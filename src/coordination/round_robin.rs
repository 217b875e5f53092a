//! Weighted round robin among the services of a traffic split.

/// A smooth weighted round robin, whose short sequences stay close to the weights.
///
/// Each call adds every service's weight to its credit, then selects the service with the most credit
/// and subtracts the sum of the weights from it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedRoundRobin {
    credit: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Creates a round robin; `phase` (0 to 1) offsets instances that start at the same time.
    pub fn new(weights: &[f64], phase: f64) -> Self {
        let sum: f64 = weights.iter().sum();
        let mut draw = Self { credit: vec![0.0; weights.len()] };
        let skip = (phase * MAX_SKIPS) as usize;
        if sum > 0.0 {
            (0..skip).for_each(|_| {
                draw.next(weights);
            });
        }
        draw
    }

    /// Returns the index of the next service, or `None` if no weight is above zero.
    pub fn next(&mut self, weights: &[f64]) -> Option<usize> {
        let sum: f64 = weights.iter().filter(|w| **w > 0.0).sum();
        if sum <= 0.0 {
            return None;
        }
        self.credit.resize(weights.len(), 0.0);
        for (credit, weight) in self.credit.iter_mut().zip(weights) {
            *credit += weight.max(0.0);
        }
        let eligible = (0..weights.len()).filter(|i| weights[*i] > 0.0);
        let index = eligible.max_by(|a, b| self.credit[*a].total_cmp(&self.credit[*b]))?;
        self.credit[index] -= sum;
        Some(index)
    }
}

/// Upper bound of the selections skipped at the start.
const MAX_SKIPS: f64 = 64.0;
