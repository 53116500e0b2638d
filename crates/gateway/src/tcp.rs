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

/// Connects within `timeout`. The connection is closed if sent data is not
/// acknowledged within `user_timeout`.
///
/// # Errors
///
/// Fails with `NotSent` if the connection is not established in time.
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
    user_timeout: Duration,
) -> Result<TcpStream> {
    let stream = time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| Code::Connect("timed out".to_owned()))?
        .map_err(|error| Code::Connect(error.to_string()))?;
    configure(&stream, user_timeout).map_err(|error| Code::Connect(error.to_string()))?;
    Ok(stream)
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
/// `TIME_WAIT`. The kernel keeps at most about twice `receive_buffer` bytes of a connection that
/// are not read yet.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen(address: SocketAddr, receive_buffer: Option<u32>) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Connections inherit it; set later, it would not bound the window.
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
