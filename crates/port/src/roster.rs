//! The platform's roster of VMs, which may be out of date.

use std::collections::BTreeMap;
use std::fmt::Debug;

use almondbank_wire::id;
use async_trait::async_trait;

use crate::Result;

pub use almondbank_wire::table::State;

/// State of each VM by the name of its instance; deleted VMs are absent.
pub type Vms = BTreeMap<id::Instance, State>;

/// A service that lists the VMs and their states.
#[async_trait]
pub trait Roster: Debug + Send + Sync {
    /// Reads the state of all VMs.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond in time.
    async fn vms(&self) -> Result<Vms>;
}
