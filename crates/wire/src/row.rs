//! Values of the rows in the table service.

pub use crate::generated::row::*;
