//! Type aliases for the ids in signatures.

pub use almondbank_wire::id::{Adapter, Fencing, Incarnation, Instance, Model, Runner};

/// Name of a service.
pub type Service = String;
/// Id of one request, as sent by the caller.
pub type Attempt = String;
/// Digest of what a request asks for, whichever attempt it is.
pub type Fingerprint = String;
/// Name of a tenant.
pub type Tenant = String;
/// SHA-256 digest of the key of a tenant, in lower-case hexadecimal.
pub type KeyDigest = String;
/// Version of the software of a runner; versions have no order.
pub type Software = String;
/// Id of one part of a prompt.
pub type Part = String;
/// Hash of a prompt prefix for one model and adapter.
pub type Prefix = u64;

/// Environment name in the row keys of the gateways.
pub(crate) const ENVIRONMENT: &str = "main";
