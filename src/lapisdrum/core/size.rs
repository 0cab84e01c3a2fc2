//! Resources of a host: the demand of a task or request, or the capacity of the host.

data! {
    /// Processors, memory and accelerators, as a demand or as a capacity.
    #[derive(Copy, Default, Hash)]
    pub struct Size {
        /// Processors, in thousandths of a core.
        pub millicores: u64,
        /// Memory, in MB.
        pub memory_mb: u64,
        /// Number of accelerators; they are not divided.
        pub accelerators: u64,
    }
}

impl Size {
    /// No resources.
    pub const ZERO: Self = Self {
        millicores: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Whether this size is at most `capacity` in every dimension.
    pub fn fits(&self, capacity: &Self) -> bool {
        self.millicores <= capacity.millicores
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }

    /// The sum of both sizes in each dimension, at most the greatest number.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// This size less `other` in each dimension, but not below zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// This size multiplied by `n`, at most the greatest number in each dimension.
    #[must_use]
    pub fn times(&self, n: u64) -> Self {
        Self {
            millicores: self.millicores.saturating_mul(n),
            memory_mb: self.memory_mb.saturating_mul(n),
            accelerators: self.accelerators.saturating_mul(n),
        }
    }

    /// This size divided by `n` and rounded down. Panics when `n` is 0.
    #[must_use]
    pub fn divided(&self, n: u64) -> Self {
        Self {
            millicores: self.millicores / n,
            memory_mb: self.memory_mb / n,
            accelerators: self.accelerators / n,
        }
    }

    /// How many times this size fits into `capacity`; `u64::MAX` for an empty size.
    pub fn count_in(&self, capacity: &Self) -> u64 {
        let per = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        per(capacity.millicores, self.millicores)
            .min(per(capacity.memory_mb, self.memory_mb))
            .min(per(capacity.accelerators, self.accelerators))
    }
}
