//! Orders that load and unload models and adapters on a runner.

use std::fmt::Debug;
use std::net::SocketAddr;

use async_trait::async_trait;
use strum::Display;

use crate::notice::Notice;
use crate::{Result, id};

/// Operation of an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Action {
    /// Load a model or an adapter.
    Load,
    /// Unload a model or an adapter.
    Unload,
}

/// An order to load or unload a model or an adapter.
#[derive(Clone, Debug)]
pub struct Order {
    /// Runner that the order is for; any other runner rejects it.
    pub runner: id::Runner,
    /// Operation to perform.
    pub action: Action,
    /// Model to load or unload, or the base model of `adapter`.
    pub model: id::Model,
    /// Adapter to load or unload; `None` if the order is for the model itself.
    pub adapter: Option<id::Adapter>,
    /// Number of orders that the runner must have accepted before this one.
    pub sequence: u64,
    /// Leader that sends the order.
    pub holder: id::Instance,
    /// Fencing token of the lease.
    pub fencing: id::Fencing,
}

/// A runner's response to an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Receipt {
    /// The runner executes the order.
    Accepted,
    /// The runner is already in the requested state.
    Holds,
    /// Another order is in progress, or the sequence number does not match.
    Conflict,
    /// The runner has seen a higher fencing token.
    Stale,
    /// The address belongs to another runner.
    OtherRunner,
    /// The runner considers the order invalid.
    Rejected,
}

/// State of a runner, in response to a query.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of orders that it has accepted.
    pub sequence: u64,
    /// Whether an order for a model is in progress.
    pub busy: bool,
    /// Start time of the runner's process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Loaded models with their adapters.
    pub models: Vec<almondbank_wire::mesh::Model>,
    /// Adapters that are being loaded, as model and adapter.
    pub coming: Vec<(id::Model, id::Adapter)>,
    /// Models with a copy in host memory.
    pub in_memory: Vec<id::Model>,
    /// Models with a copy on disk.
    pub on_disk: Vec<id::Model>,
}

/// A runner's response to an order or a query.
#[derive(Debug)]
pub struct Answer<T> {
    /// What its head says about the runner.
    pub notice: Notice,
    /// Its content, or the error that it states.
    pub content: Result<T>,
}

/// Client for orders and state queries to runners.
#[async_trait]
pub trait Orders: Debug + Send + Sync {
    /// Sends an order to the runner at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the order cannot be sent or gets no response. The runner may still
    /// execute it, unless the category of the error is `NotSent`.
    async fn order(&self, address: SocketAddr, order: &Order) -> Result<Answer<Receipt>>;

    /// Queries the state of the runner at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the runner does not respond in time.
    async fn report(&self, address: SocketAddr, runner: &str) -> Result<Answer<Report>>;

    /// Checks by a query for `path` whether `runner` still accepts requests at `address`. The
    /// content is an error if it does not, or if another runner has the address.
    ///
    /// # Errors
    ///
    /// Fails if nothing responds in time.
    async fn check_health(
        &self,
        address: SocketAddr,
        runner: &str,
        path: &str,
    ) -> Result<Answer<()>>;
}
