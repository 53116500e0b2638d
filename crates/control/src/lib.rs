//! Membership, leases, documents and placement of almondbank.
//!
//! One instance at a time keeps a shard of runners: it holds the shard's
//! [`lease`], writes each [`placement`] as a row before it gives the order, and
//! allots [`credit`] to all instances. [`catalog`] keeps the document in force,
//! and [`membership`] knows the other instances.
//!
//! ```
//! use std::time::Duration;
//! use almondbank_control::idle;
//!
//! let mut history = idle::History::default();
//! for _ in 0..20 {
//!     history.record(Duration::from_secs(90));
//! }
//! assert!(history.window().keep_alive <= Duration::from_secs(200));
//! ```

pub mod adapter;
pub mod audit;
pub mod budget;
pub mod catalog;
pub mod credit;
pub mod demand;
pub mod idle;
pub mod key;
pub mod leader;
pub mod lease;
pub mod membership;
pub mod observation;
pub mod placement;

mod error;
mod round;

pub use error::{Category, Error, Result};
