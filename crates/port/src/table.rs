//! The platform's transactional table service.

use std::fmt::Debug;

use async_trait::async_trait;

use crate::Result;

/// Version of a row that does not exist.
pub const ABSENT: u64 = 0;

/// A row of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version; increases with each write of the key.
    pub version: u64,
    /// Id of the transaction that wrote the row.
    pub writer: String,
    /// Value without the writer's id.
    pub value: String,
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Clone, Debug)]
pub struct Transaction {
    id: String,
    conditions: Vec<(String, u64)>,
    writes: Vec<(String, Option<String>)>,
}

impl Transaction {
    /// Makes an empty transaction; `id` is stored in the rows that it writes. Its line breaks are
    /// escaped, since one separates it from the value.
    pub fn new(id: impl AsRef<str>) -> Self {
        Self {
            id: id.as_ref().escape_default().to_string(),
            conditions: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Adds the condition that `key` has `version`; [`ABSENT`] means that it does
    /// not exist.
    #[must_use]
    pub fn require(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push((key.into(), version));
        self
    }

    /// Adds a write of `value` to `key`.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.writes.push((key.into(), Some(value.into())));
        self
    }

    /// Adds the removal of `key`.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push((key.into(), None));
        self
    }

    /// Returns the id that is stored in the written rows.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the required versions by key.
    #[must_use]
    pub fn conditions(&self) -> &[(String, u64)] {
        &self.conditions
    }

    /// Returns the new values by key; `None` removes the row.
    #[must_use]
    pub fn writes(&self) -> &[(String, Option<String>)] {
        &self.writes
    }

    /// Returns the first key that is written with a value; the writer id of its
    /// row shows whether the transaction was applied.
    #[must_use]
    pub fn marker_key(&self) -> Option<&str> {
        self.writes
            .iter()
            .find(|(_, value)| value.is_some())
            .map(|(key, _)| key.as_str())
    }
}

/// Known outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The writes were applied; the written rows have this version.
    Committed(u64),
    /// The condition on this key did not hold; nothing was written.
    Conflict(String),
}

/// A transactional table of versioned rows.
#[async_trait]
pub trait Table: Debug + Send + Sync {
    /// Reads the row under `key`; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond in time.
    async fn get(&self, key: &str) -> Result<Option<Row>>;

    /// Reads all rows whose key starts with `prefix`, in order of their keys.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond in time.
    async fn scan(&self, prefix: &str) -> Result<Vec<Row>>;

    /// Attempts `transaction` once.
    ///
    /// # Errors
    ///
    /// After an `Unknown` error the writes may have been applied, or may be applied
    /// later. [`commit::resolve`](crate::commit::resolve) retries until the outcome
    /// is known.
    async fn commit(&self, transaction: &Transaction) -> Result<Outcome>;

    /// Number of the table's history, as of its newest answer. It rises when the table
    /// comes back from a copy and has lost writes; 0 for a table that loses none.
    fn history(&self) -> u64 {
        0
    }
}
