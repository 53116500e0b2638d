//! Aliases for ids, so that signatures say which id they mean.

/// Name of an entry instance.
pub type Instance = String;
/// Id of one run of a process.
pub type Incarnation = String;
/// Name of a runner.
pub type Runner = String;
/// Name of a model.
pub type Model = String;
/// Name of a model's version.
pub type Version = String;
/// Name of an adapter.
pub type Adapter = String;
/// Id of a placed replica.
pub type Replica = String;
/// Id of an order to a runner.
pub type Order = String;
/// Name of a caller.
pub type Caller = String;
/// Revision of an environment's document.
pub type Revision = u64;
/// Fencing number of a leader.
pub type Fencing = u64;
