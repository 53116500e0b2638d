//! Limits the bytes that a connection delivers.
//!
//! Interim responses may come without end, and the HTTP library reads them all.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const UNLIMITED: usize = usize::MAX;

/// Number of bytes that a connection may still deliver; clones share it.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicUsize>);

impl Default for Allowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

impl Allowance {
    /// Allows this number of bytes from now on.
    pub fn limit(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Allows any number of bytes from now on.
    pub fn lift(&self) {
        self.limit(UNLIMITED);
    }

    fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn take(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed);
        if left != UNLIMITED {
            self.limit(left.saturating_sub(bytes));
        }
    }
}

/// A stream whose reads fail when its allowance is used up.
#[derive(Debug)]
pub struct Limited<S> {
    inner: S,
    allowance: Allowance,
    /// Number of bytes that each write allows anew.
    per_write: Option<usize>,
}

impl<S> Limited<S> {
    /// Limits the reads of `inner` by an allowance that the caller sets.
    #[must_use]
    pub fn new(inner: S, allowance: Allowance) -> Self {
        Self {
            inner,
            allowance,
            per_write: None,
        }
    }

    /// Limits the reads of `inner` to this number of bytes after each write, as of a request.
    #[must_use]
    pub fn per_write(inner: S, bytes: usize) -> Self {
        Self {
            inner,
            allowance: Allowance::default(),
            per_write: Some(bytes),
        }
    }

    fn start_write(&self) {
        if let Some(bytes) = self.per_write {
            self.allowance.limit(bytes);
        }
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
            let text = "the server sends too many bytes";
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
        self.start_write();
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
        self.start_write();
        Pin::new(&mut self.get_mut().inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}

impl<S: Connection> Connection for Limited<S> {
    fn connected(&self) -> Connected {
        self.inner.connected()
    }
}
