//! Bytes of a part that one holder has taken.

use std::sync::Arc;

use super::part::Part;

/// Bytes taken from a part, given back when it is dropped.
#[derive(Debug)]
pub struct Charge {
    part: Arc<Part>,
    bytes: usize,
    /// Bytes that are taken besides and are never large.
    overhead: usize,
    /// Size beyond which the holding is large.
    small: usize,
}

impl Charge {
    /// Creates a charge without bytes, which is large beyond `small` bytes.
    #[must_use]
    pub fn new(part: Arc<Part>, small: usize) -> Self {
        Self {
            part,
            bytes: 0,
            overhead: 0,
            small,
        }
    }

    /// Takes bytes for a small holding and its overhead at once, if they are free.
    #[must_use]
    pub fn take(&mut self, bytes: usize, overhead: usize) -> bool {
        let taken = self.part.take(bytes + overhead);
        if taken {
            self.bytes += bytes;
            self.overhead += overhead;
        }
        taken
    }

    /// Bytes that are taken.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether the holding is large.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.bytes > self.small
    }

    /// Takes the bytes up to `bytes`, or none if they are not free.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let becomes_large = bytes > self.small && !self.is_large();
        if becomes_large && !self.part.enlarge(self.bytes) {
            return false;
        }
        let taken = if bytes > self.small {
            self.part.take_large(more)
        } else {
            self.part.take(more)
        };
        if taken {
            self.bytes += more;
        } else if becomes_large {
            self.part.give_back_enlarged(self.bytes);
        }
        taken
    }

    /// Gives back the bytes beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        let was_large = self.is_large();
        self.part.give_back(less, was_large);
        self.bytes -= less;
        if was_large && !self.is_large() {
            self.part.give_back_enlarged(self.bytes);
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.is_large() {
            self.part.give_back_enlarged(self.bytes);
        }
        self.part.give_back(self.bytes + self.overhead, false);
    }
}
