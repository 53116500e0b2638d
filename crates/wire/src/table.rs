//! Requests and responses of the table service, and entries of the roster of VMs.

pub use crate::generated::table::*;
