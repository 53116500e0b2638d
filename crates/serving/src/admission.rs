//! Holds requests until a runner has room for them.
//!
//! Each target has a queue for each rank, ordered by deadline. A request leaves
//! its queue with a [`Permit`] for a slot, or with a refusal at its deadline at
//! the latest.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondbank_control::audit;
use almondbank_control::demand::Target;
use almondbank_platform::clock::Clock;
use almondbank_wire::problem::{Code, Problem};
use almondbank_wire::rank::{self, Rank};
use almondbank_wire::{id, peer};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::ejection::Ejections;
use crate::floors::Floors;
use crate::prefix::{self, Prefix};
use crate::routing::{self, Route, Runner, Table};

const OVERDRAFT_DIVISOR: u32 = 4;
const HEADROOM_DIVISOR: u32 = 10;
const HEADROOM_MIN_SLOTS: u32 = 4;
const SERVICE_SMOOTHING: f64 = 8.0;

/// Bounds of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests that wait at once.
    pub requests: usize,
    /// Bytes of the requests that wait at once.
    pub bytes: usize,
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// Model version.
    pub target: Target,
    /// Adapter on top of it.
    pub adapter: Option<id::Adapter>,
    /// Rank.
    pub rank: Rank,
    /// Time on the injected clock by which it must start.
    pub deadline: Duration,
    /// Length of its body, in bytes.
    pub bytes: usize,
    /// Beginning of its prompt.
    pub prefix: Prefix,
}

/// Admission of requests at this instance.
#[derive(Debug)]
pub struct Gate {
    clock: Arc<dyn Clock>,
    limits: Limits,
    state: Mutex<State>,
}

/// The right to run one request on one replica, until dropped.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    target: Target,
    rank: Rank,
    since: Duration,
    /// Replica that the request runs on.
    pub replica: id::Replica,
    /// Runner that holds it.
    pub runner: id::Runner,
    position: usize,
    /// Whether the requested adapter was resident on it.
    pub adapter_resident: bool,
}

#[derive(Debug, Default)]
struct State {
    table: Table,
    queues: BTreeMap<Target, Queue>,
    floors: Floors,
    prefixes: prefix::Memory,
    ejections: Ejections,
    sequence: u64,
    waiting: usize,
    waiting_bytes: usize,
}

#[derive(Debug, Default)]
struct Queue {
    ranks: [BTreeMap<Place, Waiter>; rank::ALL.len()],
    arrivals: u64,
    running: u64,
    service: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    deadline: Duration,
    sequence: u64,
}

#[derive(Debug)]
struct Waiter {
    request: Request,
    sender: oneshot::Sender<Permit>,
}

#[derive(Debug)]
struct Slot {
    replica: id::Replica,
    runner: id::Runner,
    position: usize,
    adapter_resident: bool,
    since: Duration,
}

#[derive(Debug)]
struct Delivery {
    sender: oneshot::Sender<Permit>,
    slot: Slot,
    target: Target,
    rank: Rank,
}

