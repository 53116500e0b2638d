//! Requests and answers of the table service and the roster.

pub use crate::generated::table::*;
