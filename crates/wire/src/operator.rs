//! Requests from operators and the responses to them.

pub use crate::generated::operator::*;
