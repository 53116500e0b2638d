//! An in-memory table service with fault injection.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use almondbank_port::table::{ABSENT, Outcome, Row, Table, Transaction};
use almondbank_port::{Error, Result};
use async_trait::async_trait;
use parking_lot::Mutex;

/// Fault that affects one commit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The commit takes effect, but its response is lost.
    ResponseLost,
    /// The request is lost, so the commit never takes effect.
    RequestLost,
    /// The commit times out and takes effect only when [`Store::apply_delayed`] is called.
    Delayed,
}

/// An in-memory table service; clones share its rows.
#[derive(Clone, Debug, Default)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    rows: BTreeMap<String, Row>,
    version: u64,
    down: bool,
    faults: VecDeque<Fault>,
    delayed: Vec<Transaction>,
    writes: u64,
    reads: u64,
}

impl Store {
    /// Sets whether every request times out.
    pub fn set_down(&self, down: bool) {
        self.inner.lock().down = down;
    }

    /// Returns whether every request times out.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.inner.lock().down
    }

    /// Queues faults for the next commits, one each, in order.
    pub fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        self.inner.lock().faults.extend(faults);
    }

    /// Applies the delayed commits in the order in which they were sent.
    pub fn apply_delayed(&self) {
        let mut inner = self.inner.lock();
        for transaction in std::mem::take(&mut inner.delayed) {
            inner.apply(&transaction);
        }
    }

    /// Number of commits attempted so far.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.inner.lock().writes
    }

    /// Number of reads and scans attempted so far.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.inner.lock().reads
    }

    /// Returns all rows whose key begins with `prefix`, also while the service is down.
    ///
    /// Does not count as a read.
    #[must_use]
    pub fn peek(&self, prefix: &str) -> Vec<Row> {
        self.inner.lock().scan(prefix)
    }
}

impl Inner {
    fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect()
    }

    fn apply(&mut self, transaction: &Transaction) -> Outcome {
        for (key, version) in transaction.conditions() {
            let found = self.rows.get(key).map_or(ABSENT, |row| row.version);
            if found != *version {
                return Outcome::Conflict(key.clone());
            }
        }
        self.version += 1;
        for (key, value) in transaction.writes() {
            let Some(value) = value else {
                self.rows.remove(key);
                continue;
            };
            let row = Row {
                key: key.clone(),
                version: self.version,
                writer: transaction.id().to_owned(),
                value: value.clone(),
            };
            self.rows.insert(key.clone(), row);
        }
        Outcome::Committed(self.version)
    }

    fn ensure_up(&self) -> Result<()> {
        if self.down {
            return Err(Error::timeout());
        }
        Ok(())
    }
}

#[async_trait]
impl Table for Store {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let mut inner = self.inner.lock();
        inner.reads += 1;
        inner.ensure_up()?;
        Ok(inner.rows.get(key).cloned())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        let mut inner = self.inner.lock();
        inner.reads += 1;
        inner.ensure_up()?;
        Ok(inner.scan(prefix))
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Outcome> {
        let mut inner = self.inner.lock();
        inner.writes += 1;
        inner.ensure_up()?;
        match inner.faults.pop_front().unwrap_or_default() {
            Fault::None => Ok(inner.apply(transaction)),
            Fault::ResponseLost => {
                inner.apply(transaction);
                Err(Error::timeout())
            }
            Fault::RequestLost => Err(Error::timeout()),
            Fault::Delayed => {
                inner.delayed.push(transaction.clone());
                Err(Error::timeout())
            }
        }
    }
}
