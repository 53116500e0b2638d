//! The platform's object store.

use std::fmt::Debug;

use async_trait::async_trait;
use bytes::Bytes;

use crate::Result;

/// An object store whose objects are written only once.
#[async_trait]
pub trait Objects: Debug + Send + Sync {
    /// Reads the object under `key`; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond in time.
    async fn get(&self, key: &str) -> Result<Option<Bytes>>;

    /// Writes a new object. Idempotent: writing the same bytes again succeeds.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond in time, or `key` has other contents.
    async fn create(&self, key: &str, body: Bytes) -> Result<()>;
}
