//! A copy of a shard's state up to a journal row, read from the store.
//!
//! Load pattern: a planned change of owners while the store is slow or turns calls away. The next
//! owner reads the snapshot and the rows before the change, and only the few rows after them once it
//! owns the shard.
//!
//! Rows never change and are written in order, so a copy that ends with a row stays valid. Rows are
//! deleted only once a snapshot covers them; a copy that is older than the snapshot is not advanced.

use super::{
    JOURNAL_TABLE, body_of, replay, row_key,
    snapshots::{read_pointer, read_snapshot},
};
use crate::sched::{
    Cx,
    edge::Row,
    event::{Event, RunId},
    ledger::Ledger,
};
use eyre::WrapErr as _;
use indexmap::IndexMap;
use std::collections::VecDeque;

/// State of a shard up to a journal row.
pub struct Standby {
    pub(super) ledger: Ledger,
    /// Number of the last row that it holds.
    pub last: u64,
    /// Number of the last row that the snapshot covers.
    pub(super) covered: u64,
    /// Numbers of covered rows that were not deleted, ascending.
    pub(super) left: VecDeque<u64>,
    /// Bytes of the rows that the snapshot does not cover.
    pub(super) bytes: u64,
    /// Rows of the runs that were placed after the snapshot.
    pub(super) placed_rows: IndexMap<RunId, u64>,
}

impl Standby {
    /// Reads the snapshot and the rows.
    pub async fn read(cx: &Cx, partition: &str) -> eyre::Result<Self> {
        // Concurrent, since nothing is started meanwhile: on a store that is 60 times slower, each
        // read takes a third of a second.
        let rows = cx.store.rows(JOURNAL_TABLE, partition, "");
        let (snapshot, rows) = futures::join!(read_snapshot(cx, partition), rows);
        let (ledger, covered) = snapshot?;
        let mut new = Self {
            ledger,
            last: covered,
            covered,
            left: VecDeque::new(),
            bytes: 0,
            placed_rows: IndexMap::new(),
        };
        new.add(&rows.wrap_err("failed to read the journal")?)?;
        Ok(new)
    }

    /// Adds the rows that were written since. Returns an error if another snapshot was stored, since
    /// rows that it covers may be deleted.
    pub async fn advanced(mut self, cx: &Cx, partition: &str) -> eyre::Result<Self> {
        let from = row_key(self.last + 1);
        let rows = cx.store.rows(JOURNAL_TABLE, partition, &from);
        let (pointer, rows) = futures::join!(read_pointer(cx, partition), rows);
        let covered = pointer?.map_or(0, |(pointer, _)| pointer.row);
        eyre::ensure!(covered == self.covered, "a snapshot was stored meanwhile");
        self.add(&rows.wrap_err("failed to read the journal")?)?;
        Ok(self)
    }

    fn add(&mut self, rows: &[Row]) -> eyre::Result<()> {
        let placed_rows = &mut self.placed_rows;
        let mut note = |row, event: &Event| {
            if let Event::Placed { run, .. } = event {
                placed_rows.insert(*run, row);
            }
        };
        let mut body = Vec::new();
        for row in rows {
            let number = row
                .key
                .parse()
                .wrap_err("a journal row key is not a number")?;
            // Rows that the snapshot covers may not be deleted yet.
            if number <= self.covered {
                self.left.push_back(number);
                continue;
            }
            let next = self.last + 1;
            eyre::ensure!(number == next, "journal row {next} is missing");
            self.last = number;
            self.bytes += row.value.len() as u64;
            let (continues, part) = body_of(row)?;
            if !continues {
                let body = std::mem::take(&mut body);
                replay(&mut self.ledger, &body, number - 1, &mut note)?;
            }
            body.extend_from_slice(part);
        }
        replay(&mut self.ledger, &body, self.last, &mut note)
    }
}
