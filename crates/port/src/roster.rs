//! The platform's list of VMs, which lags behind the truth.

use std::collections::BTreeMap;
use std::fmt::Debug;

use almondbank_wire::id;
use async_trait::async_trait;

use crate::Result;

pub use almondbank_wire::table::State;

/// State of each VM by the name of the instance on it; a VM that is gone is missing.
pub type Vms = BTreeMap<id::Instance, State>;

/// The list of VMs.
#[async_trait]
pub trait Roster: Debug + Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    async fn vms(&self) -> Result<Vms>;
}
