//! The almondbank daemon, which runs on each entry VM.
//!
//! [`Daemon::start`] runs an instance inside the calling process. The binary reads
//! its settings and calls it.
//!
//! The leader is the instance that holds the lease of its environment's shard. It
//! alone may place models and send orders to the runners.
//!
//! ```no_run
//! # async fn run(text: &str) -> Result<(), Box<dyn std::error::Error>> {
//! use std::sync::Arc;
//! use almondbank_port::clock;
//! use almondbank_wire::settings;
//!
//! let settings = settings::parse(text)?;
//! let daemon = almondbank::Daemon::start(settings, Arc::new(clock::System::new())).await?;
//! println!("callers connect to {}", daemon.callers());
//! daemon.shutdown().await;
//! # Ok(())
//! # }
//! ```

mod adapter_task;
mod call;
mod chat;
mod claim;
mod daemon;
mod document_task;
mod entries;
mod error;
mod extract;
mod forward;
mod leader_task;
mod link;
mod links;
mod listener;
mod member_task;
mod metrics;
mod models;
mod node;
mod operator;
mod response;
mod runner_task;
mod scrape;
mod server;
mod service;
mod term;

pub use daemon::Daemon;
pub use error::{Error, Result};
