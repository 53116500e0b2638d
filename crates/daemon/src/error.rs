//! Error and result types.

use std::fmt;
use std::net::SocketAddr;

use quick_error::quick_error;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Failure to start the daemon, or of a peer connection.
pub struct Error {
    code: Box<Code>,
}

quick_error! {
    #[derive(Debug)]
    pub enum Code {
        Bind(address: SocketAddr, source: std::io::Error) {
            source(source)
            display("cannot listen on {}: {}", address, source)
        }
        Metrics(reason: String) {
            display("failed to set up metrics: {}", reason)
        }
        Socket(source: Box<tokio_tungstenite::tungstenite::Error>) {
            source(source)
            display("peer connection failed: {}", source)
        }
        Port(source: almondbank_port::Error) {
            source(source)
            display("{}", source)
            from()
        }
        Connect {
            display("failed to connect to the peer")
        }
        Timeout {
            display("the peer connection timed out")
        }
        Unexpected {
            display("the peer sent a message of an unexpected kind")
        }
        Authentication {
            display("the peer's proof does not match peer_secret")
        }
    }
}

impl<T: Into<Code>> From<T> for Error {
    fn from(code: T) -> Self {
        Self {
            code: Box::new(code.into()),
        }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.code, f)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.code, f)
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        std::error::Error::source(&*self.code)
    }
}
