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
    /// Prefill of the whole prompt without the saving.
    pub uncached: Duration,
    /// Time to first token with this saving, including the wait for other requests.
    pub first_token: Duration,
}

/// Whether a prompt was cached as predicted.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Nothing was expected to be cached.
    None,
    /// The first token came sooner than without the saving, or nearer to the time with it.
    Right,
    /// It came nearer to the time without the saving.
    Wrong,
    /// The saving is too small to show, or the wait for other requests was not as predicted.
    Unclear,
}

impl Prediction {
    /// Compares the prediction with the time after which the first token came.
    #[must_use]
    pub fn check(&self, elapsed: Duration) -> Outcome {
        if self.cached_tokens == 0 {
            return Outcome::None;
        }
        let half = self.saving / 2;
        let delay = elapsed.saturating_sub(self.first_token);
        let lead = self.first_token.saturating_sub(elapsed);
        if self.saving < MIN_SAVING {
            Outcome::Unclear
        } else if elapsed + half < self.uncached {
            Outcome::Right
        } else if delay > self.saving + half || lead > half {
            Outcome::Unclear
        } else if delay > half {
            Outcome::Wrong
        } else {
            Outcome::Right
        }
    }
}
