//! Orders to runners, their receipts and the reports of runners.

pub use crate::generated::order::*;
