//! Random ledger events, most of which are valid for the state that they are generated for.

use lapisdrum::{
    core::{
        id::{EntryName, Epoch, JobId, RequestId, ShardId, WorkerId},
        job::{Attempt, Checkpoint, JobEnd, Placement},
        size::Size,
    },
    state::{
        ledger::{ClaimEnd, Event, Grant, State},
        ownership::Holder,
    },
};
use proptest::prelude::*;
use std::time::Duration;

/// Random numbers from which an event is made once the state is known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seed {
    pub(crate) kind: u8,
    pub(crate) subject: u8,
    pub(crate) place: u8,
    pub(crate) amount: u8,
}

pub(crate) fn seed() -> impl Strategy<Value = Seed> {
    (0..16_u8, 0..4_u8, 0..3_u8, 0..4_u8).prop_map(|(kind, subject, place, amount)| Seed {
        kind,
        subject,
        place,
        amount,
    })
}

fn named<T: TryFrom<String>>(text: String) -> T {
    T::try_from(text).unwrap_or_else(|_| unreachable!("a valid name"))
}

pub(crate) fn job(n: u8) -> JobId {
    named(format!("a.0-{n}"))
}

pub(crate) fn worker(n: u8) -> WorkerId {
    named(format!("w{n}"))
}

pub(crate) fn shard(n: u8) -> ShardId {
    named(format!("a.{n}"))
}

pub(crate) fn holder(n: u8) -> Holder {
    Holder {
        daemon: named(format!("d{n}")),
        incarnation: Default::default(),
        address: format!("127.0.0.1:{n}"),
    }
}

pub(crate) fn size(n: u8) -> Size {
    Size {
        millicores: 100 * u64::from(n),
        memory_mb: 10 * u64::from(n),
        accelerators: u64::from(n / 3),
    }
}

pub(crate) fn accepted(n: u8, amount: u8) -> Event {
    Event::Accepted {
        job: job(n),
        entry: entry(),
        size: size(amount + 1),
        hold: Duration::from_secs(5),
    }
}

fn entry() -> EntryName {
    named("render".to_owned())
}

/// Makes an event for a state; about one in four is invalid.
pub(crate) fn event(state: &State, seed: Seed) -> Event {
    let id = job(seed.subject);
    let known = state.jobs.get(&id);
    let attempts = known.map_or(0, |job| job.attempts.0);
    let attempt = Attempt(attempts + u32::from(seed.amount == 0));
    let request: RequestId = named(format!("r{}", seed.subject));
    let epoch = Epoch(state.epoch.0.max(1));
    match seed.kind {
        0 | 1 => accepted(seed.subject, seed.amount),
        2..=4 => Event::Placed {
            job: id,
            placement: Placement {
                worker: worker(seed.place),
                epoch,
                attempt: Attempt(attempts + 1 + u32::from(seed.amount == 0)),
            },
        },
        5 => Event::Checkpointed {
            job: id,
            attempt,
            checkpoint: Checkpoint {
                name: format!("c{}", seed.amount),
                progress_permille: u32::from(seed.amount) * 100,
            },
        },
        6 => Event::Evicted { job: id, attempt },
        7 => Event::AttemptFailed { job: id, attempt },
        8 => Event::CancelAsked { job: id },
        9 => Event::Ended {
            job: id,
            end: JobEnd::Done,
        },
        10 => Event::Forgotten { job: id },
        11 => Event::Claimed {
            request,
            entry: entry(),
            by: holder(seed.place),
        },
        12 => match seed.amount {
            0 => Event::ClaimForgotten { request },
            _ => Event::ClaimEnded {
                request,
                end: ClaimEnd::Unknown,
            },
        },
        13 => Event::Granted {
            to: holder(seed.subject),
            worker: worker(seed.place),
            grant: Grant {
                slots: seed.amount.into(),
                size: size(seed.amount),
            },
        },
        14 => match seed.amount {
            0 => Event::GrantsVoided {
                of: holder(seed.subject),
            },
            1 => Event::OwnerEnded { epoch },
            _ => Event::OwnerBegan {
                epoch: Epoch(state.epoch.0 + u64::from(seed.amount)),
                holder: holder(seed.place),
            },
        },
        _ => match known {
            Some(known) if seed.amount == 0 => Event::MovedIn {
                id,
                job: known.clone(),
            },
            _ => Event::MovedOut {
                job: id,
                to: shard(1),
            },
        },
    }
}
