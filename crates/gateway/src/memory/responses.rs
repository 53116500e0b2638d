//! Bodies of runners' responses that are read whole.

use std::fmt::Display;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::charge::Charge;
use super::outlet::Outlet;
use super::part::Part;
use super::{SMALL_RESPONSE, kept};
use crate::Result;
use crate::error::Code;

/// Size up to which a body is read whatever the others take. The memory is that of its
/// connection.
const TINY: usize = 8 << 10;

/// Responses that an instance holds.
#[derive(Clone, Debug)]
pub struct Responses {
    part: Arc<Part>,
}

impl Responses {
    /// Creates an empty set of responses that share `part`.
    #[must_use]
    pub fn new(part: Part) -> Self {
        Self {
            part: Arc::new(part),
        }
    }

    /// Bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.part.held()
    }

    /// Returns the queue of a stream for one caller.
    #[must_use]
    pub fn outlet(&self) -> Outlet {
        Outlet::new(Arc::clone(&self.part))
    }

    /// Reads a body to its end. Its bytes are held until the last reference to them is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early or takes memory that others need.
    pub async fn read<B>(&self, mut body: B) -> Result<Bytes>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        let mut charge = Charge::new(Arc::clone(&self.part), SMALL_RESPONSE);
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Code::Broken(error.to_string()))?;
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            let length = buffer.len() + chunk.len();
            if length > buffer.capacity() {
                let size = length.max(2 * buffer.capacity());
                if size > TINY && !charge.grow_to(size) {
                    let held = self.held();
                    let text = format!(
                        "no memory for a body of over {length} bytes; {held} bytes are held"
                    );
                    return Err(Code::Malformed(text).into());
                }
                buffer.reserve_exact(size - buffer.len());
            }
            buffer.extend_from_slice(&chunk);
        }
        Ok(kept::keep(buffer, charge))
    }
}
