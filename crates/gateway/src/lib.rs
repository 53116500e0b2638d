//! The gateway of almondbank: routes requests of callers to runners and keeps
//! the models that are asked for on them.
//!
//! A gateway learns its [`environment`] and its runners through the traits in
//! [`feed`], speaks to callers and runners through [`edge`], and gives
//! [`order`]s while it holds the lease. Decisions are free of network and clock:
//! [`choice`] picks a runner, [`planner`] places models, [`budget`] limits
//! retries.
//!
//! ```
//! use std::time::Duration;
//! use almondbank_gateway::{book::Work, choice};
//!
//! let busy = choice::Candidate {
//!     runner: "runner-1".to_owned(),
//!     is_near: true,
//!     work: Work { pending: 3, pending_tokens: 30_000, running: 0, tokens: 30_000 },
//!     slots: 64,
//!     cached_tokens: 0,
//!     holds_adapter: true,
//!     is_ejected: false,
//!     failure_rate: 0.0,
//!     preference: 0,
//! };
//! let idle = choice::Candidate {
//!     runner: "runner-2".to_owned(),
//!     work: Work::default(),
//!     ..busy.clone()
//! };
//! let request = choice::Request {
//!     prompt_tokens: 9_000,
//!     tokens: 9_100,
//!     capacity: 250_000,
//!     token: Duration::from_micros(25),
//! };
//! let candidates = [busy, idle];
//! let best = choice::choose(&candidates, &request).unwrap();
//! assert_eq!(best.runner, "runner-2");
//! ```

pub mod book;
pub mod budget;
pub mod call;
pub mod choice;
pub mod demand;
pub mod edge;
pub mod environment;
pub mod feed;
pub mod follower;
pub mod health;
pub mod id;
pub mod interest;
pub mod kept;
pub mod members;
pub mod order;
pub mod pace;
pub mod planner;
pub mod refusal;
pub mod roster;
pub mod route;
pub mod service;
pub mod speed;
pub mod sse;
pub mod store_load;
pub mod summary;
pub mod topology;
pub mod ward;

mod attempt;
mod body;
mod delivery;
mod discovery;
mod error;
mod exchange;
mod forward;
mod gateway;
mod gossip;
mod instance;
mod keeper;
mod links;
mod mesh;
mod metrics;
mod outcome;
mod pick;
mod pool;
mod relay;
mod report;
mod server;
mod tcp;
mod tenure;
mod wards;
mod watcher;

pub use error::{Category, Error, Result};
pub use gateway::Ports;
pub use instance::Instance;
