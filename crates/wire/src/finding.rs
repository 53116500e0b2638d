//! A validation error in a document or in settings.

use std::fmt;

/// A validation error and the path of the invalid field.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// JSON Pointer (RFC 6901) of the field, for example `/models/0/bytes`.
    pub path: String,
    /// Reason why the field is invalid.
    pub reason: String,
}

impl Finding {
    /// Makes a finding for the field at `path`.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "/"
        } else {
            &self.path
        };
        write!(f, "{path}: {}", self.reason)
    }
}
