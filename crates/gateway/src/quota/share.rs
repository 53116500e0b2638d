//! Equal parts of a quota.

use std::time::Duration;

use crate::runner_limit::Position;

/// What an instance needs to know for its equal part of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Position of the instance among those that the quota is divided among.
    pub position: Position,
    /// Time after which an owner that does not reach this instance no longer grants its part.
    pub detection: Duration,
    /// Whether the instance knows how many others there are.
    pub is_settled: bool,
}
