//! Weighted choice that keeps its weights over short spans.

/// Smooth weighted round robin: after every choice each destination has received its share
/// to within one choice. Independent random draws would deviate by the square root of their
/// number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedSplit {
    weights: Vec<i64>,
    credits: Vec<i64>,
}

impl WeightedSplit {
    /// Returns a split over `weights`. `start` offsets the sequence, so that many nodes
    /// don't all begin with the same destination.
    #[must_use]
    pub fn new(weights: &[u32], start: u32) -> Self {
        let weights: Vec<i64> = weights.iter().map(|&weight| i64::from(weight)).collect();
        let total: i64 = weights.iter().sum();
        let mut split = Self {
            credits: vec![0; weights.len()],
            weights,
        };
        if total > 0 {
            for _ in 0..i64::from(start) % total {
                split.next();
            }
        }
        split
    }

    /// Returns the index of the next destination, or `None` when no weight is above zero.
    #[allow(clippy::should_implement_trait, reason = "it never ends")]
    pub fn next(&mut self) -> Option<usize> {
        let total: i64 = self.weights.iter().sum();
        if total <= 0 {
            return None;
        }
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        let credits = self.credits.iter().enumerate();
        let eligible = credits.filter(|(place, _)| self.weights[*place] > 0);
        let (chosen, _) = eligible.max_by_key(|&(place, &credit)| (credit, usize::MAX - place))?;
        self.credits[chosen] -= total;
        Some(chosen)
    }
}