impl Gate {
    /// Makes a gate without routes.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, limits: Limits) -> Self {
        Self {
            clock,
            limits,
            state: Mutex::default(),
        }
    }

    /// Replaces the routes and credits unless they are older than those held.
    pub fn update(self: &Arc<Self>, routes: peer::Routes) -> bool {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let replaced = state.table.update(routes);
        let deliveries = if replaced {
            state.dispatch_all(now)
        } else {
            Vec::new()
        };
        drop(state);
        self.deliver(deliveries);
        replaced
    }

    /// Sets the floors of the ranks, in percent.
    pub fn set_floors(&self, percent: [u8; rank::ALL.len()]) {
        self.state.lock().floors.set(percent);
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Refuses at once if the queue is full or the start would come too late,
    /// and at the deadline if there was no slot.
    pub async fn admit(self: &Arc<Self>, request: Request) -> Result<Permit, Problem> {
        let target = request.target.clone();
        let rank = request.rank;
        let deadline = request.deadline;
        let (place, mut receiver) = match self.enter(request)? {
            Entry::Slot(slot) => return Ok(self.permit(slot, target, rank)),
            Entry::Queued(place, receiver) => (place, receiver),
        };
        let waiting = Waiting {
            gate: self,
            target: &target,
            rank,
            place,
        };
        let wait = deadline.saturating_sub(self.clock.now());
        let permit = tokio::select! {
            permit = &mut receiver => permit.ok(),
            () = self.clock.sleep(wait) => {
                waiting.leave();
                receiver.try_recv().ok()
            }
        };
        drop(waiting);
        permit.ok_or_else(|| {
            Problem::not_run(Code::Deadline, "no runner had room before the deadline")
        })
    }

    /// Records whether `runner` answered.
    pub fn record(&self, runner: &str, answered: bool) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if answered {
            state.ejections.succeeded(runner);
            if let Some(position) = state.table.position(runner) {
                state.table.runner_mut(position).ejected_until = None;
            }
        } else {
            let total = state.table.runner_count();
            let until = state.ejections.failed(runner, total, now);
            if let Some(position) = state.table.position(runner) {
                state.table.runner_mut(position).ejected_until = until;
            }
        }
    }

    /// Usage of each target since the last call.
    #[must_use]
    pub fn usage(&self) -> Vec<peer::Usage> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let usage = state
            .queues
            .iter_mut()
            .map(|(target, queue)| queue.usage(target, now))
            .filter(|usage| usage.arrivals > 0 || usage.running > 0 || !usage.waiting.is_empty())
            .collect();
        state.forget_unused();
        usage
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.lock().waiting
    }

    /// Requests at runners.
    #[must_use]
    pub fn running(&self) -> u64 {
        self.state.lock().queues.values().map(|q| q.running).sum()
    }

    /// Fencing number of the keeper that the routes are from.
    #[must_use]
    pub fn fencing(&self) -> id::Fencing {
        self.state.lock().table.fencing()
    }

    /// Route to one replica.
    #[must_use]
    pub fn route(&self, target: &Target, replica: &str) -> Option<routing::Route> {
        let state = self.state.lock();
        state.table.find(target, replica).cloned()
    }

    /// Replicas of `target` that take work.
    #[must_use]
    pub fn ready(&self, target: &Target) -> usize {
        let state = self.state.lock();
        let replicas = state.table.replicas(target);
        replicas.iter().filter(|route| route.ready).count()
    }

    fn enter(&self, request: Request) -> Result<Entry, Problem> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.queue_mut(&request.target).arrivals += 1;
        if request.deadline <= now {
            return Err(Problem::not_run(Code::Deadline, "the deadline has passed"));
        }
        if !state.has_waiter_before(&request)
            && let Some(slot) = state.place(&request, None, now)
        {
            return Ok(Entry::Slot(slot));
        }
        let full = state.waiting >= self.limits.requests
            || state.waiting_bytes + request.bytes > self.limits.bytes;
        if full {
            return Err(Problem::not_run(Code::QueueFull, "the queue is full"));
        }
        let wait = state.predict(&request);
        if wait.is_some_and(|wait| now + wait > request.deadline) {
            return Err(Problem::not_run(
                Code::Deadline,
                "the work could not start before the deadline",
            ));
        }
        Ok(state.enqueue(request))
    }

    fn permit(self: &Arc<Self>, slot: Slot, target: Target, rank: Rank) -> Permit {
        Permit {
            gate: Arc::clone(self),
            target,
            rank,
            since: slot.since,
            replica: slot.replica,
            runner: slot.runner,
            position: slot.position,
            adapter_resident: slot.adapter_resident,
        }
    }

    // Sends outside the lock: a permit whose receiver is gone is dropped, and
    // that takes the lock again.
    fn deliver(self: &Arc<Self>, deliveries: Vec<Delivery>) {
        for delivery in deliveries {
            let permit = self.permit(delivery.slot, delivery.target, delivery.rank);
            drop(delivery.sender.send(permit));
        }
    }

    fn release(self: &Arc<Self>, permit: &Permit) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.finish(permit, now);
        let deliveries = state.dispatch(permit.position, now);
        drop(state);
        self.deliver(deliveries);
    }
}

enum Entry {
    Slot(Slot),
    Queued(Place, oneshot::Receiver<Permit>),
}

// Takes the request out of its queue when the wait ends in any way, also when
// the caller goes away.
struct Waiting<'a> {
    gate: &'a Gate,
    target: &'a Target,
    rank: Rank,
    place: Place,
}

impl Waiting<'_> {
    fn leave(&self) {
        let mut state = self.gate.state.lock();
        state.remove(self.target, self.rank, self.place);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.leave();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let gate = Arc::clone(&self.gate);
        gate.release(self);
    }
}

impl State {
    // Copies the name only for a target that is new.
    fn queue_mut(&mut self, target: &Target) -> &mut Queue {
        if !self.queues.contains_key(target) {
            self.queues.insert(target.clone(), Queue::default());
        }
        self.queues.get_mut(target).expect("it was just inserted")
    }

