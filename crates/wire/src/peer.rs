//! Messages between instances.

pub use crate::generated::peer::*;
