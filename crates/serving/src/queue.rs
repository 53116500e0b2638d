//! Queues of waiting requests, and the slots of running ones.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_control::audit;
use almondbank_control::demand::Target;
use almondbank_wire::rank::{self, Rank};
use almondbank_wire::{id, peer};
use tokio::sync::oneshot;

use crate::admission::{Permit, Request};
use crate::ejection::Ejections;
use crate::floors::Floors;
use crate::prefix;
use crate::routing::{self, Route, Runner, Table};

const BURST_DIVISOR: u32 = 4;
const HEADROOM_DIVISOR: u32 = 10;
const HEADROOM_MIN_SLOTS: u32 = 4;
const SERVICE_TIME_SMOOTHING: f64 = 8.0;

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) table: Table,
    pub(crate) queues: BTreeMap<Target, Queue>,
    pub(crate) floors: Floors,
    pub(crate) prefixes: prefix::Index,
    pub(crate) ejections: Ejections,
    pub(crate) sequence: u64,
    pub(crate) waiting: usize,
    pub(crate) waiting_bytes: usize,
}

#[derive(Debug, Default)]
pub(crate) struct Queue {
    pub(crate) ranks: [BTreeMap<Key, Waiter>; rank::ALL.len()],
    pub(crate) arrivals: u64,
    pub(crate) running: u64,
    /// Moving average of the time that a request occupies its slot, in seconds.
    pub(crate) service_time: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Key {
    deadline: Duration,
    sequence: u64,
}

#[derive(Debug)]
pub(crate) struct Waiter {
    request: Request,
    sender: oneshot::Sender<Permit>,
}

#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) replica: id::Replica,
    pub(crate) runner: id::Runner,
    pub(crate) position: usize,
    pub(crate) adapter_resident: bool,
    pub(crate) since: Duration,
}

/// A slot for a waiting request, to be sent to its task.
#[derive(Debug)]
pub(crate) struct Delivery {
    pub(crate) sender: oneshot::Sender<Permit>,
    pub(crate) slot: Slot,
    pub(crate) target: Target,
    pub(crate) rank: Rank,
}

pub(crate) enum Admission {
    Slot(Slot),
    Queued(Key, oneshot::Receiver<Permit>),
}

impl State {
    // Clones the target only if it has no queue yet.
    pub(crate) fn queue_mut(&mut self, target: &Target) -> &mut Queue {
        if !self.queues.contains_key(target) {
            self.queues.insert(target.clone(), Queue::default());
        }
        self.queues
            .get_mut(target)
            .expect("the queue was inserted above")
    }

    pub(crate) fn has_waiter_ahead(&self, request: &Request) -> bool {
        let Some(queue) = self.queues.get(&request.target) else {
            return false;
        };
        let more_urgent = &queue.ranks[..request.rank.index()];
        let own = &queue.ranks[request.rank.index()];
        more_urgent.iter().any(|waiters| !waiters.is_empty())
            || own
                .keys()
                .next()
                .is_some_and(|first| first.deadline <= request.deadline)
    }

    // The first rank may exceed the slots while the other ranks occupy more of
    // them than their floors, since runners execute by priority. The other ranks
    // leave some headroom for it unless they are below their floor.
    fn has_free_slot(&self, runner: &Runner, rank: Rank) -> bool {
        let load = runner.load();
        if rank == Rank::First {
            let less_urgent: u32 = runner.running[1..].iter().sum();
            let above_floor = less_urgent.saturating_sub(self.floor_slots(load.slots));
            let burst = (load.slots / BURST_DIVISOR).max(1).min(above_floor);
            return load.running < load.slots + burst;
        }
        let headroom = if self.floors.is_below(rank) {
            0
        } else if load.slots >= HEADROOM_MIN_SLOTS {
            (load.slots / HEADROOM_DIVISOR).max(1)
        } else {
            0
        };
        load.running < load.slots - headroom
    }

