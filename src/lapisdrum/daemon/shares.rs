//! This daemon's share of each entry's limits.

use super::Cx;
use crate::{
    core::catalogue::Entry,
    policy::admission::{self, Claim},
};

/// Whose limits a request of an entry counts against here, and how far.
pub fn of_daemon<'a>(cx: &Cx, entry: &'a Entry) -> Claim<'a> {
    let members = cx.members.borrow();
    let mut names: Vec<_> = members.daemons.keys().collect();
    names.sort();
    let index = names.iter().position(|name| **name == cx.me.daemon);
    let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    let share = admission::divide(
        &entry.limits,
        to_u32(names.len()),
        to_u32(index.unwrap_or_default()),
    );
    Claim {
        entry: &entry.name,
        owner: &entry.owner,
        share,
        quota: None,
    }
}
