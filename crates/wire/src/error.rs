//! Error type of this crate.

use std::fmt;

use quick_error::quick_error;

use crate::finding;

/// Result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error while encoding, decoding or validating a message, a document or settings.
pub struct Error {
    code: Box<Code>,
}

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The input is not well-formed YAML, CBOR or JSON.
    Syntax,
    /// The input is well-formed, but a value is not valid.
    Data,
}

quick_error! {
    #[derive(Debug)]
    pub enum Code {
        Yaml(reason: String) {
            display("not YAML: {}", reason)
        }
        Cbor(reason: String) {
            display("not a message: {}", reason)
        }
        Json(source: serde_json::Error) {
            source(source)
            display("not the expected JSON: {}", source)
        }
        Findings(findings: Vec<finding::Finding>) {
            display("{} mistakes", findings.len())
        }
        Rank(value: u64) {
            display("{} is not a rank from 1 to 3", value)
        }
        Ticket {
            display("not an execution ticket")
        }
        Digest {
            display("not 64 hexadecimal digits")
        }
    }
}

impl Error {
    /// Returns the category of the error.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.code {
            Code::Yaml(_) | Code::Cbor(_) | Code::Json(_) => Category::Syntax,
            Code::Findings(_) | Code::Rank(_) | Code::Ticket | Code::Digest => Category::Data,
        }
    }

    /// Returns the validation errors, each with its path; empty for other errors.
    #[must_use]
    pub fn findings(&self) -> &[finding::Finding] {
        match &*self.code {
            Code::Findings(findings) => findings,
            _ => &[],
        }
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
        fmt::Display::fmt(&self.code, f)?;
        for finding in self.findings() {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        std::error::Error::source(&*self.code)
    }
}
