//! Type aliases for ids, which make signatures self-explanatory.

/// Name of an instance that serves callers, unique among the entry VMs.
pub type Instance = String;
/// Id of one run of a process; changes with each restart.
pub type Incarnation = String;
/// Name of a runner.
pub type Runner = String;
/// Name of a model.
pub type Model = String;
/// Version of a model.
pub type Version = String;
/// Name of an adapter.
pub type Adapter = String;
/// Id of a replica of a model on a runner.
pub type Replica = String;
/// Id of an order to a runner; a runner executes an id only once.
pub type Order = String;
/// Name of a caller.
pub type Caller = String;
/// Revision of an environment's document; increases with each accepted change.
pub type Revision = u64;
/// Fencing token: a number that increases each time the lease changes hands.
pub type Fencing = u64;
