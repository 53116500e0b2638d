//! Body of a response to a caller.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

use crate::Error;
use crate::error::Code;
use crate::pool::Connection;

/// A piece of a streamed body.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Completes at the deadline of a request.
pub type Expiry = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The body of a peer's response. Dropping it closes the connection to the peer.
pub struct Relayed {
    body: Incoming,
    expiry: Expiry,
    _connection: Connection,
    /// Body of the request, with which its memory is counted.
    _request: Bytes,
}

impl Relayed {
    /// Creates a body that is read from `connection`, and fails when `expiry` completes.
    #[must_use]
    pub fn new(body: Incoming, connection: Connection, expiry: Expiry, request: Bytes) -> Self {
        Self {
            body,
            expiry,
            _connection: connection,
            _request: request,
        }
    }

    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        // A peer that has stopped sends nothing more, and no error.
        if self.expiry.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(Code::Timeout.into())));
        }
        let body = Pin::new(&mut self.body);
        body.poll_frame(context)
            .map_err(|error| Code::Broken(error.to_string()).into())
    }
}

impl fmt::Debug for Relayed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("Relayed");
        debug.field("body", &self.body).finish_non_exhaustive()
    }
}

/// A complete body or a stream of chunks.
#[derive(Debug)]
pub enum Body {
    /// All bytes; `None` if empty or already sent.
    Whole(Option<Bytes>),
    /// Chunks up to [`Chunk::End`]. An error, or a sender that is dropped before the end,
    /// aborts the connection, so that the caller detects that the response is incomplete.
    Chunks(mpsc::Receiver<Result<Chunk, Error>>),
    /// The body of a peer's response. An error aborts the connection, too.
    Relayed(Relayed),
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Relayed(relayed) => relayed.poll_frame(context),
            Self::Chunks(chunks) => chunks.poll_recv(context).map(|chunk| match chunk {
                Some(Ok(Chunk::Data(bytes))) => Some(Ok(Frame::data(bytes))),
                Some(Ok(Chunk::End)) => None,
                Some(Err(error)) => Some(Err(error)),
                None => {
                    log::warn!("relay of a stream ended before the stream");
                    let reason = "the relay ended before the stream".to_owned();
                    Some(Err(Code::Broken(reason).into()))
                }
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Chunks(_) => false,
            Self::Relayed(relayed) => relayed.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Chunks(_) => SizeHint::default(),
            Self::Relayed(relayed) => relayed.body.size_hint(),
        }
    }
}
