//! TCP connections and their socket options.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

use crate::Result;
use crate::error::Code;

const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
const BACKLOG: u32 = 1024;

/// Sizes of a connection's buffers in the kernel, in bytes. The kernel doubles them; without a
/// size it lets each grow to some megabytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Buffers {
    /// Buffer of what is received and not read yet.
    pub receive: usize,
    /// Buffer of what is written and not acknowledged yet.
    pub send: usize,
}

/// Buffers of an accepted connection.
pub const ACCEPTED: Buffers = Buffers {
    receive: 8 << 10,
    send: 16 << 10,
};
/// Buffers of an accepted connection whose requests do not fit the first ones.
pub const GROWN: Buffers = Buffers {
    receive: 32 << 10,
    ..ACCEPTED
};
/// Buffers of a connection that was opened.
pub const OPENED: Buffers = Buffers {
    receive: 32 << 10,
    send: 16 << 10,
};
/// Buffers of a link to another instance, whose messages have some megabytes at times.
pub const LINK: Buffers = Buffers {
    receive: 192 << 10,
    send: 192 << 10,
};

/// Connects within `timeout`. The connection is closed if sent data is not
/// acknowledged within `user_timeout`. Its buffers have the sizes [`OPENED`].
///
/// # Errors
///
/// Fails with `NotSent` if the connection is not established in time.
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
    user_timeout: Duration,
) -> Result<TcpStream> {
    let stream = time::timeout(timeout, open(address))
        .await
        .map_err(|_| Code::Connect("timed out".to_owned()))?
        .map_err(|error| Code::Connect(error.to_string()))?;
    configure(&stream, user_timeout).map_err(|error| Code::Connect(error.to_string()))?;
    Ok(stream)
}

async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    set_buffers(&SockRef::from(&socket), OPENED);
    socket.connect(address).await
}

// Before the handshake, the size of the receive buffer bounds the first window, too. If the kernel
// refuses, the buffers stay as they are.
fn set_buffers(socket: &SockRef<'_>, buffers: Buffers) {
    let receive = socket.set_recv_buffer_size(buffers.receive);
    if let Err(error) = receive.and_then(|()| socket.set_send_buffer_size(buffers.send)) {
        log::debug!(error:% = error; "failed to set the sizes of buffers");
    }
}

/// Sets the sizes of the buffers of an open connection.
pub fn resize(stream: &TcpStream, buffers: Buffers) {
    set_buffers(&SockRef::from(stream), buffers);
}

/// Sets the socket options of a connection.
///
/// # Errors
///
/// Fails if the operating system rejects an option.
pub fn configure(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}

/// Listens on `address`, even if connections of an earlier process are in the state
/// `TIME_WAIT`. Connections have buffers of the sizes [`ACCEPTED`] from their handshake on, also
/// those that wait to be accepted.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    set_buffers(&SockRef::from(&socket), ACCEPTED);
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
