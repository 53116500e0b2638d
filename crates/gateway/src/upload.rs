//! Whether a request was sent as a whole, on a connection that did not fail.
//!
//! The HTTP library takes any end of a connection for the end of a body that has neither a length
//! nor chunks, also after a failed write or before the whole request was written.

pub(crate) mod body;
pub(crate) mod socket;

use std::sync::Arc;

use parking_lot::Mutex;

/// Upload of the request that a connection carries; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upload(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    /// Whether the HTTP library has the whole request.
    is_buffered: bool,
    /// Whether the library has written the whole request to the socket.
    is_written: bool,
    /// Whether a read or a write failed.
    has_failed: bool,
}

impl Upload {
    /// Begins with the next request.
    pub(crate) fn start(&self) {
        let mut state = self.0.lock();
        state.is_buffered = false;
        state.is_written = false;
    }

    /// Whether the request was written as a whole and the connection has not failed.
    pub(crate) fn is_whole(&self) -> bool {
        let state = self.0.lock();
        state.is_written && !state.has_failed
    }

    fn record_buffered(&self) {
        self.0.lock().is_buffered = true;
    }

    // The library flushes the socket when its buffer is empty.
    fn record_flush(&self) {
        let mut state = self.0.lock();
        state.is_written |= state.is_buffered;
    }

    fn record_failure(&self) {
        self.0.lock().has_failed = true;
    }
}
