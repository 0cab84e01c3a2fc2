//! The simulated store: rows with one version counter, objects, and scripted faults for each daemon.

use super::{
    CALLER_PATIENCE, LONGEST_QUEUE, ROW_BYTES, Rows, SILENCE, SLOW_STORE_CALL, STORE_CALL,
    StoreMood, World, silence, too_many_reads,
};
use futures::{FutureExt, future::LocalBoxFuture};
use lapisdrum::sched::{
    edge::{CallError, Row, RowKey, Store, Txn, TxnOutcome},
    lease::OWNERS_TABLE,
};
use std::rc::Rc;
use tokio::time::{Instant, sleep};

/// Client of the store for one daemon.
pub(super) struct StoreHandle {
    pub(super) world: Rc<World>,
    pub(super) daemon: String,
}

impl StoreHandle {
    fn mood(&self) -> StoreMood {
        self.world.mood_of(&self.daemon)
    }

    /// Waits for the latency of a call other than a commit, or its timeout; returns whether the store is available.
    async fn reach(&self) -> bool {
        let is_there = self.is_there().await;
        if is_there && self.mood() == StoreMood::Slow {
            sleep(SLOW_STORE_CALL).await;
        }
        is_there
    }

    async fn is_there(&self) -> bool {
        sleep(STORE_CALL).await;
        let is_away = self.mood() == StoreMood::Away;
        if is_away {
            sleep(SILENCE).await;
        }
        !is_away
    }

    /// Commits on a slow store: transactions of a partition are executed one after another, and one that would wait too
    /// long is refused. After its timeout the caller gets no answer, although the transaction still takes effect.
    async fn commit_slowly(&self, txn: &Txn) -> TxnOutcome {
        let (work, answer) = self.world.slow_txn.get();
        let now = Instant::now();
        let turn = self.world.rows.borrow().turn_of(txn).max(now);
        if turn - now > LONGEST_QUEUE {
            sleep(work).await;
            return TxnOutcome::NotDone(CallError::new("too many wait"));
        }
        let done_at = turn + work;
        self.world.rows.borrow_mut().take_turn(txn, done_at);
        if done_at + answer - now <= CALLER_PATIENCE {
            tokio::time::sleep_until(done_at).await;
            let end = self.world.rows.borrow_mut().commit(txn);
            sleep(answer).await;
            return end;
        }
        let (world, late) = (Rc::clone(&self.world), txn.clone());
        actix_rt::spawn(async move {
            tokio::time::sleep_until(done_at).await;
            world.rows.borrow_mut().commit(&late);
        });
        sleep(CALLER_PATIENCE).await;
        TxnOutcome::Unknown(silence())
    }
}

impl Store for StoreHandle {
    fn commit<'a>(&'a self, txn: &'a Txn) -> LocalBoxFuture<'a, TxnOutcome> {
        async move {
            if !self.is_there().await {
                return TxnOutcome::Unknown(silence());
            }
            if self.mood() == StoreMood::Slow {
                return self.commit_slowly(txn).await;
            }
            let end = self.world.rows.borrow_mut().commit(txn);
            if self.mood() == StoreMood::LosesAnswers {
                sleep(SILENCE).await;
                return TxnOutcome::Unknown(silence());
            }
            end
        }
        .boxed_local()
    }

    fn rows<'a>(
        &'a self,
        table: &'a str,
        partition: &'a str,
        from: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>, CallError>> {
        async move {
            if !self.reach().await {
                return Err(silence());
            }
            if table == OWNERS_TABLE {
                let reads = &self.world.lease_reads;
                reads.set(reads.get() + 1);
            }
            if self.mood() == StoreMood::RefusesReads {
                return Err(too_many_reads());
            }
            let rows = self.world.rows.borrow();
            let mut found: Vec<Row> = rows
                .rows
                .iter()
                .filter(|((t, p, k), _)| t == table && p == partition && k.as_str() >= from)
                .map(|((t, _, k), (value, version))| Row {
                    table: t.clone(),
                    key: k.clone(),
                    value: value.clone(),
                    version: *version,
                })
                .collect();
            found.sort_by(|a, b| a.key.cmp(&b.key));
            Ok(found)
        }
        .boxed_local()
    }

    fn put_object<'a>(
        &'a self,
        name: &'a str,
        body: bytes::Bytes,
    ) -> LocalBoxFuture<'a, Result<(), CallError>> {
        async move {
            if !self.reach().await {
                return Err(silence());
            }
            let mut rows = self.world.rows.borrow_mut();
            rows.objects.insert(name.to_owned(), body);
            Ok(())
        }
        .boxed_local()
    }

    fn get_object<'a>(
        &'a self,
        name: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<bytes::Bytes>, CallError>> {
        async move {
            if !self.reach().await {
                return Err(silence());
            }
            Ok(self.world.rows.borrow().objects.get(name).cloned())
        }
        .boxed_local()
    }

    fn delete_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<(), CallError>> {
        async move {
            if !self.reach().await {
                return Err(silence());
            }
            self.world.rows.borrow_mut().objects.swap_remove(name);
            Ok(())
        }
        .boxed_local()
    }
}

fn key(row: &RowKey) -> (String, String, String) {
    (row.table.to_owned(), row.partition.clone(), row.key.clone())
}

fn part_of(txn: &Txn) -> &str {
    txn.expect.first().map_or("", |(row, _)| &row.partition)
}

impl Rows {
    /// When the queued transactions of the partition have been executed.
    fn turn_of(&self, txn: &Txn) -> Instant {
        let busy = self.busy_until.get(part_of(txn));
        busy.copied().unwrap_or_else(Instant::now)
    }

    fn take_turn(&mut self, txn: &Txn, done_at: Instant) {
        self.busy_until.insert(part_of(txn).to_owned(), done_at);
    }

    pub(super) fn commit(&mut self, txn: &Txn) -> TxnOutcome {
        let holds = txn
            .expect
            .iter()
            .all(|(row, version)| self.rows.get(&key(row)).map_or(0, |(_, v)| *v) == *version);
        if txn.put.iter().any(|(_, value)| value.len() > ROW_BYTES) {
            return TxnOutcome::NotDone(CallError::new("a value is too long"));
        }
        if !holds {
            let expected = txn.expect.iter();
            let found = expected.filter_map(|(row, _)| {
                let (value, version) = self.rows.get(&key(row))?.clone();
                Some(Row {
                    table: row.table.to_owned(),
                    key: row.key.clone(),
                    value,
                    version,
                })
            });
            return TxnOutcome::Conflict(found.collect());
        }
        self.version += 1;
        self.commits += 1;
        for (row, value) in &txn.put {
            let written = (value.clone(), self.version);
            self.rows.insert(key(row), written);
        }
        for row in &txn.delete {
            self.rows.swap_remove(&key(row));
        }
        TxnOutcome::Committed(self.version)
    }
}
