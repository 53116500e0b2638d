//! Problem details for HTTP APIs (RFC 9457), as returned to callers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use crate::generated::peer::Run;

/// Machine-readable problem code; the snake-case name is part of the API.
#[derive(
    Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The request body exceeds the configured limit.
    BodyTooLarge,
    /// The bearer key is missing or not listed in the document.
    UnknownKey,
    /// The caller has no grant for the requested model, adapter or service.
    NotGranted,
    /// The requested model, adapter, service or call does not exist.
    NotFound,
    /// A call that is not idempotent has no idempotency key.
    KeyMissing,
    /// The idempotency key was already used with a different body.
    KeyReused,
    /// The execution ticket is older than the retention time of idempotency keys.
    TicketExpired,
    /// The incarnation that alone may run the call is unreachable.
    HolderUnreachable,
    /// The queue of this instance is full.
    QueueFull,
    /// The request cannot start before its deadline.
    Deadline,
    /// The instance has no active document yet.
    NoDocument,
    /// The instance is shutting down.
    Leaving,
    /// No back end accepted a connection.
    Unreachable,
    /// The connection to the back end broke or timed out after the request may
    /// have reached it.
    BackendLost,
    /// The request needs the table service, which is unavailable.
    TableDown,
    /// Another change was committed first.
    Conflict,
    /// The document failed validation.
    InvalidDocument,
}

impl Code {
    /// HTTP status code of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyMissing => 400,
            Self::UnknownKey => 401,
            Self::NotGranted => 403,
            Self::NotFound => 404,
            Self::Conflict => 409,
            Self::BodyTooLarge => 413,
            Self::KeyReused | Self::InvalidDocument | Self::TicketExpired => 422,
            Self::QueueFull => 429,
            Self::BackendLost | Self::HolderUnreachable => 502,
            Self::NoDocument | Self::Leaving | Self::Unreachable | Self::TableDown => 503,
            Self::Deadline => 504,
        }
    }

    /// Delay before a retry, for the `Retry-After` header; `None` if a retry
    /// does not help.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::QueueFull | Self::NoDocument | Self::Leaving | Self::Unreachable => {
                Some(Duration::from_secs(1))
            }
            Self::TableDown | Self::Deadline => Some(Duration::from_secs(5)),
            _ => None,
        }
    }
}

/// A failed request, with the reason and whether the request was executed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Machine-readable problem code.
    pub code: Code,
    /// Whether the request was executed.
    pub run: Run,
    /// Human-readable explanation.
    pub detail: String,
}

/// Body of a problem response (RFC 9457), media type `application/problem+json`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Body {
    /// Always `about:blank`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The code with spaces in place of underscores.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Human-readable explanation.
    pub detail: String,
    /// Machine-readable problem code.
    pub code: String,
    /// Whether the request was executed.
    pub run: Run,
}

impl Problem {
    /// Makes a problem for a request that no back end has received or will receive.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            run: Run::NotRun,
            detail: detail.into(),
        }
    }

    /// Makes a problem for a request that may have been executed.
    pub fn unknown(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            run: Run::Unknown,
            detail: detail.into(),
        }
    }

    /// Converts the problem to its response body.
    #[must_use]
    pub fn body(&self) -> Body {
        Body {
            kind: "about:blank".to_owned(),
            title: self.code.to_string().replace('_', " "),
            status: self.code.status(),
            detail: self.detail.clone(),
            code: self.code.to_string(),
            run: self.run,
        }
    }
}
