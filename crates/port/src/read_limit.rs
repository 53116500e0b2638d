//! Limits the bytes that a connection delivers before the head of a response.
//!
//! Interim responses may come without end, and the HTTP library reads them all.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes before the end of a response's head, in bytes: the head, interim ones, and what
/// the library reads ahead of the body.
const MAX_HEAD_BYTES: usize = 256 << 10;
const UNLIMITED: usize = usize::MAX;

/// Number of bytes that a connection may still deliver.
#[derive(Clone, Debug)]
pub(crate) struct Allowance(Arc<AtomicUsize>);

impl Default for Allowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

impl Allowance {
    /// Limits what comes before the next response.
    pub(crate) fn expect_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit: the head has been read.
    pub(crate) fn end_head(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn take(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed);
        if left != UNLIMITED {
            self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// A stream whose reads fail when its allowance is used up.
#[derive(Debug)]
pub(crate) struct Limited<S> {
    inner: S,
    allowance: Allowance,
}

impl<S> Limited<S> {
    pub(crate) fn new(inner: S, allowance: Allowance) -> Self {
        Self { inner, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Limited<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.allowance.is_used_up() {
            let text = "too many bytes before the head of a response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.inner).poll_read(context, buffer);
        this.allowance.take(buffer.filled().len() - before);
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Limited<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