    // Slots guaranteed to the second and third rank together, rounded up.
    fn floor_slots(&self, slots: u32) -> u32 {
        let share = self.floors.share(Rank::Second) + self.floors.share(Rank::Third);
        let floor = (f64::from(slots) * share).ceil();
        (0..=slots)
            .find(|n| f64::from(*n) >= floor)
            .unwrap_or(slots)
    }

    // Takes a slot for the request, on the runner at position `only` if given.
    pub(crate) fn take_slot(
        &mut self,
        request: &Request,
        only: Option<usize>,
        now: Duration,
    ) -> Option<Slot> {
        let prefix_replica = self.prefixes.find(&request.prefix);
        let adapter = request.adapter.as_deref();
        let usable = |route: &&Route| {
            let runner = self.table.runner(route.position);
            route.ready
                && only.is_none_or(|position| route.position == position)
                && !runner.is_ejected(now)
                && self.has_free_slot(runner, request.rank)
        };
        let replicas = self.table.replicas(&request.target);
        let prefix_route =
            prefix_replica.and_then(|replica| self.table.find(&request.target, replica));
        let route = routing::windows(replicas, &request.prefix).find_map(|window| {
            let candidates = window
                .chain(prefix_route)
                .filter(usable)
                .map(|route| (route, self.table.runner(route.position).load()));
            routing::choose(candidates, &request.prefix, prefix_replica, adapter)
        })?;
        let is_resident = adapter.is_none_or(|name| route.adapters.iter().any(|a| a == name));
        let slot = Slot {
            replica: route.replica.clone(),
            runner: route.runner.clone(),
            position: route.position,
            adapter_resident: is_resident,
            since: now,
        };
        self.start(&slot, request, now);
        Some(slot)
    }

    fn start(&mut self, slot: &Slot, request: &Request, now: Duration) {
        let runner = self.table.runner_mut(slot.position);
        runner.running[request.rank.index()] += 1;
        self.floors.start(request.rank, now);
        self.prefixes.insert(&request.prefix, &slot.replica);
        if let Some(queue) = self.queues.get_mut(&request.target) {
            queue.running += 1;
        }
    }

    pub(crate) fn finish(&mut self, permit: &Permit, now: Duration) {
        let held = now.saturating_sub(permit.since);
        let runner = self.table.runner_mut(permit.position);
        let count = &mut runner.running[permit.rank.index()];
        *count = count.saturating_sub(1);
        self.floors.finish(permit.rank, held, now);
        if let Some(queue) = self.queues.get_mut(&permit.target) {
            queue.running = queue.running.saturating_sub(1);
            queue.service_time +=
                (held.as_secs_f64() - queue.service_time) / SERVICE_TIME_SMOOTHING;
        }
    }

    pub(crate) fn enqueue(&mut self, request: Request) -> Admission {
        self.sequence += 1;
        let key = Key {
            deadline: request.deadline,
            sequence: self.sequence,
        };
        let (sender, receiver) = oneshot::channel();
        self.waiting += 1;
        self.waiting_bytes += request.bytes;
        let queue = self.queues.entry(request.target.clone()).or_default();
        let waiters = &mut queue.ranks[request.rank.index()];
        waiters.insert(key, Waiter { request, sender });
        Admission::Queued(key, receiver)
    }

    pub(crate) fn remove(&mut self, target: &Target, rank: Rank, key: Key) -> Option<Waiter> {
        let queue = self.queues.get_mut(target)?;
        let waiter = queue.ranks[rank.index()].remove(&key)?;
        self.waiting -= 1;
        self.waiting_bytes -= waiter.request.bytes;
        Some(waiter)
    }

    // Queues of targets with replicas stay, to keep their mean service time.
    pub(crate) fn remove_unused(&mut self) {
        let table = &self.table;
        self.queues
            .retain(|target, queue| !queue.is_unused() || !table.replicas(target).is_empty());
    }

