//! Splitting of a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

use crate::Result;
use crate::error::Code;

const BOUNDARY: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Buffers bytes until they end with a complete event.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Adds bytes; returns all complete events and buffers the rest.
    ///
    /// # Errors
    ///
    /// Fails if an event is larger than `MAX_EVENT_BYTES`.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = find_last_boundary(&self.buffer);
        let whole = self.buffer.split_to(end).freeze();
        for line in whole.split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                let id = std::str::from_utf8(id).ok();
                self.last_id = id.and_then(|id| id.trim().parse().ok()).or(self.last_id);
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Code::Malformed("event is too large".to_owned()).into());
        }
        Ok(whole)
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

/// Finds the ends of events in a byte stream, without buffering it.
#[derive(Debug, Default)]
pub struct Scanner {
    last: Option<u8>,
    is_inside_event: bool,
}

impl Scanner {
    /// Whether an event ends in `bytes`, which follow those of the last call.
    pub fn ends_event(&mut self, bytes: &[u8]) -> bool {
        let starts_with_end = self.last == Some(b'\n') && bytes.first() == Some(&b'\n');
        let end = match find_last_boundary(bytes) {
            0 => usize::from(starts_with_end),
            end => end,
        };
        if !bytes.is_empty() {
            self.is_inside_event = end < bytes.len();
        }
        self.last = bytes.last().copied().or(self.last);
        end > 0
    }

    /// Whether the bytes so far end inside an event.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.is_inside_event
    }
}
