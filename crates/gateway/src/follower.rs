//! Which instances follow the registrations in the store.
//!
//! Answers the price of calls to the store: a few instances read its feed and
//! pass changes on, and every instance knows from the others' reports whether it
//! is one of them. An instance that hears of too few followers becomes one.

use crate::id;

/// Instances that follow beside the leader where all are linked with all.
const FOLLOWERS: usize = 3;
/// The same in each data centre where these are linked by speakers only, so that
/// changes do not depend on a speaker.
const HIERARCHICAL_FOLLOWERS: usize = 1;
/// Instances of a data centre that follow the environment there; where all are
/// linked with all, each follows it.
const ENVIRONMENT_FOLLOWERS: usize = 3;

/// Whether the instance `own` follows the store, given the live others that do
/// beside the leader and that it hears from directly.
#[must_use]
pub fn is_follower<'a>(
    own: &str,
    is_leader: bool,
    is_hierarchical: bool,
    followers: impl Iterator<Item = &'a id::Instance>,
) -> bool {
    let enough = if is_hierarchical {
        HIERARCHICAL_FOLLOWERS
    } else {
        FOLLOWERS
    };
    is_leader || followers.filter(|name| name.as_str() < own).count() < enough
}

/// The same for the environment, which changes rarely, where data centres are
/// linked by speakers; `live` are the live others of the data centre.
#[must_use]
pub fn follows_environment<'a>(own: &str, live: impl Iterator<Item = &'a id::Instance>) -> bool {
    live.filter(|name| name.as_str() < own).count() < ENVIRONMENT_FOLLOWERS
}
