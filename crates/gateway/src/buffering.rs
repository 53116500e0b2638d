//! Reads response bodies into memory that all requests share.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::Result;
use crate::error::Code;

/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Most bytes of the bodies that are being read, in all.
const MAX_TOTAL_BYTES: usize = 32 << 20;
/// Size up to which a body is read whatever the others take.
const SMALL_BODY_BYTES: usize = 256 << 10;

/// Memory for the bodies that are being read.
#[derive(Clone, Debug, Default)]
pub struct Memory(Arc<AtomicUsize>);

impl Memory {
    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early, is too large, or takes memory that others need.
    pub async fn read<B>(&self, mut body: B) -> Result<Bytes>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        let mut taken = Taken {
            memory: self,
            bytes: 0,
        };
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Code::Broken(error.to_string()))?;
            if let Ok(chunk) = frame.into_data() {
                taken.add(chunk.len())?;
                buffer.extend_from_slice(&chunk);
            }
        }
        Ok(buffer.freeze())
    }

    /// Returns the number of bytes that are taken.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// What one body has taken, until it is dropped.
struct Taken<'a> {
    memory: &'a Memory,
    bytes: usize,
}

impl Taken<'_> {
    fn add(&mut self, bytes: usize) -> Result<()> {
        self.bytes += bytes;
        let total = bytes + self.memory.0.fetch_add(bytes, Ordering::Relaxed);
        let is_in_total = total <= MAX_TOTAL_BYTES || self.bytes <= SMALL_BODY_BYTES;
        if self.bytes > MAX_BODY_BYTES || !is_in_total {
            let text = format!("body of over {} bytes, {total} in all", self.bytes);
            return Err(Code::Malformed(text).into());
        }
        Ok(())
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
