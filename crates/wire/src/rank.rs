//! Priority classes of requests.

use strum::{Display, EnumIter};

use crate::Error;
use crate::error::Code;

/// Priority of a request; `First` is the most urgent.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Rank {
    /// Bookings, confirmations and chat.
    First,
    /// Pairings and assessments.
    Second,
    /// Processing of long files.
    Third,
}

/// All ranks, the most urgent first.
pub const ALL: [Rank; 3] = [Rank::First, Rank::Second, Rank::Third];

impl Rank {
    /// Index of the rank in [`ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }

    /// Number of the rank in documents and messages, from 1 to 3.
    #[must_use]
    pub fn number(self) -> u8 {
        self as u8 + 1
    }
}

impl TryFrom<u8> for Rank {
    type Error = Error;

    fn try_from(number: u8) -> Result<Self, Error> {
        match number {
            1 => Ok(Self::First),
            2 => Ok(Self::Second),
            3 => Ok(Self::Third),
            other => Err(Code::Rank(u64::from(other)).into()),
        }
    }
}
