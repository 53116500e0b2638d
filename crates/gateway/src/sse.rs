//! Splitting of a byte stream into server-sent events.
//!
//! A line ends with LF, CR or both. An empty line ends a block of lines. A block is an event
//! if it has data or an id; other blocks, such as comments, are none.

use bytes::{Bytes, BytesMut};

use crate::Result;
use crate::error::Code;

const DATA_FIELD: &[u8] = b"data";
const ID_FIELD: &[u8] = b"id";
const FIELD_END: u8 = b':';
/// Longest beginning of a line that tells its field, in bytes.
const MAX_FIELD_BYTES: usize = DATA_FIELD.len() + 1;
/// Consecutive ends of lines after which a block has ended.
const BLOCK_ENDS: u8 = 2;
/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Buffers bytes until they end with a complete event.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    scanner: Scanner,
    last_id: Option<u64>,
}

impl Splitter {
    /// Adds bytes; returns all complete events and buffers the rest.
    ///
    /// # Errors
    ///
    /// Fails if an event is larger than `MAX_EVENT_BYTES`.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes> {
        let end = self.scanner.scan(bytes).block_end;
        let buffered = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let whole = match end {
            0 => Bytes::new(),
            end => self.buffer.split_to(buffered + end).freeze(),
        };
        self.last_id = ids(&whole).next_back().or(self.last_id);
        check_size(self.buffer.len())?;
        Ok(whole)
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanner = Scanner::default();
        self.buffer.split().freeze()
    }
}

/// Fails if bytes without the end of an event are too many.
///
/// # Errors
///
/// Fails if `bytes` is more than `MAX_EVENT_BYTES`.
pub(crate) fn check_size(bytes: usize) -> Result<()> {
    if bytes > MAX_EVENT_BYTES {
        return Err(Code::Malformed("event is too large".to_owned()).into());
    }
    Ok(())
}

/// Returns the ids of complete events, in their order.
pub(crate) fn ids(events: &[u8]) -> impl DoubleEndedIterator<Item = u64> + '_ {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.filter_map(|line| {
        let id = line.strip_prefix(ID_FIELD)?.strip_prefix(&[FIELD_END])?;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    })
}

/// What a scanner has found in bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Found {
    /// Number of bytes up to the last end of a block, or 0 if none ends.
    pub block_end: usize,
    /// Whether an event ends.
    pub has_event: bool,
}

/// Finds the ends of events in a byte stream, without buffering it.
#[derive(Debug, Default)]
pub struct Scanner {
    /// Beginning of the current line.
    line: Vec<u8>,
    /// Consecutive ends of lines before this point, at most `BLOCK_ENDS`.
    line_ends: u8,
    /// Whether the last byte was CR, which LF may follow.
    follows_cr: bool,
    /// Whether the current block has data or an id.
    is_event: bool,
    /// Whether there were any bytes.
    has_begun: bool,
}

impl Scanner {
    /// Looks for ends in `bytes`, which follow those of the last call.
    pub fn scan(&mut self, bytes: &[u8]) -> Found {
        let mut found = Found::default();
        for (at, byte) in bytes.iter().enumerate() {
            self.has_begun = true;
            let ends_pair = self.follows_cr && *byte == b'\n';
            self.follows_cr = *byte == b'\r';
            if !ends_pair {
                match byte {
                    b'\n' | b'\r' => found.has_event |= self.end_line(),
                    byte => self.add(*byte),
                }
            }
            if !self.is_inside_event() {
                found.block_end = at + 1;
            }
        }
        found
    }

    /// Whether the bytes so far end inside an event.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.has_begun && self.line_ends < BLOCK_ENDS
    }

    fn add(&mut self, byte: u8) {
        self.line_ends = 0;
        if self.line.len() < MAX_FIELD_BYTES {
            self.line.push(byte);
        }
    }

    // Returns whether an event ends with the line.
    fn end_line(&mut self) -> bool {
        let field = self.line.split(|byte| *byte == FIELD_END).next();
        self.is_event |= field.is_some_and(|field| field == DATA_FIELD || field == ID_FIELD);
        self.line.clear();
        self.line_ends = BLOCK_ENDS.min(self.line_ends + 1);
        self.line_ends == BLOCK_ENDS && std::mem::take(&mut self.is_event)
    }
}
