//! Tests for what the time to first token tells of a predicted prefix.

use std::time::Duration;

use almondbank_gateway::prediction::{Outcome, Prediction};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const CACHED: Prediction = Prediction {
    cached_tokens: 6_300,
    saving: ms(160),
    uncached: ms(230),
    first_token: ms(90),
};

// Load: shared prefixes of 6,300 tokens that save 160 ms. Guards against wrong predictions that
// an operator doesn't see, and against slow responses that are counted as such.
#[test]
fn a_prefix_that_was_prefilled_again_shows_in_the_first_token() {
    assert_eq!(CACHED.check(ms(60)), Outcome::Right);
    assert_eq!(CACHED.check(ms(160)), Outcome::Right);
    assert_eq!(CACHED.check(ms(180)), Outcome::Wrong);
    assert_eq!(CACHED.check(ms(260)), Outcome::Wrong);
    assert_eq!(CACHED.check(ms(900)), Outcome::Unclear);
}

// Load: deployments without shared prompts, or with short ones. Guards against predictions that
// are counted as right although nothing could have shown them wrong.
#[test]
fn small_savings_show_nothing() {
    let small = Prediction {
        cached_tokens: 500,
        saving: ms(12),
        uncached: ms(230),
        first_token: ms(90),
    };
    assert_eq!(small.check(ms(60)), Outcome::Unclear);
    let none = Prediction::default();
    assert_eq!(none.check(ms(60)), Outcome::None);
}

// Load: queues that are shorter than the reports of the peers say. Guards against predictions
// that are counted as right because the wait was overestimated by more than the saving.
#[test]
fn a_first_token_before_its_time_shows_only_what_the_prefill_rules_out() {
    let queued = Prediction {
        first_token: ms(490),
        ..CACHED
    };
    assert_eq!(queued.check(ms(100)), Outcome::Right);
    assert_eq!(queued.check(ms(300)), Outcome::Unclear);
    assert_eq!(queued.check(ms(480)), Outcome::Right);
    assert_eq!(queued.check(ms(600)), Outcome::Wrong);
}
