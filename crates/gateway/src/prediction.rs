//! Tells from the time to first token whether a prompt was cached as predicted.

use std::time::Duration;

use strum::IntoStaticStr;

/// Least time that a cached prefix saves, above which it shows in the time to first token.
const MIN_SAVING: Duration = Duration::from_millis(30);

/// Predicted time to first token of a request with a cached prefix.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prediction {
    /// Tokens of the prompt that were expected to be cached.
    pub cached_tokens: u64,
    /// Time that they save.
    pub saving: Duration,
    /// Time to first token with this saving.
    pub first_token: Duration,
}

/// Whether a prompt was cached as predicted.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Nothing was expected to be cached.
    None,
    /// The first token came nearer to the time with the saving than to that without it.
    Right,
    /// It came nearer to the time without the saving.
    Wrong,
    /// The saving is too small to show, or the first token came so late that it has another
    /// cause.
    Unclear,
}

impl Prediction {
    /// Compares the prediction with the time after which the first token came.
    #[must_use]
    pub fn check(&self, elapsed: Duration) -> Outcome {
        if self.cached_tokens == 0 {
            return Outcome::None;
        }
        let delay = elapsed.saturating_sub(self.first_token);
        if self.saving < MIN_SAVING || delay > self.saving.mul_f64(1.5) {
            Outcome::Unclear
        } else if delay > self.saving / 2 {
            Outcome::Wrong
        } else {
            Outcome::Right
        }
    }
}
