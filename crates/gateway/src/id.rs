//! Aliases for ids, so that signatures say which id they mean.

pub use almondbank_wire::id::{Adapter, Fencing, Incarnation, Instance, Model, Runner};

/// Name of a service.
pub type Service = String;
/// Id of one request as its caller sent it.
pub type Attempt = String;
/// Hash of the leading parts of a prompt, for one model and adapter.
pub type Prefix = u64;
