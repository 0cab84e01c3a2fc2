//! How full a shard's hosts are and what keeps them from taking a task, as figures for log lines.
//!
//! Hosts that are full, free processors in pieces too small for a task, and hosts kept for others look alike from a
//! task that waits. These figures together tell them apart.

use super::{
    place::{self, Host, Need, Unfit, reserved_by},
    pressure::Pressure,
};
use crate::core::size::Size;
use indexmap::IndexMap;
use std::fmt;

/// How full a shard's hosts are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// How many hosts there are.
    pub hosts: usize,
    /// What serving tasks reserve of the processors, in thousandths.
    pub serving_permille: u64,
    /// What other tasks reserve of them, in thousandths.
    pub reserving_permille: u64,
    /// What nobody reserves of them, in thousandths.
    pub free_permille: u64,
    /// What nobody is expected to use of them, in thousandths.
    pub unused_permille: u64,
    /// The most that is free on one host, in thousandths of a core.
    pub widest_free_millicores: u64,
    /// Hosts that are kept free for a waiting task.
    pub kept: usize,
}

impl Room {
    /// The room of these hosts.
    pub fn of(hosts: &[Host]) -> Self {
        let capacity: u64 = hosts.iter().map(|host| host.capacity.millicores).sum();
        let permille = |of: fn(&Host) -> u64| {
            let sum: u64 = hosts.iter().map(of).sum();
            sum * 1_000 / capacity.max(1)
        };
        let free: fn(&Host) -> u64 = |host| host.free().millicores;
        Self {
            hosts: hosts.len(),
            serving_permille: permille(|host| host.serving_millicores()),
            reserving_permille: permille(|host| {
                let reserved = host.reserved.millicores;
                reserved.saturating_sub(host.serving_millicores())
            }),
            free_permille: permille(free),
            unused_permille: permille(|host| host.unused_millicores()),
            widest_free_millicores: hosts.iter().map(free).max().unwrap_or_default(),
            kept: hosts.iter().filter(|host| host.kept.is_some()).count(),
        }
    }
}

/// What keeps the hosts of its pool from taking a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// What the task takes.
    pub size: Size,
    /// How many such tasks the free room would hold if it were on one host.
    pub fitting_in_sum: u64,
    /// Hosts by what keeps them from taking it.
    pub refusals: IndexMap<Unfit, usize>,
}

impl Shortage {
    /// What keeps these hosts from taking the task; none where there is no host at all.
    pub fn of(need: &Need, hosts: &[Host], pressure: &Pressure) -> Option<Self> {
        let wanted = reserved_by(&need.size, need.load);
        let mut refusals: IndexMap<Unfit, usize> = IndexMap::new();
        let mut free_millicores = 0;
        for host in hosts.iter().filter(|host| host.pool == need.pool) {
            free_millicores += host.free().millicores;
            if let Some(why) = place::unfit(need, host, pressure) {
                *refusals.entry(why).or_default() += 1;
            }
        }
        refusals.sort_by(|_, a, _, b| b.cmp(a));
        let shortage = Self {
            size: need.size,
            fitting_in_sum: free_millicores
                .checked_div(wanted.millicores)
                .unwrap_or_default(),
            refusals,
        };
        shortage.main().map(|_| shortage)
    }

    /// The same where all hosts' free room is left to short tasks.
    pub fn left_to_short(need: &Need, hosts: &[Host]) -> Self {
        let in_pool = hosts.iter().filter(|host| host.pool == need.pool);
        Self {
            size: need.size,
            fitting_in_sum: 0,
            refusals: IndexMap::from([(Unfit::LeftToShort, in_pool.count())]),
        }
    }

    /// What keeps most of the hosts from taking it.
    pub fn main(&self) -> Option<Unfit> {
        self.refusals.first().map(|(why, _)| *why)
    }

    /// Hosts by what keeps them from taking it, as `Processors:60 Memory:6`.
    pub fn refusals_text(&self) -> impl fmt::Display {
        fmt::from_fn(|f| {
            for (at, (why, hosts)) in self.refusals.iter().enumerate() {
                let space = if at == 0 { "" } else { " " };
                write!(f, "{space}{why:?}:{hosts}")?;
            }
            Ok(())
        })
    }
}
