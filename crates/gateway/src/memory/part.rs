//! Counts the bytes that are held of one part of the memory.

use std::sync::atomic::{AtomicUsize, Ordering};

/// A part of the memory. Large holdings may use `large_size` bytes of it; the rest is only for
/// small ones.
#[derive(Debug)]
pub struct Part {
    size: usize,
    large_size: usize,
    held: AtomicUsize,
    /// Bytes of `held` in large holdings.
    large: AtomicUsize,
}

impl Part {
    /// Creates a part of `size` bytes, of which large holdings may use `large_size`.
    #[must_use]
    pub fn new(size: usize, large_size: usize) -> Self {
        Self {
            size,
            large_size,
            held: AtomicUsize::new(0),
            large: AtomicUsize::new(0),
        }
    }

    /// Bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Size of the part.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size
    }

    /// Bytes that large holdings may still take.
    #[must_use]
    pub fn free_for_large(&self) -> usize {
        let large = self.large.load(Ordering::Relaxed);
        let free = self.size.saturating_sub(self.held());
        self.large_size.saturating_sub(large).min(free)
    }

    /// Takes bytes for a small holding, if they are free.
    #[must_use]
    pub fn take(&self, bytes: usize) -> bool {
        add(&self.held, bytes, self.size)
    }

    /// Takes bytes for a large holding, if they are free.
    #[must_use]
    pub fn take_large(&self, bytes: usize) -> bool {
        if !self.enlarge(bytes) {
            return false;
        }
        let taken = self.take(bytes);
        if !taken {
            self.large.fetch_sub(bytes, Ordering::Relaxed);
        }
        taken
    }

    /// Counts bytes that are held as those of a large holding, if there is room for them.
    #[must_use]
    pub fn enlarge(&self, bytes: usize) -> bool {
        add(&self.large, bytes, self.large_size)
    }

    /// Counts bytes that stay held as those of a small holding again.
    pub fn give_back_enlarged(&self, bytes: usize) {
        self.large.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Gives bytes back.
    pub fn give_back(&self, bytes: usize, is_large: bool) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
        if is_large {
            self.large.fetch_sub(bytes, Ordering::Relaxed);
        }
    }
}

fn add(count: &AtomicUsize, bytes: usize, limit: usize) -> bool {
    let sum = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= limit);
    count
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, sum)
        .is_ok()
}
