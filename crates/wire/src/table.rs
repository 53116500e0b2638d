//! Requests and responses of the table service and the roster of VMs.

pub use crate::generated::table::*;
