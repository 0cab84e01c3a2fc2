//! The simulated store: rows with one version counter, objects, and scripted faults for each daemon.

use super::{
    CALL_TIMEOUT, CallFate, CommitKind, FeedBehaviour, MAX_QUEUE_TIME, MAX_ROW_BYTES,
    MAX_TXN_BYTES, ObjectCall, Process, Rows, SLOW_STORE_LATENCY, SLOW_TXN_TIMEOUT, STORE_LATENCY,
    StoreBehaviour, World, no_answer, refused, too_many_reads,
};
use futures::{FutureExt, future::LocalBoxFuture};
use lapisdrum::sched::{
    edge::{CallError, Changes, Row, RowKey, Store, Txn, TxnOutcome},
    lease::OWNERS_TABLE,
};
use std::{collections::VecDeque, rc::Rc};
use tokio::time::{Instant, sleep};

/// Client of the store for one daemon.
pub(super) struct StoreHandle {
    pub(super) world: Rc<World>,
    pub(super) process: Rc<Process>,
    pub(super) daemon: String,
}

impl StoreHandle {
    fn behaviour(&self) -> StoreBehaviour {
        self.world.store_behaviour(&self.daemon)
    }

    /// Takes the scripted fate of a commit, if there is one.
    fn scripted_fate(&self, txn: &Txn) -> Option<CallFate> {
        let mut scripted = self.world.commit_fates.borrow_mut();
        let (_, fates) = scripted.iter_mut().find(|(kind, _)| kind.matches(txn))?;
        fates.pop_front()
    }

    async fn commit_as(&self, fate: CallFate, txn: &Txn) -> TxnOutcome {
        let outcome = match fate {
            CallFate::Answered | CallFate::Repeated(_) | CallFate::AnswerLost => {
                self.world.rows.borrow_mut().commit(txn)
            }
            CallFate::Lost | CallFate::Late(_) => TxnOutcome::Unknown(no_answer()),
            CallFate::Refused => TxnOutcome::NotDone(CallError::new("the store is full")),
        };
        if let CallFate::Late(after) | CallFate::Repeated(after) = fate {
            let (world, txn) = (Rc::clone(&self.world), txn.clone());
            actix_rt::spawn(async move {
                sleep(after).await;
                world.rows.borrow_mut().commit(&txn);
            });
        }
        match fate {
            CallFate::Answered | CallFate::Repeated(_) | CallFate::Refused => outcome,
            CallFate::AnswerLost | CallFate::Lost | CallFate::Late(_) => {
                sleep(CALL_TIMEOUT).await;
                TxnOutcome::Unknown(no_answer())
            }
        }
    }

    /// Stores an object, or deletes it if there is no body.
    async fn change_object(
        &self,
        call: ObjectCall,
        name: &str,
        body: Option<bytes::Bytes>,
    ) -> Result<(), CallError> {
        self.reach().await?;
        let scripted = self
            .world
            .object_fates
            .borrow_mut()
            .get_mut(&call)
            .and_then(VecDeque::pop_front);
        let fate = scripted.unwrap_or(CallFate::Answered);
        if matches!(
            fate,
            CallFate::Answered | CallFate::Repeated(_) | CallFate::AnswerLost
        ) {
            self.world.rows.borrow_mut().set_object(name, body.clone());
        }
        if let CallFate::Late(after) | CallFate::Repeated(after) = fate {
            let (world, name) = (Rc::clone(&self.world), name.to_owned());
            actix_rt::spawn(async move {
                sleep(after).await;
                world.rows.borrow_mut().set_object(&name, body);
            });
        }
        match fate {
            CallFate::Answered | CallFate::Repeated(_) => Ok(()),
            CallFate::Refused => Err(CallError::new("the store is full")),
            CallFate::AnswerLost | CallFate::Lost | CallFate::Late(_) => {
                sleep(CALL_TIMEOUT).await;
                Err(no_answer())
            }
        }
    }

    /// Waits for the latency of a call other than a commit, or its timeout; an error if the store does not execute it.
    async fn reach(&self) -> Result<(), CallError> {
        if !self.is_available().await {
            return Err(no_answer());
        }
        match self.behaviour() {
            StoreBehaviour::Refuses => return Err(refused()),
            StoreBehaviour::Slow => sleep(SLOW_STORE_LATENCY).await,
            _ => {}
        }
        Ok(())
    }

    async fn is_available(&self) -> bool {
        sleep(STORE_LATENCY).await;
        let is_unavailable = self.behaviour() == StoreBehaviour::Unavailable;
        if is_unavailable {
            sleep(CALL_TIMEOUT).await;
        }
        !is_unavailable
    }

    /// Commits on a slow store: transactions of a partition are executed one after another, and one that would wait too
    /// long is refused. After its timeout the caller gets no answer, although the transaction still takes effect.
    async fn commit_slowly(&self, txn: &Txn) -> TxnOutcome {
        let (work, answer) = self.world.slow_txn.get();
        let now = Instant::now();
        let starts_at = self.world.rows.borrow().partition_free_at(txn).max(now);
        if starts_at - now > MAX_QUEUE_TIME {
            sleep(work).await;
            return TxnOutcome::NotDone(CallError::new("too many wait"));
        }
        let done_at = starts_at + work;
        self.world.rows.borrow_mut().occupy_partition(txn, done_at);
        if done_at + answer - now <= SLOW_TXN_TIMEOUT {
            tokio::time::sleep_until(done_at).await;
            let outcome = self.world.rows.borrow_mut().commit(txn);
            sleep(answer).await;
            return outcome;
        }
        let (world, txn) = (Rc::clone(&self.world), txn.clone());
        actix_rt::spawn(async move {
            tokio::time::sleep_until(done_at).await;
            world.rows.borrow_mut().commit(&txn);
        });
        sleep(SLOW_TXN_TIMEOUT).await;
        TxnOutcome::Unknown(no_answer())
    }
}

