//! The error of this package.

use std::fmt;

use quick_error::quick_error;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call to something outside the system.
pub struct Error {
    code: Box<Code>,
}

/// What a failure says about the call's effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// No byte of the call left: it had no effect and never will.
    NotSent,
    /// The call may or may not have taken effect, or may do so later.
    Unknown,
    /// The other side refused the call.
    Refused,
    /// A runner refused the order because its fencing number is old.
    Stale,
}

quick_error! {
    #[derive(Debug)]
    pub enum Code {
        NotSent(reason: String) {
            display("could not connect: {}", reason)
        }
        Broken(reason: String) {
            display("connection broke before the answer: {}", reason)
        }
        Timeout {
            display("no answer in time")
        }
        Status(status: u16) {
            display("refused with status {}", status)
        }
        Stale {
            display("fencing number is old")
        }
        Malformed(reason: String) {
            display("answer not understood: {}", reason)
        }
    }
}

impl Error {
    /// What the failure says about the call's effect.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.code {
            Code::NotSent(_) => Category::NotSent,
            Code::Broken(_) | Code::Timeout | Code::Malformed(_) => Category::Unknown,
            Code::Status(status) if status >= 500 => Category::Unknown,
            Code::Status(_) => Category::Refused,
            Code::Stale => Category::Stale,
        }
    }

    /// Turns a failure into one of unknown effect if an earlier attempt left doubt.
    pub(crate) fn doubt(self, doubtful: bool) -> Self {
        if doubtful && self.category() == Category::NotSent {
            return Code::Timeout.into();
        }
        self
    }

    /// HTTP status of the refusal, if there was one.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match *self.code {
            Code::Status(status) => Some(status),
            _ => None,
        }
    }

    /// Makes the error of a call that had no answer; for stand-ins and tests.
    #[must_use]
    pub fn timeout() -> Self {
        Code::Timeout.into()
    }

    /// Makes the error of a call that never left; for stand-ins and tests.
    #[must_use]
    pub fn not_sent() -> Self {
        Code::NotSent("no connection".to_owned()).into()
    }

    /// Makes the error of a runner that refused an old fencing number.
    #[must_use]
    pub fn stale() -> Self {
        Code::Stale.into()
    }

    /// Makes the error of a refusal with an HTTP status.
    #[must_use]
    pub fn refused(status: u16) -> Self {
        Code::Status(status).into()
    }
}

impl From<Code> for Error {
    fn from(code: Code) -> Self {
        Self {
            code: Box::new(code),
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
