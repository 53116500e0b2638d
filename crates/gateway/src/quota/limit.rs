//! The quota of one tenant.

use crate::tenant::Quota;

/// A tenant with its current quota.
#[derive(Clone, Copy, Debug)]
pub struct Limit<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Its quota.
    pub quota: &'a Quota,
}
