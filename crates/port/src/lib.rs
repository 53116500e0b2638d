//! Traits for the external dependencies of almondbank: the clock, the platform's
//! table service, object store and roster of VMs, and the runners.
//!
//! Each service trait has one client over HTTP, in a module with the suffix `_http`. A
//! client can be replaced by one for another service: no other crate depends on its
//! wire format.
//!
//! ```
//! use almondbank_port::table;
//!
//! let transaction = table::Transaction::new("write-1")
//!     .require("lease", 0)
//!     .put("lease", "held");
//! assert_eq!(transaction.id(), "write-1");
//! ```

pub mod clock;
pub mod commit;
pub mod http;
pub mod objects;
pub mod objects_http;
pub mod read_limit;
pub mod retry;
pub mod roster;
pub mod roster_http;
pub mod runner;
pub mod runner_http;
pub mod socket;
pub mod table;
pub mod table_http;

mod connector;
mod error;

pub use error::{Category, Error, Result};
