//! Messages between gateways.

pub use crate::generated::mesh::*;
