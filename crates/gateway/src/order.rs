//! Orders that change what a runner holds.

use std::fmt::Debug;
use std::net::SocketAddr;

use async_trait::async_trait;
use strum::Display;

use crate::{Result, id};

/// What a runner is ordered to do.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Action {
    /// Load a model or an adapter.
    Load,
    /// Unload a model or an adapter.
    Unload,
}

/// An order.
#[derive(Clone, Debug)]
pub struct Order {
    /// Runner that alone may carry it out.
    pub runner: id::Runner,
    /// What to do.
    pub action: Action,
    /// Model.
    pub model: id::Model,
    /// Adapter of the model; `None` orders the model itself.
    pub adapter: Option<id::Adapter>,
    /// Number of orders that the runner must have accepted before.
    pub sequence: u64,
    /// Instance that gives the order.
    pub holder: id::Instance,
    /// Fencing number of its lease.
    pub fencing: id::Fencing,
}

/// A runner's answer to an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Receipt {
    /// It is being carried out.
    Accepted,
    /// It already holds.
    Holds,
    /// Another order is in progress, or the sequence differs.
    Conflict,
    /// A higher fencing number was seen.
    Stale,
    /// Another runner has the address.
    OtherRunner,
    /// The order makes no sense to the runner.
    Rejected,
}

/// What a runner reports when asked.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Orders that it has accepted.
    pub sequence: u64,
    /// Whether an order for a model is in progress.
    pub busy: bool,
    /// Start of this run, in milliseconds of the Unix epoch.
    pub born_ms: u64,
    /// Weights that it holds.
    pub models: Vec<almondbank_wire::mesh::Model>,
    /// Adapters on their way, as model and adapter.
    pub coming: Vec<(id::Model, id::Adapter)>,
    /// Models with a copy in host memory.
    pub in_memory: Vec<id::Model>,
    /// Models with a copy on disk.
    pub on_disk: Vec<id::Model>,
}

/// The order side of the runners.
#[async_trait]
pub trait Orders: Debug + Send + Sync {
    /// Gives the runner at `address` an order.
    ///
    /// # Errors
    ///
    /// After any failure the order may still be carried out.
    async fn order(&self, address: SocketAddr, order: &Order) -> Result<Receipt>;

    /// Asks the runner at `address` what it holds.
    ///
    /// # Errors
    ///
    /// Fails if the runner does not answer in time.
    async fn report(&self, address: SocketAddr, runner: &str) -> Result<Report>;
}
