//! An in-memory transactional table.

use indexmap::IndexMap;
use lapisdrum::store::wire::{Row, Txn, TxnConflict, TxnDone};
use serde_json::Value;

#[derive(Clone, Debug, PartialEq, Eq)]
struct VersionedValue {
    value: Value,
    version: u64,
}

/// Rows by key. Versions increase across the whole table and are never reused.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: IndexMap<String, VersionedValue>,
    last_version: u64,
    /// Committed transactions.
    pub writes: u64,
    /// Calls of [`Table::get`] and [`Table::list`].
    pub reads: u64,
}

impl Table {
    /// Commits a transaction, or returns the first key whose version differs from the expected one.
    pub fn txn(&mut self, txn: &Txn) -> Result<TxnDone, TxnConflict> {
        for compare in &txn.compare {
            let version = self.version(&compare.key);
            if version != compare.version {
                return Err(TxnConflict {
                    key: compare.key.clone(),
                    version,
                });
            }
        }
        self.writes += 1;
        for key in &txn.delete {
            self.rows.swap_remove(key);
        }
        let versions = txn
            .put
            .iter()
            .map(|put| self.put(&put.key, put.value.clone()))
            .collect();
        Ok(TxnDone { versions })
    }

    /// Reads a row and counts the read.
    pub fn get(&mut self, key: &str) -> Option<Row> {
        self.reads += 1;
        self.rows.get(key).map(|stored| row(key, stored))
    }

    /// Reads the rows whose keys start with `prefix`, in key order.
    pub fn list(&mut self, prefix: &str) -> Vec<Row> {
        self.reads += 1;
        let found = self.rows.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut rows: Vec<Row> = found.map(|(key, stored)| row(key, stored)).collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        rows
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |stored| stored.version)
    }

    fn put(&mut self, key: &str, value: Value) -> u64 {
        self.last_version += 1;
        self.rows.insert(
            key.to_owned(),
            VersionedValue {
                value,
                version: self.last_version,
            },
        );
        self.last_version
    }
}

fn row(key: &str, stored: &VersionedValue) -> Row {
    Row {
        key: key.to_owned(),
        value: stored.value.clone(),
        version: stored.version,
    }
}
