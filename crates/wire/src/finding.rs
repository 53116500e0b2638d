//! One mistake in a document or in settings.

use std::fmt;

/// One mistake, with the path of the field that holds it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Path of the field, for example `/models/0/bytes`.
    pub path: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Finding {
    /// Makes a finding about the field at `path`.
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
