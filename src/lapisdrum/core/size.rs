//! What a task or request takes of a host, and what a host has.

data! {
    /// Processors, memory and accelerators, taken or offered.
    #[derive(Copy, Default, Hash)]
    pub struct Size {
        /// Processors, in thousandths of a core.
        pub millicores: u64,
        /// Memory, in megabytes.
        pub memory_mb: u64,
        /// Whole accelerators.
        pub accelerators: u64,
    }
}

impl Size {
    /// Nothing at all.
    pub const ZERO: Self = Self {
        millicores: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Whether this size fits into `room` in every dimension.
    pub fn fits(&self, room: &Self) -> bool {
        self.millicores <= room.millicores
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// The sum of both sizes.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores + other.millicores,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// What is left of this size without `other`; a dimension that would fall below zero is zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// This size `n` times.
    #[must_use]
    pub fn times(&self, n: u64) -> Self {
        Self {
            millicores: self.millicores * n,
            memory_mb: self.memory_mb * n,
            accelerators: self.accelerators * n,
        }
    }

    /// This size divided by `n`, rounded down.
    #[must_use]
    pub fn divided(&self, n: u64) -> Self {
        Self {
            millicores: self.millicores / n,
            memory_mb: self.memory_mb / n,
            accelerators: self.accelerators / n,
        }
    }

    /// How many times this size fits into `room`; `u64::MAX` for an empty size.
    pub fn count_in(&self, room: &Self) -> u64 {
        let per = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        per(room.millicores, self.millicores)
            .min(per(room.memory_mb, self.memory_mb))
            .min(per(room.accelerators, self.accelerators))
    }
}
