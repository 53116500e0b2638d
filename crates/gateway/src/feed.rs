//! What the platform tells about environments and runners.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use async_trait::async_trait;

use crate::environment::Environment;
use crate::{Result, id};

/// An environment with the text that it was read from.
#[derive(Clone, Debug)]
pub struct Document {
    /// The environment.
    pub environment: Arc<Environment>,
    /// What the operators wrote.
    pub text: String,
}

/// A change of one registration.
#[derive(Clone, Debug)]
pub enum Change {
    /// The runner registered, or what it says of itself changed.
    Put(mesh::Registration),
    /// The runner's entry is gone or cannot be read, as of this revision.
    Removed(id::Runner, u64),
}

/// Changes up to a revision.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// Revision from which to go on.
    pub revision: u64,
    /// The changes in order.
    pub changes: Vec<T>,
}

/// The environment that the operators wrote last.
#[async_trait]
pub trait Documents: Debug + Send + Sync {
    /// Reads the newest edition.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or the edition is malformed.
    async fn read(&self) -> Result<Changes<Document>>;

    /// Waits up to `wait` for editions after `revision`.
    ///
    /// # Errors
    ///
    /// As [`Documents::read`]; `HistoryLost` if `revision` is too old.
    async fn follow(&self, revision: u64, wait: Duration) -> Result<Changes<Document>>;

    /// Reads the text of an edition that another instance passed on.
    ///
    /// # Errors
    ///
    /// Fails if it is malformed.
    fn decode(&self, text: &str) -> Result<Document>;
}

/// The registrations of the runners.
#[async_trait]
pub trait Registrations: Debug + Send + Sync {
    /// Reads all registrations.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    async fn read(&self) -> Result<Changes<mesh::Registration>>;

    /// Waits up to `wait` for changes after `revision`.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer; `HistoryLost` if `revision` is too old.
    async fn follow(&self, revision: u64, wait: Duration) -> Result<Changes<Change>>;
}
