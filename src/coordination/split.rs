//! An even draw among the services of a split.

/// Draws in turn, so that any few draws in a row keep close to the weights.
///
/// Each draw adds a service's weight to its credit; the one with the most credit is drawn and pays
/// the sum of the weights (smooth weighted round robin).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedRoundRobin {
    credit: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Starts a draw; `phase` (0 to 1) keeps instances that start together from drawing in step.
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

    /// Draws a service by its place; `None` when no weight is above zero.
    pub fn next(&mut self, weights: &[f64]) -> Option<usize> {
        let sum: f64 = weights.iter().filter(|w| **w > 0.0).sum();
        if sum <= 0.0 {
            return None;
        }
        self.credit.resize(weights.len(), 0.0);
        for (credit, weight) in self.credit.iter_mut().zip(weights) {
            *credit += weight.max(0.0);
        }
        let open = (0..weights.len()).filter(|i| weights[*i] > 0.0);
        let place = open.max_by(|a, b| self.credit[*a].total_cmp(&self.credit[*b]))?;
        self.credit[place] -= sum;
        Some(place)
    }
}

/// Draws that a start may skip.
const MAX_SKIPS: f64 = 64.0;
