//! Socket of an accepted connection, which reports the connection's phase.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use almondbank_port::clock::Clock;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connections::{Connection, Phase};
use crate::tcp;

/// Bytes of a request after which its connection gets a larger receive buffer, before the caller
/// has filled the first one. Requests of streams and calls without a body are shorter.
const GROWTH_THRESHOLD: usize = 4 << 10;

/// Socket of an accepted connection.
pub(crate) struct Socket {
    stream: TcpStream,
    connection: Arc<Connection>,
    clock: Arc<dyn Clock>,
    is_blocked: bool,
    /// Bytes of the current request that were read.
    received: usize,
    has_grown: bool,
}

impl Socket {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Arc<Connection>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            stream,
            connection,
            clock,
            is_blocked: false,
            received: 0,
            has_grown: false,
        }
    }

    fn record_read(&mut self, bytes: usize) {
        if self.connection.phase() == Phase::Idle {
            self.connection.begin(Phase::Head, self.clock.now());
            self.received = 0;
        }
        self.received += bytes;
        if !self.has_grown && self.received >= GROWTH_THRESHOLD && self.connection.grow() {
            tcp::resize(&self.stream, tcp::GROWN);
            self.has_grown = true;
        }
    }

    fn record_write(&mut self, is_pending: bool) {
        if is_pending && !self.is_blocked {
            self.connection.block(self.clock.now());
        } else if !is_pending && self.is_blocked {
            self.connection.unblock();
            // The response before ends now.
            if self.connection.phase() == Phase::Idle {
                self.connection.begin(Phase::Idle, self.clock.now());
            }
        }
        self.is_blocked = is_pending;
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        let filled = buffer.filled().len();
        let result = Pin::new(&mut socket.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - filled;
        if bytes > 0 {
            socket.record_read(bytes);
        }
        result
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        let result = Pin::new(&mut socket.stream).poll_write(context, bytes);
        socket.record_write(result.is_pending());
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        let result = Pin::new(&mut socket.stream).poll_write_vectored(context, buffers);
        socket.record_write(result.is_pending());
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
