//! The tenants of an environment, by key and by name.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use crate::id;
use crate::tenant::{Credential, Tenant};

/// The tenants of an environment.
///
/// Keys are looked up by their digest, so that the time of a look-up says nothing about the
/// key that is closest.
#[derive(Clone, Default)]
pub struct Directory {
    by_name: BTreeMap<id::Tenant, Arc<Tenant>>,
    by_key: BTreeMap<id::KeyDigest, Arc<Tenant>>,
    has_quotas: bool,
}

impl fmt::Debug for Directory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("Directory");
        debug
            .field("by_name", &self.by_name)
            .finish_non_exhaustive()
    }
}

impl Directory {
    /// Adds a tenant with the digests of its keys.
    pub fn insert(&mut self, tenant: Tenant, keys: impl IntoIterator<Item = id::KeyDigest>) {
        self.has_quotas |= tenant.quota.is_some();
        let tenant = Arc::new(tenant);
        let keys = keys.into_iter().map(|key| (key, Arc::clone(&tenant)));
        self.by_key.extend(keys);
        self.by_name.insert(tenant.name.clone(), tenant);
    }

    /// Returns the tenant whose key the credential is.
    #[must_use]
    pub fn authenticate(&self, credential: &Credential) -> Option<&Arc<Tenant>> {
        match credential {
            Credential::Key(digest) => self.by_key.get(digest),
            Credential::Absent | Credential::Malformed => None,
        }
    }

    /// Returns the tenant with a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// Whether a tenant has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// Returns all tenants, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }
}
