//! The error of this package.

use std::fmt;

use almondbank_port as port;
use almondbank_wire as wire;
use quick_error::quick_error;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A failed exchange with something outside the instance.
pub struct Error {
    code: Box<Code>,
}

/// What a failure says about the exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// No byte left.
    NotSent,
    /// It may have had an effect.
    Unknown,
    /// The other side refused it.
    Refused,
    /// The history asked for is no longer kept.
    HistoryLost,
    /// The bytes make no sense.
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
    /// What the failure says about the exchange.
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

    /// Makes the error of bytes that make no sense.
    pub fn malformed(reason: impl fmt::Display) -> Self {
        Code::Malformed(reason.to_string()).into()
    }

    /// Makes the error of a history that is no longer kept.
    #[must_use]
    pub fn history_lost() -> Self {
        Code::HistoryLost.into()
    }

    /// Makes the error of a refusal with an HTTP status.
    #[must_use]
    pub fn status(status: u16) -> Self {
        Code::Status(status).into()
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
