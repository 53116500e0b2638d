//! What the requests of one tenant compete for.

use std::collections::BTreeMap;

use almondbank_wire::mesh;

use crate::id;

/// What requests compete for: the replicas of a model.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Scope {
    /// Name of the service.
    pub service: id::Service,
    /// Name of the model; empty for requests that name none.
    pub model: id::Model,
}

/// The requests of one tenant with one rank in one scope.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Claim {
    /// What they compete for.
    pub scope: Scope,
    /// Their rank; 0 is the highest.
    pub rank: u8,
    /// Name of the tenant; empty for all requests of public routes together.
    pub tenant: id::Tenant,
}

impl Claim {
    /// Returns the entries of one scope.
    pub(super) fn of_scope<'a, Value>(
        claims: &'a BTreeMap<Self, Value>,
        scope: &'a Scope,
    ) -> impl Iterator<Item = (&'a Self, &'a Value)> {
        let first = Self {
            scope: scope.clone(),
            rank: 0,
            tenant: String::new(),
        };
        let claims = claims.range(first..);
        claims.take_while(move |(claim, _)| claim.scope == *scope)
    }

    /// Encodes the claim for a report.
    pub(super) fn report(self, in_flight: u64, waiting: u64) -> mesh::Claim {
        mesh::Claim {
            service: self.scope.service,
            model: self.scope.model,
            rank: self.rank,
            tenant: self.tenant,
            in_flight,
            waiting,
        }
    }
}

impl From<&mesh::Claim> for Claim {
    fn from(claim: &mesh::Claim) -> Self {
        Self {
            scope: Scope {
                service: claim.service.clone(),
                model: claim.model.clone(),
            },
            rank: claim.rank,
            tenant: claim.tenant.clone(),
        }
    }
}