    fn has_waiter_before(&self, request: &Request) -> bool {
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

    // The most urgent rank may overdraw while less urgent work holds more slots
    // than its floors, since runners honour priorities; less urgent ranks leave
    // it some headroom unless they are below their floor.
    fn has_room(&self, runner: &Runner, rank: Rank) -> bool {
        let load = runner.load();
        if rank == Rank::First {
            let lower: u32 = runner.running[1..].iter().sum();
            let beyond = lower.saturating_sub(self.floor_slots(load.slots));
            let overdraft = (load.slots / OVERDRAFT_DIVISOR).max(1).min(beyond);
            return load.running < load.slots + overdraft;
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

    // Slots that the floors of the less urgent ranks come to, rounded up.
    fn floor_slots(&self, slots: u32) -> u32 {
        let share = self.floors.share(Rank::Second) + self.floors.share(Rank::Third);
        let floor = (f64::from(slots) * share).ceil();
        (0..=slots)
            .find(|n| f64::from(*n) >= floor)
            .unwrap_or(slots)
    }

    // Takes a slot for the request, on `only` if that is given.
    fn place(&mut self, request: &Request, only: Option<usize>, now: Duration) -> Option<Slot> {
        let seen_by = self.prefixes.find(&request.prefix);
        let adapter = request.adapter.as_deref();
        let usable = |route: &&Route| {
            let runner = self.table.runner(route.position);
            route.ready
                && only.is_none_or(|position| route.position == position)
                && !runner.is_ejected(now)
                && self.has_room(runner, request.rank)
        };
        let replicas = self.table.replicas(&request.target);
        let seen = seen_by.and_then(|replica| self.table.find(&request.target, replica));
        let route = routing::windows(replicas, &request.prefix).find_map(|window| {
            let candidates = window
                .chain(seen)
                .filter(usable)
                .map(|route| (route, self.table.runner(route.position).load()));
            routing::choose(candidates, &request.prefix, seen_by, adapter)
        })?;
        let resident = adapter.is_none_or(|name| route.adapters.iter().any(|a| a == name));
        let slot = Slot {
            replica: route.replica.clone(),
            runner: route.runner.clone(),
            position: route.position,
            adapter_resident: resident,
            since: now,
        };
        self.start(&slot, request, now);
        Some(slot)
    }

    fn start(&mut self, slot: &Slot, request: &Request, now: Duration) {
        let runner = self.table.runner_mut(slot.position);
        runner.running[request.rank.index()] += 1;
        self.floors.start(request.rank, now);
        self.prefixes.note(&request.prefix, &slot.replica);
        if let Some(queue) = self.queues.get_mut(&request.target) {
            queue.running += 1;
        }
    }

    fn finish(&mut self, permit: &Permit, now: Duration) {
        let held = now.saturating_sub(permit.since);
        let runner = self.table.runner_mut(permit.position);
        let count = &mut runner.running[permit.rank.index()];
        *count = count.saturating_sub(1);
        self.floors.finish(permit.rank, held, now);
        if let Some(queue) = self.queues.get_mut(&permit.target) {
            queue.running = queue.running.saturating_sub(1);
            queue.service += (held.as_secs_f64() - queue.service) / SERVICE_SMOOTHING;
        }
    }

    fn enqueue(&mut self, request: Request) -> Entry {
        self.sequence += 1;
        let place = Place {
            deadline: request.deadline,
            sequence: self.sequence,
        };
        let (sender, receiver) = oneshot::channel();
        self.waiting += 1;
        self.waiting_bytes += request.bytes;
        let queue = self.queues.entry(request.target.clone()).or_default();
        let waiters = &mut queue.ranks[request.rank.index()];
        waiters.insert(place, Waiter { request, sender });
        Entry::Queued(place, receiver)
    }

    fn remove(&mut self, target: &Target, rank: Rank, place: Place) -> Option<Waiter> {
        let queue = self.queues.get_mut(target)?;
        let waiter = queue.ranks[rank.index()].remove(&place)?;
        self.waiting -= 1;
        self.waiting_bytes -= waiter.request.bytes;
        Some(waiter)
    }

    // A target with replicas keeps its measured service time.
    fn forget_unused(&mut self) {
        let table = &self.table;
        self.queues
            .retain(|target, queue| !queue.is_unused() || !table.replicas(target).is_empty());
    }

    fn dispatch_all(&mut self, now: Duration) -> Vec<Delivery> {
        (0..self.table.runner_count())
            .flat_map(|position| self.dispatch(position, now))
            .collect()
    }

    // Fills the free slots of one runner from the queues of its targets.
    fn dispatch(&mut self, position: usize, now: Duration) -> Vec<Delivery> {
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
            let (target, place) = self.first_waiter(position, rank)?;
            let request = self.queues[&target].ranks[rank.index()][&place]
                .request
                .clone();
            let slot = self.place(&request, Some(position), now)?;
            let waiter = self.remove(&target, rank, place)?;
            Some(Delivery {
                sender: waiter.sender,
                slot,
                target,
                rank,
            })
        })
    }

    fn first_waiter(&self, position: usize, rank: Rank) -> Option<(Target, Place)> {
        self.table
            .targets_on(position)
            .iter()
            .filter_map(|target| {
                let queue = self.queues.get(target)?;
                let place = queue.ranks[rank.index()].keys().next()?;
                Some((target, *place))
            })
            .min_by_key(|(_, place)| *place)
            .map(|(target, place)| (target.clone(), place))
    }

    // Expected wait: the work ahead, spread over the slots, after the first
    // replica is ready; or only that of the own rank, spread over the slots that
    // its floor comes to, if that is less. Nothing is predicted for a target
    // without replicas.
    fn predict(&self, request: &Request) -> Option<Duration> {
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
        let turns = (ahead / slots).min(by_floor);
        Some(ready_in + Duration::from_secs_f64(queue.service * turns))
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

    fn usage(&mut self, target: &Target, now: Duration) -> peer::Usage {
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
