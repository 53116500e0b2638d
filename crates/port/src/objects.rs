//! The platform's object store.

use std::fmt::Debug;

use async_trait::async_trait;
use bytes::Bytes;

use crate::Result;

/// The object store.
#[async_trait]
pub trait Objects: Debug + Send + Sync {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time.
    async fn get(&self, key: &str) -> Result<Option<Bytes>>;

    /// Writes an object that does not exist yet; writing the same bytes again
    /// succeeds, so the call may be repeated.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time, or holds other bytes under `key`.
    async fn create(&self, key: &str, body: Bytes) -> Result<()>;
}
