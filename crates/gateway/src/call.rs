//! A request in the words of the system, whatever protocol it came by.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::id;

/// Model that a request asks for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Target {
    /// Model.
    pub model: id::Model,
    /// Adapter of the model, if the request wants one.
    pub adapter: Option<id::Adapter>,
}

/// One part of a prompt; requests with equal ids share the part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Id of the part.
    pub id: String,
    /// Its tokens.
    pub tokens: u64,
}

/// Leading parts of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Block {
    /// Hash of the parts up to this one.
    pub hash: id::Prefix,
    /// Tokens of this part.
    pub tokens: u64,
}

/// What decides about a request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the attempt.
    pub attempt: id::Attempt,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Model, for a request of an engine.
    pub target: Option<Target>,
    /// Prompt in order.
    pub parts: Vec<Part>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Longest answer, in tokens.
    pub max_output_tokens: u64,
    /// Time that the caller will wait.
    pub timeout: Option<Duration>,
    /// Last event that the caller has already, if it resumes a stream.
    pub resume_after: Option<u64>,
}

impl Call {
    /// The leading parts of the prompt, shortest first.
    #[must_use]
    pub fn blocks(&self) -> Vec<Block> {
        let mut hasher = DefaultHasher::new();
        if let Some(target) = &self.target {
            target.model.hash(&mut hasher);
            target.adapter.hash(&mut hasher);
        }
        self.parts
            .iter()
            .map(|part| {
                part.id.hash(&mut hasher);
                Block {
                    hash: hasher.finish(),
                    tokens: part.tokens,
                }
            })
            .collect()
    }

    /// A number that is equal for equal attempts.
    #[must_use]
    pub fn seed(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.attempt.hash(&mut hasher);
        hasher.finish()
    }
}
