//! Rows that the system keeps in the table service.

pub use crate::generated::row::*;
