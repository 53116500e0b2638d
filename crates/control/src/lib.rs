//! Membership, leases, documents and placement of almondbank.
//!
//! The leader of a shard of runners is the instance that holds its [`lease`]; only
//! the leader may place models. It commits each [`placement`] as a row before it
//! sends the order, and divides the runners' slots among all instances as
//! [`credit`]. [`catalog`] holds the current document, and [`membership`] tracks
//! the other instances.
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
