//! Replicas that take work, and the choice among them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use almondbank_control::demand::Target;
use almondbank_wire::{id, peer, rank};

use crate::prefix::Prefix;

/// Load above the mean at which a replica is passed over, in percent
/// (Mirrokni et al., "Consistent Hashing with Bounded Loads", SODA 2018).
const BOUND_PERCENT: u32 = 125;
const PERCENT: u32 = 100;
/// Replicas that one choice looks at.
const WINDOW: usize = 16;

/// One replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Id of the replica.
    pub replica: id::Replica,
    /// Runner that holds it.
    pub runner: id::Runner,
    /// Position of the runner in the table.
    pub position: usize,
    /// Whether it takes work.
    pub ready: bool,
    /// Estimated time until it does.
    pub ready_in: Duration,
    /// Adapters resident on it.
    pub adapters: Vec<id::Adapter>,
}

/// The leader's latest view of the shard.
#[derive(Debug, Default)]
pub struct Table {
    fencing: id::Fencing,
    sequence: u64,
    targets: BTreeMap<Target, Vec<Route>>,
    runners: Vec<Runner>,
    names: BTreeMap<id::Runner, usize>,
    positions: BTreeMap<id::Replica, usize>,
}

/// One runner, as this instance uses it.
#[derive(Clone, Debug, Default)]
pub struct Runner {
    /// Name.
    pub name: id::Runner,
    /// Requests that this instance may run on it.
    pub slots: u32,
    /// Requests of this instance at work on it, by rank.
    pub running: [u32; rank::ALL.len()],
    /// When it may get work again, after it was ejected.
    pub ejected_until: Option<Duration>,
    /// Targets with a ready replica on it.
    targets: Vec<Target>,
}

impl Runner {
    /// Requests at work and allowed.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running.iter().sum(),
            slots: self.slots,
        }
    }

    /// Whether it gets no work now.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}

/// Load of one runner at this instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests at work.
    pub running: u32,
    /// Requests allowed.
    pub slots: u32,
}

impl Table {
    /// Replaces the view unless it is older than the one held.
    ///
    /// Returns whether it was replaced.
    pub fn update(&mut self, routes: peer::Routes) -> bool {
        if (routes.fencing, routes.sequence) <= (self.fencing, self.sequence) {
            return false;
        }
        self.fencing = routes.fencing;
        self.sequence = routes.sequence;
        self.targets.clear();
        self.positions.clear();
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

    /// One replica of `target`.
    #[must_use]
    pub fn find(&self, target: &Target, replica: &str) -> Option<&Route> {
        let position = *self.positions.get(replica)?;
        let route = self.replicas(target).get(position)?;
        (route.replica == replica).then_some(route)
    }

    /// Targets with a ready replica on a runner.
    #[must_use]
    pub fn targets_on(&self, position: usize) -> &[Target] {
        &self.runners[position].targets
    }

    /// Number of runners that have been named.
    #[must_use]
    pub fn runner_count(&self) -> usize {
        self.runners.len()
    }

    /// Position of a runner; it does not change while the process lives.
    #[must_use]
    pub fn position(&self, runner: &str) -> Option<usize> {
        self.names.get(runner).copied()
    }

    /// The runner at a position.
    #[must_use]
    pub fn runner(&self, position: usize) -> &Runner {
        &self.runners[position]
    }

    /// The runner at a position, to be changed.
    pub fn runner_mut(&mut self, position: usize) -> &mut Runner {
        &mut self.runners[position]
    }

    /// Fencing number of the leader that the view is from.
    #[must_use]
    pub fn fencing(&self) -> id::Fencing {
        self.fencing
    }

    fn position_or_insert(&mut self, runner: &str) -> usize {
        if let Some(position) = self.names.get(runner) {
            return *position;
        }
        let position = self.runners.len();
        self.names.insert(runner.to_owned(), position);
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
        self.positions.insert(route.replica.clone(), replicas.len());
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

/// Replicas in groups to choose from one after another, beginning at a place
/// that the prompt's beginning gives.
///
/// A choice looks at one group as a rule, so that its cost does not grow with
/// the number of replicas, and equal beginnings see the same group.
pub fn windows<'a>(
    replicas: &'a [Route],
    prefix: &Prefix,
) -> impl Iterator<Item = impl Iterator<Item = &'a Route> + Clone> {
    let count = replicas.len();
    let start = usize::try_from(prefix.head() % (count.max(1) as u64)).unwrap_or(0);
    (0..count).step_by(WINDOW).map(move |offset| {
        let from = start + offset;
        let to = from + WINDOW.min(count - offset);
        (from..to).map(move |at| &replicas[at % count])
    })
}

/// Chooses among `candidates`, each a route and the load of its runner.
///
/// A replica that has seen the prompt's beginning goes first, then one on which
/// the adapter is resident. Otherwise rendezvous hashing sends equal beginnings
/// to the same replica from every instance, passing over replicas whose load is
/// well above the mean.
pub fn choose<'a>(
    candidates: impl Iterator<Item = (&'a Route, Load)> + Clone,
    prefix: &Prefix,
    seen_by: Option<&str>,
    adapter: Option<&str>,
) -> Option<&'a Route> {
    let (running, slots) = candidates
        .clone()
        .fold((0, 0), |(running, slots), (_, load)| {
            (running + load.running, slots + load.slots)
        });
    let limit = |load: Load| {
        let share = u64::from(running + 1) * u64::from(load.slots) * u64::from(BOUND_PERCENT);
        let mean = u64::from(slots.max(1)) * u64::from(PERCENT);
        u64::from(load.running) <= share.div_ceil(mean)
    };
    let resident = |route: &Route| {
        adapter.is_none_or(|adapter| route.adapters.iter().any(|known| known == adapter))
    };
    candidates
        .max_by_key(|(route, load)| {
            (
                limit(*load),
                seen_by == Some(route.replica.as_str()),
                resident(route),
                rendezvous(prefix.head(), &route.replica),
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
