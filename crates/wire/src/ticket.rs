//! Execution tickets, which bind a call to the incarnation that may run it.

use std::fmt;
use std::time::Duration;

use percent_encoding::{AsciiSet, CONTROLS, percent_decode_str, utf8_percent_encode};

use crate::error::Code;
use crate::{Error, id};

const SEPARATOR: char = '.';
/// What is encoded in an incarnation, as a ticket is sent in a header with a slash behind it.
const ENCODED: &AsciiSet = &CONTROLS.add(b' ').add(b'%').add(b'/');

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
        let incarnation = utf8_percent_encode(&self.incarnation, ENCODED);
        write!(f, "{incarnation}{SEPARATOR}{issued}")
    }
}

impl TryFrom<&str> for Ticket {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        let (incarnation, issued) = text.rsplit_once(SEPARATOR).ok_or(Code::Ticket)?;
        let issued_ms = issued.parse().map_err(|_| Code::Ticket)?;
        let decoded = percent_decode_str(incarnation).decode_utf8();
        let incarnation = decoded.map_err(|_| Code::Ticket)?;
        if incarnation.is_empty() || incarnation.len() > 128 {
            return Err(Code::Ticket.into());
        }
        Ok(Self {
            incarnation: incarnation.into_owned(),
            issued: Duration::from_millis(issued_ms),
        })
    }
}
