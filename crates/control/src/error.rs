//! Error type of this crate.

use std::fmt;

use almondbank_port as platform;
use almondbank_wire as wire;
use quick_error::quick_error;

/// Result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Failure of an operation of this crate.
pub struct Error {
    code: Box<Code>,
}

/// Kind of a failure, which decides how it is handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// A platform service failed; a retry may succeed.
    Platform,
    /// A concurrent change was accepted first.
    Conflict,
    /// The input is invalid.
    Data,
    /// This instance does not hold the shard's lease.
    NotLeader,
}

quick_error! {
    #[derive(Debug)]
    pub enum Code {
        Platform(source: platform::Error) {
            source(source)
            display("{}", source)
            from()
        }
        Wire(source: wire::Error) {
            source(source)
            display("{}", source)
            from()
        }
        Row(key: String, source: serde_json::Error) {
            source(source)
            display("row {} is malformed: {}", key, source)
        }
        Conflict(revision: u64, actor: String) {
            display("revision {} by {} came first", revision, actor)
        }
        Environment(found: String, expected: String) {
            display("the document is for {}, not {}", found, expected)
        }
        Missing(what: String) {
            display("{} does not exist", what)
        }
        LeaseLost {
            display("the lease was lost")
        }
    }
}

impl Error {
    /// Kind of the failure.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.code {
            Code::Platform(_) => Category::Platform,
            Code::Conflict(..) => Category::Conflict,
            Code::Wire(_) | Code::Row(..) | Code::Environment(..) | Code::Missing(_) => {
                Category::Data
            }
            Code::LeaseLost => Category::NotLeader,
        }
    }

    /// Revision that was accepted instead, after a conflict.
    #[must_use]
    pub fn winner(&self) -> Option<u64> {
        match *self.code {
            Code::Conflict(revision, _) => Some(revision),
            _ => None,
        }
    }

    /// Validation errors of a document, each with its path.
    #[must_use]
    pub fn findings(&self) -> &[wire::Finding] {
        match &*self.code {
            Code::Wire(error) => error.findings(),
            _ => &[],
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
