//! A set of numbers as ranges: small if nearly all numbers below the highest are in it.

use serde::{Deserialize, Serialize};

/// Numbers as ascending half-open ranges with gaps between them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberSet(Vec<(u32, u32)>);

impl NumberSet {
    /// Whether no number is in the set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The end of the range that contains a number; `None` if the number is not in the set.
    pub fn end_of_range(&self, number: u32) -> Option<u32> {
        let at = self.0.partition_point(|(_, end)| *end <= number);
        let (start, end) = self.0.get(at)?;
        (*start <= number).then_some(*end)
    }

    /// Whether a number is in the set.
    pub fn contains(&self, number: u32) -> bool {
        self.end_of_range(number).is_some()
    }

    /// Adds a number below `u32::MAX`.
    pub fn insert(&mut self, number: u32) {
        if self.contains(number) {
            return;
        }
        let at = self.0.partition_point(|(_, end)| *end < number);
        let joins = |range: Option<&(u32, u32)>| range.is_some_and(|(_, end)| *end == number);
        let starts = |range: Option<&(u32, u32)>| range.is_some_and(|(s, _)| *s == number + 1);
        match joins(self.0.get(at)) {
            true if starts(self.0.get(at + 1)) => {
                let (_, end) = self.0.remove(at + 1);
                self.0[at].1 = end;
            }
            true => self.0[at].1 = number + 1,
            false if starts(self.0.get(at)) => self.0[at].0 = number,
            false => self.0.insert(at, (number, number + 1)),
        }
    }

    /// Number of ranges.
    pub fn ranges(&self) -> usize {
        self.0.len()
    }
}
