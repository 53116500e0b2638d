//! Which instances follow the registrations in the store.
//!
//! Answers the price of calls to the store: a few instances read its feed and
//! pass changes on, and every instance knows from the others' reports whether it
//! is one of them. An instance that hears of too few followers becomes one.

use crate::id;

/// Instances that follow beside the keeper.
const FOLLOWERS: usize = 2;

/// Whether the instance `own` follows the store, given the live others that do.
#[must_use]
pub fn is_follower<'a>(
    own: &str,
    is_keeper: bool,
    followers: impl Iterator<Item = &'a id::Instance>,
) -> bool {
    is_keeper || followers.filter(|name| name.as_str() < own).count() < FOLLOWERS
}
