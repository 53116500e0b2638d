//! Socket of a connection to a runner.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::Upload;

/// A socket that records how far a request was written, and its failures.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    upload: Upload,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, upload: Upload) -> Self {
        Self { stream, upload }
    }

    fn record<T>(&self, result: &Poll<io::Result<T>>) {
        if matches!(result, Poll::Ready(Err(_))) {
            self.upload.record_failure();
        }
    }

    // A reset that follows the end of the peer's side is no error of a read.
    fn check_end(&self) {
        if !matches!(SockRef::from(&self.stream).take_error(), Ok(None)) {
            self.upload.record_failure();
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        let before = buffer.filled().len();
        let read = Pin::new(&mut socket.stream).poll_read(context, buffer);
        socket.record(&read);
        let has_room = buffer.remaining() > 0;
        if has_room && read.is_ready() && buffer.filled().len() == before {
            socket.check_end();
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        let written = Pin::new(&mut socket.stream).poll_write(context, bytes);
        socket.record(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        let written = Pin::new(&mut socket.stream).poll_write_vectored(context, buffers);
        socket.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        let flushed = Pin::new(&mut socket.stream).poll_flush(context);
        socket.record(&flushed);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            socket.upload.record_flush();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
