//! Routes to replicas, and the choice among them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use almondbank_control::demand::Target;
use almondbank_wire::{id, peer, rank};

use crate::prefix::Prefix;

/// Load relative to the mean up to which a replica is preferred, in percent
/// (Mirrokni et al., "Consistent Hashing with Bounded Loads", SODA 2018).
const MAX_LOAD_PERCENT: u32 = 125;
const PERCENT: u32 = 100;
/// Number of replicas considered in one choice.
const WINDOW_SIZE: usize = 16;

/// Route to one replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Id of the replica.
    pub replica: id::Replica,
    /// Runner that hosts it.
    pub runner: id::Runner,
    /// Position of the runner in the table.
    pub position: usize,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Estimated time until it is ready.
    pub ready_in: Duration,
    /// Adapters resident on it.
    pub adapters: Vec<id::Adapter>,
}

/// Routes and credits of the shard, as last received from the leader.
#[derive(Debug, Default)]
pub struct Table {
    fencing: id::Fencing,
    sequence: u64,
    targets: BTreeMap<Target, Vec<Route>>,
    runners: Vec<Runner>,
    runner_positions: BTreeMap<id::Runner, usize>,
    replica_positions: BTreeMap<id::Replica, usize>,
}

/// A runner and this instance's load on it.
#[derive(Clone, Debug, Default)]
pub struct Runner {
    /// Name of the runner.
    pub name: id::Runner,
    /// Requests that this instance may run on it.
    pub slots: u32,
    /// Requests of this instance that run on it, by rank.
    pub running: [u32; rank::ALL.len()],
    /// End of its ejection, if it was ejected since its last response; may have passed.
    pub ejected_until: Option<Duration>,
    /// Targets with a ready replica on it.
    targets: Vec<Target>,
}

impl Runner {
    /// Number of running requests and of slots.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running.iter().sum(),
            slots: self.slots,
        }
    }

    /// Whether it is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}

/// Load of this instance on one runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that run on it.
    pub running: u32,
    /// Requests that this instance may run on it.
    pub slots: u32,
}

impl Table {
    /// Replaces the routes and credits if `routes` is newer.
    ///
    /// Returns whether they were replaced.
    pub fn update(&mut self, routes: peer::Routes) -> bool {
        if (routes.fencing, routes.sequence) <= (self.fencing, self.sequence) {
            return false;
        }
        self.fencing = routes.fencing;
        self.sequence = routes.sequence;
        self.targets.clear();
        self.replica_positions.clear();
        for runner in &mut self.runners {
            runner.slots = 0;
            runner.targets.clear();
        }
        for credit in routes.credits {
            let position = self.position_or_insert(&credit.runner);
            self.runners[position].slots = credit.slots;
        }
        for route in routes.replicas {
            self.insert(route);
        }
        true
    }

    /// Replicas of `target`, ready or not.
    #[must_use]
    pub fn replicas(&self, target: &Target) -> &[Route] {
        self.targets.get(target).map_or(&[], Vec::as_slice)
    }

    /// The route to one replica of `target`.
    #[must_use]
    pub fn find(&self, target: &Target, replica: &str) -> Option<&Route> {
        let position = *self.replica_positions.get(replica)?;
        let route = self.replicas(target).get(position)?;
        (route.replica == replica).then_some(route)
    }

    /// Targets with a ready replica on the runner at `position`.
    #[must_use]
    pub fn targets_on(&self, position: usize) -> &[Target] {
        &self.runners[position].targets
    }

    /// Number of runners known since the process started.
    #[must_use]
    pub fn runner_count(&self) -> usize {
        self.runners.len()
    }

    /// Position of a runner; it stays the same until the process ends.
    #[must_use]
    pub fn position(&self, runner: &str) -> Option<usize> {
        self.runner_positions.get(runner).copied()
    }

    /// The runner at `position`.
    #[must_use]
    pub fn runner(&self, position: usize) -> &Runner {
        &self.runners[position]
    }

    /// The runner at `position`, mutably.
    pub fn runner_mut(&mut self, position: usize) -> &mut Runner {
        &mut self.runners[position]
    }

    /// Fencing token of the leader that sent the routes.
    #[must_use]
    pub fn fencing(&self) -> id::Fencing {
        self.fencing
    }

    fn position_or_insert(&mut self, runner: &str) -> usize {
        if let Some(position) = self.runner_positions.get(runner) {
            return *position;
        }
        let position = self.runners.len();
        self.runner_positions.insert(runner.to_owned(), position);
        self.runners.push(Runner {
            name: runner.to_owned(),
            ..Runner::default()
        });
        position
    }

    fn insert(&mut self, route: peer::Route) {
        let position = self.position_or_insert(&route.runner);
        let target = Target {
            model: route.model,
            version: route.version,
        };
        if route.ready {
            self.runners[position].targets.push(target.clone());
        }
        let replicas = self.targets.entry(target).or_default();
        self.replica_positions
            .insert(route.replica.clone(), replicas.len());
        replicas.push(Route {
            replica: route.replica,
            runner: route.runner,
            position,
            ready: route.ready,
            ready_in: Duration::from_millis(route.ready_in_ms),
            adapters: route.adapters,
        });
    }
}

/// Splits the replicas into windows to be tried in order, starting at an offset
/// that depends on the prompt prefix.
///
/// A choice usually considers one window only, so its cost does not grow with the
/// number of replicas, and equal prefixes start with the same window.
pub fn windows<'a>(
    replicas: &'a [Route],
    prefix: &Prefix,
) -> impl Iterator<Item = impl Iterator<Item = &'a Route> + Clone> {
    let count = replicas.len();
    let start = usize::try_from(prefix.first_hash() % (count.max(1) as u64)).unwrap_or(0);
    (0..count).step_by(WINDOW_SIZE).map(move |offset| {
        let first = start + offset;
        let end = first + WINDOW_SIZE.min(count - offset);
        (first..end).map(move |at| &replicas[at % count])
    })
}

/// Chooses among `candidates`, each a route and the load of its runner.
///
/// Prefers replicas whose load is not far above the mean; among those, the one
/// that has processed the prompt prefix, then those on which the adapter is
/// resident. Otherwise rendezvous hashing makes every instance send equal
/// prefixes to the same replica.
pub fn choose<'a>(
    candidates: impl Iterator<Item = (&'a Route, Load)> + Clone,
    prefix: &Prefix,
    prefix_replica: Option<&str>,
    adapter: Option<&str>,
) -> Option<&'a Route> {
    let (running, slots) = candidates
        .clone()
        .fold((0, 0), |(running, slots), (_, load)| {
            (running + load.running, slots + load.slots)
        });
    let is_within_limit = |load: Load| {
        let scaled_limit =
            u64::from(running + 1) * u64::from(load.slots) * u64::from(MAX_LOAD_PERCENT);
        let scale = u64::from(slots.max(1)) * u64::from(PERCENT);
        u64::from(load.running) <= scaled_limit.div_ceil(scale)
    };
    let has_adapter = |route: &Route| {
        adapter.is_none_or(|adapter| route.adapters.iter().any(|resident| resident == adapter))
    };
    candidates
        .max_by_key(|(route, load)| {
            (
                is_within_limit(*load),
                prefix_replica == Some(route.replica.as_str()),
                has_adapter(route),
                rendezvous(prefix.first_hash(), &route.replica),
            )
        })
        .map(|(route, _)| route)
}

fn rendezvous(prefix: u64, replica: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prefix.hash(&mut hasher);
    replica.hash(&mut hasher);
    hasher.finish()
}
