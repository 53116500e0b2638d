//! Bytes that stay counted until the last reference to them is dropped.

use bytes::Bytes;

use super::charge::Charge;

struct Kept {
    buffer: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

/// A buffer is shrunk if more than its length divided by this is unused.
const UNUSED_DIVISOR: usize = 8;

/// Returns the bytes of `buffer`, which `charge` counts.
pub(crate) fn keep(mut buffer: Vec<u8>, mut charge: Charge) -> Bytes {
    if charge.bytes().saturating_sub(buffer.len()) > buffer.len() / UNUSED_DIVISOR {
        buffer.shrink_to_fit();
        charge.shrink_to(buffer.capacity());
    }
    Bytes::from_owner(Kept {
        buffer,
        _charge: charge,
    })
}
