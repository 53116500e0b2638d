//! Orders to runners and their reports.

pub use crate::generated::order::*;
