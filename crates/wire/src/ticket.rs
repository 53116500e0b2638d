//! Execution tickets, which bind a call to the incarnation that may run it.

use std::fmt;
use std::time::Duration;

use crate::error::Code;
use crate::{Error, id};

const SEPARATOR: char = '.';

/// The right to run a call, bound to one incarnation of one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The only incarnation that may run the call.
    pub incarnation: id::Incarnation,
    /// Uptime of the incarnation when it issued the ticket, on its own clock.
    pub issued: Duration,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let issued = self.issued.as_millis();
        write!(f, "{}{SEPARATOR}{issued}", self.incarnation)
    }
}

impl TryFrom<&str> for Ticket {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        let (incarnation, issued) = text.rsplit_once(SEPARATOR).ok_or(Code::Ticket)?;
        let issued_ms = issued.parse().map_err(|_| Code::Ticket)?;
        if incarnation.is_empty() || incarnation.len() > 128 {
            return Err(Code::Ticket.into());
        }
        Ok(Self {
            incarnation: incarnation.to_owned(),
            issued: Duration::from_millis(issued_ms),
        })
    }
}
