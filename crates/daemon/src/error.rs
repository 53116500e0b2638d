//! The error of this package.

use std::fmt;
use std::net::SocketAddr;

use quick_error::quick_error;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A daemon that could not start, or a peer connection that failed.
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
            display("cannot set up metrics: {}", reason)
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
        Closed {
            display("the peer closed the connection")
        }
        Silent {
            display("the peer fell silent")
        }
        Unexpected {
            display("the peer sent an unexpected message")
        }
        Secret {
            display("the peer does not know the secret")
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