    pub(crate) fn dispatch_all(&mut self, now: Duration) -> Vec<Delivery> {
        (0..self.table.runner_count())
            .flat_map(|position| self.dispatch(position, now))
            .collect()
    }

    // Assigns the free slots of one runner to waiting requests of its targets.
    pub(crate) fn dispatch(&mut self, position: usize, now: Duration) -> Vec<Delivery> {
        let mut deliveries = Vec::new();
        while let Some(delivery) = self.dispatch_one(position, now) {
            deliveries.push(delivery);
        }
        deliveries
    }

    fn dispatch_one(&mut self, position: usize, now: Duration) -> Option<Delivery> {
        if self.waiting == 0 || self.table.runner(position).is_ejected(now) {
            return None;
        }
        self.floors.order().into_iter().find_map(|rank| {
            let (target, key) = self.first_waiter(position, rank)?;
            let request = self.queues[&target].ranks[rank.index()][&key]
                .request
                .clone();
            let slot = self.take_slot(&request, Some(position), now)?;
            let waiter = self.remove(&target, rank, key)?;
            Some(Delivery {
                sender: waiter.sender,
                slot,
                target,
                rank,
            })
        })
    }

    fn first_waiter(&self, position: usize, rank: Rank) -> Option<(Target, Key)> {
        self.table
            .targets_on(position)
            .iter()
            .filter_map(|target| {
                let queue = self.queues.get(target)?;
                let key = queue.ranks[rank.index()].keys().next()?;
                Some((target, *key))
            })
            .min_by_key(|(_, key)| *key)
            .map(|(target, key)| (target.clone(), key))
    }

    // Expected wait: the time until the first replica is ready, plus the time for
    // the requests ahead on all slots or, if less, for those of the same rank on
    // the slots of its floor. There is no estimate for a target without replicas.
    pub(crate) fn estimate_wait(&self, request: &Request) -> Option<Duration> {
        let replicas = self.table.replicas(&request.target);
        let ready_in = replicas
            .iter()
            .map(|route| {
                if route.ready {
                    Duration::ZERO
                } else {
                    route.ready_in
                }
            })
            .min()?;
        let queue = self.queues.get(&request.target)?;
        let slots: u32 = replicas
            .iter()
            .map(|route| self.table.runner(route.position).slots)
            .sum();
        let slots = f64::from(slots.max(1));
        let own = queue.length(request.rank);
        let ahead: f64 = rank::ALL[..=request.rank.index()]
            .iter()
            .map(|rank| queue.length(*rank))
            .sum();
        let share = self.floors.share(request.rank);
        let by_floor = if share > 0.0 {
            own / (slots * share)
        } else {
            f64::INFINITY
        };
        let rounds = (ahead / slots).min(by_floor);
        Some(ready_in + Duration::from_secs_f64(queue.service_time * rounds))
    }
}

impl Queue {
    fn length(&self, rank: Rank) -> f64 {
        let length = self.ranks[rank.index()].len();
        f64::from(u32::try_from(length).unwrap_or(u32::MAX))
    }

    fn is_unused(&self) -> bool {
        self.running == 0 && self.ranks.iter().all(BTreeMap::is_empty)
    }

    pub(crate) fn usage(&mut self, target: &Target, now: Duration) -> peer::Usage {
        let waiting = rank::ALL
            .iter()
            .filter_map(|rank| {
                let waiters = &self.ranks[rank.index()];
                let first = waiters.keys().next()?;
                Some(peer::Waiting {
                    rank: rank.number(),
                    count: u64::try_from(waiters.len()).unwrap_or(u64::MAX),
                    budget_ms: audit::millis(first.deadline.saturating_sub(now)),
                })
            })
            .collect();
        peer::Usage {
            model: target.model.clone(),
            version: target.version.clone(),
            arrivals: std::mem::take(&mut self.arrivals),
            running: self.running,
            waiting,
        }
    }
}
