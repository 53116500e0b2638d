//! Feeds of environments and runner registrations.

use std::fmt::{self, Debug};
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use async_trait::async_trait;

use crate::environment::Environment;
use crate::{Result, id};

/// An environment with its source text.
#[derive(Clone)]
pub struct Document {
    /// The parsed environment.
    pub environment: Arc<Environment>,
    /// Text that the operators wrote.
    pub text: String,
}

impl fmt::Debug for Document {
    // The text holds the keys of callers.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("Document");
        debug
            .field("environment", &self.environment)
            .finish_non_exhaustive()
    }
}

/// A change of one registration.
#[derive(Clone, Debug)]
pub enum Change {
    /// The runner registered or changed its registration.
    Put(Box<mesh::Registration>),
    /// The runner's registration is deleted or unreadable as of this revision.
    Removed(id::Runner, u64),
}

/// Changes up to a revision.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// Revision to pass to the next `follow` call.
    pub revision: u64,
    /// Changes, in order.
    pub changes: Vec<T>,
}

/// Feed of the environment that the operators maintain.
#[async_trait]
pub trait Documents: Debug + Send + Sync {
    /// Reads the newest document.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond or the document is malformed.
    async fn read(&self) -> Result<Changes<Document>>;

    /// Waits up to `wait` for documents after `revision`.
    ///
    /// # Errors
    ///
    /// As [`Documents::read`]; `HistoryLost` if `revision` is too old.
    async fn follow(&self, revision: u64, wait: Duration) -> Result<Changes<Document>>;

    /// Parses the text of a document that another instance sent.
    ///
    /// # Errors
    ///
    /// Fails if the text is malformed.
    fn decode(&self, text: &str) -> Result<Document>;
}

/// Feed of the runners' registrations.
#[async_trait]
pub trait Registrations: Debug + Send + Sync {
    /// Reads all registrations.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond.
    async fn read(&self) -> Result<Changes<mesh::Registration>>;

    /// Waits up to `wait` for changes after `revision`.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond; `HistoryLost` if `revision` is too old.
    async fn follow(&self, revision: u64, wait: Duration) -> Result<Changes<Change>>;
}
