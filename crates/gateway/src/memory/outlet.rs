//! Bytes of a stream that wait for one caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::Notify;

use super::part::Part;

/// Most bytes of one stream that wait for its caller.
const MAX_HELD: usize = 128 << 10;
/// Most bytes of a piece. One piece may always wait; its memory is that of the connection.
pub const MAX_PIECE: usize = 8 << 10;

/// Bytes of one stream that wait for its caller.
#[derive(Debug)]
pub struct Outlet(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    part: Arc<Part>,
    held: AtomicUsize,
    freed: Notify,
}

/// A piece that waits until the caller has taken it.
struct Piece {
    bytes: Box<[u8]>,
    shared: Arc<Shared>,
    /// Whether the bytes are taken from the part.
    is_taken: bool,
}

impl Outlet {
    pub(crate) fn new(part: Arc<Part>) -> Self {
        Self(Arc::new(Shared {
            part,
            held: AtomicUsize::new(0),
            freed: Notify::new(),
        }))
    }

    /// Copies the bytes, so that they do not keep the buffer that they were read into, and counts
    /// them until the caller has taken them. Waits while there is no room for them; it never waits
    /// for another caller.
    pub async fn hold(&self, bytes: &[u8]) -> Bytes {
        let is_taken = loop {
            if let Some(is_taken) = self.0.admit(bytes.len()) {
                break is_taken;
            }
            self.0.freed.notified().await;
        };
        self.0.held.fetch_add(bytes.len(), Ordering::Relaxed);
        Bytes::from_owner(Piece {
            bytes: bytes.into(),
            shared: Arc::clone(&self.0),
            is_taken,
        })
    }

    /// Bytes that wait for the caller.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Relaxed)
    }
}

impl Shared {
    // Returns whether the bytes are taken from the part, or `None` if there is no room.
    fn admit(&self, bytes: usize) -> Option<bool> {
        let held = self.held.load(Ordering::Relaxed);
        if held == 0 && bytes <= MAX_PIECE {
            return Some(false);
        }
        let is_taken = held + bytes <= MAX_HELD && self.part.take_large(bytes);
        is_taken.then_some(true)
    }
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        let bytes = self.bytes.len();
        if self.is_taken {
            self.shared.part.give_back(bytes, true);
        }
        self.shared.held.fetch_sub(bytes, Ordering::Relaxed);
        self.shared.freed.notify_one();
    }
}
