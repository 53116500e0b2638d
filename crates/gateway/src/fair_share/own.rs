//! Requests of one claim at this instance.

use std::collections::BTreeSet;
use std::time::Duration;

/// Time for which refused requests count as wanted, at least; twice this time at most. Demand
/// that is refused at once would otherwise be unknown when a slot is freed.
pub(super) const WINDOW: Duration = Duration::from_secs(1);

/// Requests of one claim at this instance.
#[derive(Debug, Default)]
pub(super) struct Own {
    pub(super) in_flight: u64,
    /// Tickets of the waiting requests, the first in turn first.
    pub(super) waiting: BTreeSet<u64>,
    /// Requests refused since `window_start`, and in the window before it.
    refused: u64,
    refused_before: u64,
    window_start: Duration,
}

impl Own {
    /// Number of requests that are in flight, wait or were refused recently.
    pub(super) fn wants(&self, now: Duration) -> u64 {
        self.in_flight + self.unserved(now)
    }

    /// Number of requests that wait or were refused recently.
    pub(super) fn unserved(&self, now: Duration) -> u64 {
        self.waiting() + self.refused(now)
    }

    /// Number of requests that were refused recently.
    pub(super) fn refused(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < WINDOW {
            self.refused + self.refused_before
        } else if elapsed < WINDOW * 2 {
            self.refused
        } else {
            0
        }
    }

    /// Counts a refused request.
    pub(super) fn refuse(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= WINDOW {
            let is_next = elapsed < WINDOW * 2;
            self.refused_before = if is_next { self.refused } else { 0 };
            self.refused = 0;
            self.window_start = now;
        }
        self.refused += 1;
    }

    /// Number of requests that wait in front of the one with `ticket`, or of a new one.
    pub(super) fn ahead(&self, ticket: Option<u64>) -> u64 {
        match ticket {
            Some(ticket) => count(self.waiting.range(..ticket).count()),
            None => self.waiting(),
        }
    }

    /// Removes a request that waits.
    pub(super) fn leave(&mut self, ticket: Option<u64>) {
        if let Some(ticket) = ticket {
            self.waiting.remove(&ticket);
        }
    }

    /// Whether nothing about the claim needs to be remembered.
    pub(super) fn is_empty(&self) -> bool {
        self.in_flight == 0 && self.waiting.is_empty() && self.refused + self.refused_before == 0
    }

    fn waiting(&self) -> u64 {
        count(self.waiting.len())
    }
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
