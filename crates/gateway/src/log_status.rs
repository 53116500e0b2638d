//! What became of the lines of the log, for the metrics.

use std::collections::BTreeMap;

/// Counts since the start of the process, and what waits.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Lines that were dropped.
    pub lost_lines: u64,
    /// Attempts to write that failed, by the name of the error.
    pub failures: BTreeMap<String, u64>,
    /// Bytes of lines that are not written yet.
    pub waiting_bytes: u64,
}
