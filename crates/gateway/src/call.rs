//! A caller's request, independent of its protocol.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::tenant::Credential;
use crate::{id, prompt};

/// Most parts of a prompt that are listed in a log line.
const MAX_LISTED_PARTS: usize = 32;
/// Longest id of a part that is listed in a log line, in bytes.
const MAX_LISTED_ID_BYTES: usize = 128;

/// Model and adapter that a request is for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Target {
    /// Base model.
    pub model: id::Model,
    /// Adapter of the model, if the request names one.
    pub adapter: Option<id::Adapter>,
}

/// A part of a prompt, identified by the prefix of the prompt that ends with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Block {
    /// Hash of the model, the adapter and all parts up to this one.
    pub hash: id::Prefix,
    /// Length of this part, in tokens.
    pub tokens: u64,
}

/// Properties of a request that routing depends on.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id that the caller gave this attempt.
    pub attempt: id::Attempt,
    /// Host in lower case, without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Model and adapter, if the request is for an engine.
    pub target: Option<Target>,
    /// Parts of the prompt, in order.
    pub parts: prompt::Parts,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the output, in tokens.
    pub max_output_tokens: u64,
    /// Whether the request states these numbers of tokens.
    pub has_token_usage: bool,
    /// Time that the caller waits for a response, if it states one.
    pub timeout: Option<Duration>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Id of the attempt that got the first event of that stream, if the caller names it.
    pub resumes: Option<id::Attempt>,
    /// Incarnation of the instance that has handed the request over, if one has.
    pub handed_over_by: Option<id::Incarnation>,
    /// What the request states about its caller.
    pub credential: Credential,
    /// Name of the tenant, if that instance has authenticated the caller.
    pub tenant: Option<id::Tenant>,
    /// The only software version at which it may run, if that instance names one.
    pub software: Option<id::Software>,
}

impl Call {
    /// Returns the blocks of the prompt, in order.
    #[must_use]
    pub fn blocks(&self) -> Vec<Block> {
        let mut hasher = DefaultHasher::new();
        if let Some(target) = &self.target {
            target.model.hash(&mut hasher);
            target.adapter.hash(&mut hasher);
        }
        let mut blocks = Vec::with_capacity(self.parts.iter().count());
        blocks.extend(self.parts.iter().map(|part| {
            part.id.hash(&mut hasher);
            Block {
                hash: hasher.finish(),
                tokens: part.tokens,
            }
        }));
        blocks
    }

    /// Returns the ids of the parts that other requests may share: all but the last, which
    /// belongs to this request or its session.
    pub fn shared_parts(&self) -> impl Iterator<Item = &str> {
        self.parts.shared().map(|part| part.id)
    }

    /// Returns some of these ids for a log line. Callers choose the ids, so their number and
    /// length are limited.
    #[must_use]
    pub fn listed_parts(&self) -> String {
        let ids = self.shared_parts().take(MAX_LISTED_PARTS);
        let ids: Vec<_> = ids.filter(|id| id.len() <= MAX_LISTED_ID_BYTES).collect();
        ids.join(",")
    }

    /// Returns a hash of the attempt id, for the choice of a service.
    #[must_use]
    pub fn seed(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.attempt.hash(&mut hasher);
        hasher.finish()
    }
}
