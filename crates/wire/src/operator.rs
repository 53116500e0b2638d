//! Requests from operators and their responses.

pub use crate::generated::operator::*;
