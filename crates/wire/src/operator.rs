//! Requests of operators and their answers.

pub use crate::generated::operator::*;
