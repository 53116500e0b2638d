//! Socket options of all connections.

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

/// Connects within `timeout`; data that is not acknowledged for `silence`
/// breaks the connection.
///
/// # Errors
///
/// Fails with `NotSent` if there is no connection in time.
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
    silence: Duration,
) -> Result<TcpStream> {
    let stream = time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| Code::Connect("timeout".to_owned()))?
        .map_err(|error| Code::Connect(error.to_string()))?;
    configure(&stream, silence).map_err(|error| Code::Connect(error.to_string()))?;
    Ok(stream)
}

/// Sets the options of an accepted or made connection.
///
/// # Errors
///
/// Fails if the system refuses an option.
pub fn configure(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(silence))
}

/// Listens on `address`, also if connections of an earlier run linger.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
