//! Credentials of a request.

use std::{fmt, str};

use almondbank_wire::digest;

use crate::id;

/// Scheme of an `Authorization` header with a key (RFC 6750).
const SCHEME: &str = "bearer";

/// What a request states about its caller. Of a key, only the digest is kept.
#[derive(Clone, Default, Eq, PartialEq)]
pub enum Credential {
    /// The request has no key.
    #[default]
    Absent,
    /// Digest of the key.
    Key(id::KeyDigest),
    /// The request has several keys, or something that is no key.
    Malformed,
}

impl Credential {
    /// Parses the values of all `Authorization` headers of a request.
    #[must_use]
    pub fn parse<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::Absent,
            (Some(value), None) => {
                parse_value(value).map_or(Self::Malformed, |key| Self::Key(Self::digest(key)))
            }
            (Some(_), Some(_)) => Self::Malformed,
        }
    }

    /// Returns the digest of a key.
    #[must_use]
    pub fn digest(key: &str) -> id::KeyDigest {
        digest::sha256(key)
    }
}

// A digest would let weak keys be guessed from a log.
impl fmt::Debug for Credential {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Absent => "Absent",
            Self::Key(_) => "Key(..)",
            Self::Malformed => "Malformed",
        })
    }
}

fn parse_value(value: &[u8]) -> Option<&str> {
    let (scheme, key) = str::from_utf8(value).ok()?.split_once(' ')?;
    let key = key.trim_start_matches(' ');
    let is_key = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    (scheme.eq_ignore_ascii_case(SCHEME) && is_key).then_some(key)
}
