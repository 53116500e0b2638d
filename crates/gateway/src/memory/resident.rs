//! Resident memory of the process, as the kernel counts it against its limit.

use std::fs;

const STATUS: &str = "/proc/self/status";
/// Percentage of the limit from which on the process is near it.
const NEAR_PERCENT: u64 = 85;

/// Resident memory of the process, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resident {
    /// What it holds now.
    pub now: u64,
    /// The most that it has held.
    pub peak: u64,
}

impl Resident {
    /// Reads it from the kernel; `None` if the kernel does not tell.
    #[must_use]
    pub fn read() -> Option<Self> {
        Self::parse(&fs::read_to_string(STATUS).ok()?)
    }

    /// Reads it from the text of `/proc/self/status`.
    #[must_use]
    pub fn parse(status: &str) -> Option<Self> {
        Some(Self {
            now: bytes(status, "VmRSS:")?,
            peak: bytes(status, "VmHWM:")?,
        })
    }

    /// Whether it is near `limit` bytes.
    #[must_use]
    pub fn is_near(&self, limit: usize) -> bool {
        let limit = u64::try_from(limit).unwrap_or(u64::MAX);
        self.now / NEAR_PERCENT >= limit / 100
    }
}

// The value of a line such as `VmRSS:     11264 kB`.
fn bytes(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(name))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    kilobytes.checked_mul(1 << 10)
}
