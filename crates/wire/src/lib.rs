//! Messages, table rows, documents and settings of almondbank, with validation.
//!
//! The raw types are generated from the JSON Schema files under `schema/` and
//! re-exported by the modules named after those files. [`document`], [`settings`]
//! and [`gateway`] parse YAML into validated types and report all validation
//! errors at once, each with its path.
//!
//! The leader is the instance that holds the lease of the shard and alone may
//! place models. Some message fields call it `keeper`.
//!
//! ```
//! use almondbank_wire::document;
//!
//! let document = document::parse("environment: trial\n").unwrap();
//! assert_eq!(document.environment, "trial");
//!
//! let error = document::parse("environment: 3\nmodles: []\n").unwrap_err();
//! assert_eq!(error.findings().len(), 2);
//! ```

pub mod codec;
pub mod digest;
pub mod document;
pub mod gateway;
pub mod id;
pub mod mesh;
pub mod operator;
pub mod order;
pub mod peer;
pub mod problem;
pub mod rank;
pub mod reading;
pub mod row;
pub mod settings;
pub mod table;
pub mod ticket;

mod check;
mod error;
mod finding;
mod generated;
mod yaml;

pub use error::{Category, Error, Result};
pub use finding::Finding;
