//! Messages between daemon instances.

pub use crate::generated::peer::*;
