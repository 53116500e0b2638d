//! Tenants: groups of callers that share keys, a priority and a quota.

mod credential;
mod directory;
mod quota;

pub use credential::Credential;
pub use directory::Directory;
pub use quota::{Quota, Unit};

use crate::id;

/// A group of callers with keys of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, unique in the environment.
    pub name: id::Tenant,
    /// Priority of its requests in place of that of their route; 0 is the highest.
    pub rank: Option<u8>,
    /// Limit on its requests; `None` if they are not limited.
    pub quota: Option<Quota>,
}