impl CommitKind {
    fn matches(self, txn: &Txn) -> bool {
        match self {
            Self::Puts(table) => txn.put.iter().any(|(row, _)| row.table == table),
            Self::Deletes(table) => txn.delete.iter().any(|row| row.table == table),
        }
    }
}

impl Store for StoreHandle {
    fn commit<'a>(&'a self, txn: &'a Txn) -> LocalBoxFuture<'a, TxnOutcome> {
        self.process
            .call(async move {
                if !self.is_available().await {
                    return TxnOutcome::Unknown(no_answer());
                }
                if self.behaviour() == StoreBehaviour::Refuses {
                    return TxnOutcome::NotDone(refused());
                }
                if let Some(fate) = self.scripted_fate(txn) {
                    return self.commit_as(fate, txn).await;
                }
                if self.behaviour() == StoreBehaviour::Slow {
                    return self.commit_slowly(txn).await;
                }
                let outcome = self.world.rows.borrow_mut().commit(txn);
                if self.behaviour() == StoreBehaviour::LosesAnswers {
                    sleep(CALL_TIMEOUT).await;
                    return TxnOutcome::Unknown(no_answer());
                }
                outcome
            })
            .boxed_local()
    }

    fn rows<'a>(
        &'a self,
        table: &'a str,
        partition: &'a str,
        from: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>, CallError>> {
        self.process
            .call(async move {
                self.reach().await?;
                if table == OWNERS_TABLE {
                    let reads = &self.world.lease_reads;
                    reads.set(reads.get() + 1);
                }
                if self.behaviour() == StoreBehaviour::RefusesReads {
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
            })
            .boxed_local()
    }

    fn changes<'a>(
        &'a self,
        table: &'a str,
        after: u64,
    ) -> LocalBoxFuture<'a, Result<Changes, CallError>> {
        self.process
            .call(async move {
                self.reach().await?;
                let reads = &self.world.feed_reads;
                reads.set(reads.get() + 1);
                let rows = self.world.rows.borrow();
                let newest = match self.world.feed.get() {
                    FeedBehaviour::Current => rows.version,
                    FeedBehaviour::BehindAfter(version) => version.max(after),
                    FeedBehaviour::Dropped => {
                        return Err(CallError::new("the history is dropped"));
                    }
                };
                let of_table = rows.rows.iter().filter(|((t, ..), _)| t == table);
                let changed = of_table
                    .filter(|(_, (_, version))| *version > after && *version <= newest)
                    .map(|((t, p, k), (value, version))| {
                        let row = Row {
                            table: t.clone(),
                            key: k.clone(),
                            value: value.clone(),
                            version: *version,
                        };
                        (p.clone(), row)
                    });
                let mut changed: Vec<(String, Row)> = changed.collect();
                changed.sort_by_key(|(_, row)| row.version);
                Ok(Changes {
                    rows: changed,
                    newest,
                })
            })
            .boxed_local()
    }

    fn put_object<'a>(
        &'a self,
        name: &'a str,
        body: bytes::Bytes,
    ) -> LocalBoxFuture<'a, Result<(), CallError>> {
        self.process
            .call(self.change_object(ObjectCall::Put, name, Some(body)))
            .boxed_local()
    }

    fn list_objects<'a>(
        &'a self,
        prefix: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<String>, CallError>> {
        self.process
            .call(async move {
                self.reach().await?;
                Ok(self.world.objects(prefix))
            })
            .boxed_local()
    }

    fn get_object<'a>(
        &'a self,
        name: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<bytes::Bytes>, CallError>> {
        self.process
            .call(async move {
                self.reach().await?;
                Ok(self.world.rows.borrow().objects.get(name).cloned())
            })
            .boxed_local()
    }

    fn delete_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<(), CallError>> {
        self.process
            .call(self.change_object(ObjectCall::Delete, name, None))
            .boxed_local()
    }
}

fn key(row: &RowKey) -> (String, String, String) {
    (row.table.to_owned(), row.partition.clone(), row.key.clone())
}

fn partition_of(txn: &Txn) -> &str {
    txn.expect.first().map_or("", |(row, _)| &row.partition)
}

impl Rows {
    /// When the queued transactions of the partition have been executed.
    fn partition_free_at(&self, txn: &Txn) -> Instant {
        let busy_until = self.busy_until.get(partition_of(txn));
        busy_until.copied().unwrap_or_else(Instant::now)
    }

    fn occupy_partition(&mut self, txn: &Txn, done_at: Instant) {
        self.busy_until
            .insert(partition_of(txn).to_owned(), done_at);
    }

    fn set_object(&mut self, name: &str, body: Option<bytes::Bytes>) {
        match body {
            Some(body) => self.objects.insert(name.to_owned(), body),
            None => self.objects.swap_remove(name),
        };
    }

    pub(super) fn commit(&mut self, txn: &Txn) -> TxnOutcome {
        let holds = txn
            .expect
            .iter()
            .all(|(row, version)| self.rows.get(&key(row)).map_or(0, |(_, v)| *v) == *version);
        if txn.put.iter().any(|(_, value)| value.len() > MAX_ROW_BYTES) {
            return TxnOutcome::NotDone(CallError::new("a value is too long"));
        }
        let bytes: usize = txn.put.iter().map(|(_, value)| value.len()).sum();
        if bytes > MAX_TXN_BYTES {
            return TxnOutcome::NotDone(CallError::new("the transaction is too long"));
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
