//! Selection of the followers, the instances that read the store's feeds.
//!
//! To limit the number of calls to the store, a few instances read its feeds and
//! forward the changes to the others. Each instance decides from the status of the
//! others whether it is a follower: it is one if fewer than the required number of
//! instances with lower ids are followers.

use crate::id;

/// Number of followers besides the leader in a full mesh.
const FOLLOWERS: usize = 3;
/// Number of followers in each data centre of a hierarchical topology, where each data
/// centre has its own followers so that changes do not depend on a delegate.
const FOLLOWERS_PER_DATA_CENTRE: usize = 1;
/// Number of instances of each data centre that follow the environment in a
/// hierarchical topology. In a full mesh, all do.
const ENVIRONMENT_FOLLOWERS: usize = 3;

/// Whether the instance `own` is to follow the registrations. `followers` are
/// the other live followers, except the leader, that report to it directly.
#[must_use]
pub fn is_follower<'a>(
    own: &str,
    is_leader: bool,
    is_hierarchical: bool,
    followers: impl Iterator<Item = &'a id::Instance>,
) -> bool {
    let enough = if is_hierarchical {
        FOLLOWERS_PER_DATA_CENTRE
    } else {
        FOLLOWERS
    };
    is_leader || followers.filter(|name| name.as_str() < own).count() < enough
}

/// Whether the instance `own` is to follow the environment in a hierarchical
/// topology. `live` are the other live instances of its data centre.
#[must_use]
pub fn follows_environment<'a>(own: &str, live: impl Iterator<Item = &'a id::Instance>) -> bool {
    live.filter(|name| name.as_str() < own).count() < ENVIRONMENT_FOLLOWERS
}
