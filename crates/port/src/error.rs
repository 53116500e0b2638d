//! Error type of this crate.

use std::fmt;

use quick_error::quick_error;

/// Result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call to an external service, a runner or another instance.
pub struct Error {
    code: Box<Code>,
}

/// What an error implies about the effect of the call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// Nothing was sent: the call has not taken effect and never will.
    NotSent,
    /// The call may have taken effect, or may do so later.
    Unknown,
    /// The server refused the call.
    Refused,
    /// A runner refused the order because of its stale fencing token.
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
        TooLarge {
            display("answer is larger than the limit")
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
    /// Returns what the error implies about the effect of the call.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.code {
            Code::NotSent(_) => Category::NotSent,
            Code::Broken(_) | Code::Timeout | Code::TooLarge | Code::Malformed(_) => {
                Category::Unknown
            }
            Code::Status(status) if status >= 500 => Category::Unknown,
            Code::Status(_) => Category::Refused,
            Code::Stale => Category::Stale,
        }
    }

    /// Turns a `NotSent` error into one of category `Unknown` if an earlier attempt
    /// may have taken effect.
    pub(crate) fn or_unknown(self, may_have_applied: bool) -> Self {
        if may_have_applied && self.category() == Category::NotSent {
            return Code::Timeout.into();
        }
        self
    }

    /// Returns the HTTP status of the response, if the error has one.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match *self.code {
            Code::Status(status) => Some(status),
            _ => None,
        }
    }

    /// Whether the response is larger than the client's limit.
    #[must_use]
    pub fn is_too_large(&self) -> bool {
        matches!(*self.code, Code::TooLarge)
    }

    /// Makes the error of a call without a response, for stand-ins and tests.
    #[must_use]
    pub fn timeout() -> Self {
        Code::Timeout.into()
    }

    /// Makes the error of a call that was not sent.
    #[must_use]
    pub fn not_sent() -> Self {
        Code::NotSent("no connection".to_owned()).into()
    }

    /// Makes the error of an order that a runner refused for its stale fencing token, for
    /// stand-ins and tests.
    #[must_use]
    pub fn stale() -> Self {
        Code::Stale.into()
    }

    /// Makes the error of a response with the HTTP status `status`.
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
