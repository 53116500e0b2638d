//! What may have crashed a runner.

use almondbank_wire::{digest, mesh};

use crate::error::Code;
use crate::{Error, id};

/// Longest fingerprint or part id that is kept as it is, or that another instance may send, in
/// bytes.
const MAX_ID_BYTES: usize = 128;

/// What may have crashed a runner: a request, which may come again, or a part of its prompt,
/// which other requests share.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Suspect {
    /// A request.
    Request(id::Fingerprint),
    /// A shared part of prompts.
    Part(id::Part),
}

impl Suspect {
    /// The part of a prompt with this id, or with a digest of the id if that is long.
    #[must_use]
    pub fn part(id: &str) -> Self {
        if id.len() <= MAX_ID_BYTES {
            return Self::Part(id.to_owned());
        }
        Self::Part(digest::sha256(id))
    }

    /// Whether it is a request.
    #[must_use]
    pub fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl TryFrom<&mesh::Suspect> for Suspect {
    type Error = Error;

    fn try_from(suspect: &mesh::Suspect) -> Result<Self, Error> {
        let (mesh::Suspect::Request(id) | mesh::Suspect::Part(id)) = suspect;
        if id.len() > MAX_ID_BYTES {
            return Err(Code::Malformed("id of a suspect is too long".to_owned()).into());
        }
        Ok(match suspect {
            mesh::Suspect::Request(fingerprint) => Self::Request(fingerprint.clone()),
            mesh::Suspect::Part(part) => Self::Part(part.clone()),
        })
    }
}

impl From<&Suspect> for mesh::Suspect {
    fn from(suspect: &Suspect) -> Self {
        match suspect {
            Suspect::Request(fingerprint) => Self::Request(fingerprint.clone()),
            Suspect::Part(part) => Self::Part(part.clone()),
        }
    }
}
