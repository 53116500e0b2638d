//! Splitting of a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

const BOUNDARY: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// Buffers bytes until they end with a complete event.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Adds bytes; returns all complete events and buffers the rest.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let end = find_last_boundary(&self.buffer);
        let whole = self.buffer.split_to(end).freeze();
        for line in whole.split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                let id = std::str::from_utf8(id).ok();
                self.last_id = id.and_then(|id| id.trim().parse().ok()).or(self.last_id);
            }
        }
        whole
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

fn find_last_boundary(buffer: &[u8]) -> usize {
    buffer
        .windows(BOUNDARY.len())
        .rposition(|window| window == BOUNDARY)
        .map_or(0, |at| at + BOUNDARY.len())
}
