//! Error type of this package.

use std::fmt;

use almondbank_port as port;
use almondbank_wire as wire;
use quick_error::quick_error;
use strum::Display;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call to a peer, a runner or the store.
pub struct Error {
    code: Box<Code>,
}

/// Effect that a failed call may have had.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Category {
    /// No byte was sent.
    NotSent,
    /// The call may have had an effect.
    Unknown,
    /// The other side refused the call.
    Refused,
    /// The requested revision is no longer available.
    HistoryLost,
    /// The received data is malformed.
    Data,
}

quick_error! {
    #[derive(Debug)]
    pub enum Code {
        Port(source: port::Error) {
            source(source)
            display("{}", source)
            from()
        }
        Wire(source: wire::Error) {
            source(source)
            display("{}", source)
            from()
        }
        Connect(reason: String) {
            display("could not connect: {}", reason)
        }
        Broken(reason: String) {
            display("connection broke: {}", reason)
        }
        Timeout {
            display("no answer in time")
        }
        HistoryLost {
            display("the history asked for is no longer kept")
        }
        Malformed(reason: String) {
            display("not understood: {}", reason)
        }
        Status(status: u16) {
            display("refused with status {}", status)
        }
    }
}

impl Error {
    /// Returns the effect that the failed call may have had.
    #[must_use]
    pub fn category(&self) -> Category {
        match &*self.code {
            Code::Port(source) => match source.category() {
                port::Category::NotSent => Category::NotSent,
                port::Category::Unknown => Category::Unknown,
                port::Category::Refused | port::Category::Stale => Category::Refused,
            },
            Code::Connect(_) => Category::NotSent,
            Code::Broken(_) | Code::Timeout => Category::Unknown,
            Code::HistoryLost => Category::HistoryLost,
            Code::Status(_) => Category::Refused,
            Code::Wire(_) | Code::Malformed(_) => Category::Data,
        }
    }

    /// Whether a response is larger than the limit.
    #[must_use]
    pub fn is_too_large(&self) -> bool {
        matches!(&*self.code, Code::Port(source) if source.is_too_large())
    }

    /// Creates the error for malformed data.
    pub fn malformed(reason: impl fmt::Display) -> Self {
        Code::Malformed(reason.to_string()).into()
    }

    /// Creates the error for a revision that is no longer available.
    #[must_use]
    pub fn history_lost() -> Self {
        Code::HistoryLost.into()
    }

    /// Creates the error for a refusal with an HTTP status.
    #[must_use]
    pub fn status(status: u16) -> Self {
        Code::Status(status).into()
    }

    /// Returns the HTTP status of a refusal, if the error is one.
    #[must_use]
    pub fn refusal(&self) -> Option<u16> {
        match *self.code {
            Code::Status(status) => Some(status),
            _ => None,
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

impl std::error::Error for Error {}
