//! Body of a response on an accepted connection.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use almondbank_port::clock::Clock;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};

use crate::Error;
use crate::body::Body;
use crate::memory::connections::{Connection, Phase};

/// A body whose connection waits for the next request once it is dropped.
pub(crate) struct Served {
    body: Body,
    connection: Arc<Connection>,
    clock: Arc<dyn Clock>,
}

impl Served {
    pub(crate) fn new(body: Body, connection: Arc<Connection>, clock: Arc<dyn Clock>) -> Self {
        Self {
            body,
            connection,
            clock,
        }
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.connection.begin(Phase::Idle, self.clock.now());
    }
}

impl hyper::body::Body for Served {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
