//! Failures as callers see them, in the shape of RFC 9457.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use crate::generated::peer::Run;

/// Stable code of a failure.
#[derive(
    Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The request body is longer than allowed.
    BodyTooLarge,
    /// No bearer key, or one that the document does not know.
    UnknownKey,
    /// The caller has no grant for the target.
    NotGranted,
    /// No such model, adapter, service or call.
    NotFound,
    /// A call that may not be repeated carries no idempotency key.
    KeyMissing,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The ticket is older than keys are kept.
    TicketExpired,
    /// The incarnation that holds the execution right cannot be asked.
    HolderUnreachable,
    /// The queue of this instance is full.
    QueueFull,
    /// The work cannot start before its deadline.
    Deadline,
    /// No document is in force yet.
    NoDocument,
    /// The instance is shutting down.
    Leaving,
    /// No back end could be reached.
    Unreachable,
    /// The back end broke off or fell silent after the request may have reached it.
    BackendLost,
    /// The table service is down and the request needs it.
    TableDown,
    /// Another operator's change came first.
    Conflict,
    /// The document has mistakes.
    InvalidDocument,
}

impl Code {
    /// HTTP status of the failure.
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

    /// How long the caller should wait before it tries again, if that helps.
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

/// A failure: what went wrong, and whether the work ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Stable code.
    pub code: Code,
    /// Whether the work ran.
    pub run: Run,
    /// Explanation for people.
    pub detail: String,
}

/// Body of a problem answer (RFC 9457), media type `application/problem+json`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Body {
    /// Always `about:blank`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The code in words.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Explanation for people.
    pub detail: String,
    /// Stable code.
    pub code: String,
    /// Whether the work ran.
    pub run: Run,
}

impl Problem {
    /// A failure of work that no back end has seen or will ever see.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            run: Run::NotRun,
            detail: detail.into(),
        }
    }

    /// A failure of work that may or may not have run.
    pub fn unknown(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            run: Run::Unknown,
            detail: detail.into(),
        }
    }

    /// The body that is sent.
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
