//! Summarises the free capacity of a shard's hosts, and why they refuse a task, for log lines.
//!
//! A waiting task looks the same whether hosts are full, free processors are too fragmented for it,
//! or hosts are kept for other tasks. These values distinguish the causes.

use super::{
    interference::InterferenceModel,
    place::{self, Host, Need, Unfit, reserved_by},
};
use crate::core::size::Size;
use indexmap::IndexMap;
use std::fmt;

/// Capacity use of a shard's hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Number of hosts.
    pub hosts: usize,
    /// Processors reserved by serving tasks, in thousandths of the capacity.
    pub serving_permille: u64,
    /// Processors reserved by other tasks, in thousandths of the capacity.
    pub reserving_permille: u64,
    /// Unreserved processors, in thousandths of the capacity.
    pub free_permille: u64,
    /// Processors expected to be idle, reserved or not, in thousandths of the capacity.
    pub unused_permille: u64,
    /// Most unreserved processors on any one host, in thousandths of a core.
    pub widest_free_millicores: u64,
    /// Free memory of the host with the most unreserved processors, in MB.
    pub widest_free_memory_mb: u64,
    /// Number of hosts that are kept free for a waiting task.
    pub kept: usize,
}

impl Room {
    /// Summarises these hosts.
    pub fn of(hosts: &[Host]) -> Self {
        let capacity: u64 = hosts.iter().map(|host| host.capacity.millicores).sum();
        let permille = |of: fn(&Host) -> u64| {
            let sum: u64 = hosts.iter().map(of).sum();
            sum * 1_000 / capacity.max(1)
        };
        let free: fn(&Host) -> u64 = |host| host.free().millicores;
        let widest = hosts.iter().map(Host::free);
        let widest = widest.max_by_key(|free| (free.millicores, free.memory_mb));
        let widest = widest.unwrap_or(Size::ZERO);
        Self {
            hosts: hosts.len(),
            serving_permille: permille(|host| host.serving_millicores()),
            reserving_permille: permille(|host| {
                let reserved = host.reserved.millicores;
                reserved.saturating_sub(host.serving_millicores())
            }),
            free_permille: permille(free),
            unused_permille: permille(|host| host.unused_millicores()),
            widest_free_millicores: widest.millicores,
            widest_free_memory_mb: widest.memory_mb,
            kept: hosts.iter().filter(|host| host.kept.is_some()).count(),
        }
    }
}

/// Why hosts of its pool refuse a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Resources that the task asks for.
    pub size: Size,
    /// Number of such tasks that would fit into the pool's free processors if these were on one
    /// host.
    pub fitting_in_sum: u64,
    /// Number of hosts per reason for refusal, most frequent reason first.
    pub refusals: IndexMap<Unfit, usize>,
}

impl Shortage {
    /// Returns why these hosts refuse the task; `None` if no host of its pool does.
    pub fn of(need: &Need, hosts: &[Host], model: &InterferenceModel) -> Option<Self> {
        let wanted = reserved_by(&need.size, need.load);
        let mut refusals: IndexMap<Unfit, usize> = IndexMap::new();
        let mut free_millicores = 0;
        for host in hosts.iter().filter(|host| host.pool == need.pool) {
            free_millicores += host.free().millicores;
            if let Some(why) = place::unfit(need, host, model) {
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
        shortage.main_reason().map(|_| shortage)
    }

    /// Returns the shortage of a task for which the pool's free capacity is reserved as headroom
    /// for short tasks.
    pub fn left_to_short(need: &Need, hosts: &[Host]) -> Self {
        let in_pool = hosts.iter().filter(|host| host.pool == need.pool);
        Self {
            size: need.size,
            fitting_in_sum: 0,
            refusals: IndexMap::from([(Unfit::LeftToShort, in_pool.count())]),
        }
    }

    /// Returns the most frequent reason for refusal.
    pub fn main_reason(&self) -> Option<Unfit> {
        self.refusals.first().map(|(why, _)| *why)
    }

    /// Formats the number of hosts per reason, such as `Processors:60 Memory:6`.
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
