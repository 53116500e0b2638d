//! The platform's transactional table service.

use std::fmt::Debug;

use async_trait::async_trait;

use crate::Result;

/// Version of a row that does not exist.
pub const ABSENT: u64 = 0;

/// One row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Version; rises with each write of the key.
    pub version: u64,
    /// Id of the transaction that wrote it.
    pub writer: String,
    /// Value.
    pub value: String,
}

/// Writes that take effect together if all conditions hold.
#[derive(Clone, Debug)]
pub struct Transaction {
    id: String,
    conditions: Vec<(String, u64)>,
    writes: Vec<(String, Option<String>)>,
}

impl Transaction {
    /// Starts an empty transaction; `id` marks the rows that it writes.
    pub fn new(id: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            conditions: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Requires that `key` has `version`; [`ABSENT`] requires that it does not exist.
    #[must_use]
    pub fn require(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push((key.into(), version));
        self
    }

    /// Writes `value` to `key`.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.writes.push((key.into(), Some(value.into())));
        self
    }

    /// Removes `key`.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push((key.into(), None));
        self
    }

    /// Id that marks the written rows.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Required versions by key.
    #[must_use]
    pub fn conditions(&self) -> &[(String, u64)] {
        &self.conditions
    }

    /// New values by key; `None` removes the row.
    #[must_use]
    pub fn writes(&self) -> &[(String, Option<String>)] {
        &self.writes
    }

    /// First key that is written with a value, which shows whether the
    /// transaction took effect.
    #[must_use]
    pub fn witness(&self) -> Option<&str> {
        self.writes
            .iter()
            .find(|(_, value)| value.is_some())
            .map(|(key, _)| key.as_str())
    }
}

/// Outcome of a transaction that was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The writes took effect; the written rows have this version.
    Committed(u64),
    /// A condition did not hold for this key; nothing was written.
    Conflict(String),
}

/// The table service.
#[async_trait]
pub trait Table: Debug + Send + Sync {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer in time.
    async fn get(&self, key: &str) -> Result<Option<Row>>;

    /// Reads all rows whose key begins with `prefix`, in order of their keys.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer in time.
    async fn scan(&self, prefix: &str) -> Result<Vec<Row>>;

    /// Tries one transaction once.
    ///
    /// # Errors
    ///
    /// After an `Unknown` failure the writes may have taken effect, or may do so
    /// later; [`commit::resolve`](crate::commit::resolve) finds out.
    async fn commit(&self, transaction: &Transaction) -> Result<Outcome>;
}
