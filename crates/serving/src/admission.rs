//! Holds requests until a runner has room for them.
//!
//! Each target has a queue for each rank, ordered by deadline. A request leaves
//! its queue with a [`Permit`] for a slot, or with a refusal at its deadline at
//! the latest.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::demand::Target;
use almondbank_port::clock::Clock;
use almondbank_wire::problem::{Code, Problem};
use almondbank_wire::rank::{self, Rank};
use almondbank_wire::{id, peer};
use parking_lot::Mutex;

use crate::prefix::Prefix;
use crate::queue::{Delivery, Entry, Place, Slot, State};
use crate::routing;

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
pub struct Controller {
    clock: Arc<dyn Clock>,
    limits: Limits,
    state: Mutex<State>,
}

/// The right to run one request on one replica, until dropped.
#[derive(Debug)]
pub struct Permit {
    controller: Arc<Controller>,
    pub(crate) target: Target,
    pub(crate) rank: Rank,
    pub(crate) since: Duration,
    /// Replica that the request runs on.
    pub replica: id::Replica,
    /// Runner that holds it.
    pub runner: id::Runner,
    pub(crate) position: usize,
    /// Whether the requested adapter was resident on it.
    pub adapter_resident: bool,
}

impl Controller {
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
            controller: self,
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

    /// Gives out slots that became usable by the passing of time, as when an
    /// ejection has ended.
    pub fn refresh(self: &Arc<Self>) {
        let now = self.clock.now();
        let deliveries = self.state.lock().dispatch_all(now);
        self.deliver(deliveries);
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

    /// Fencing number of the leader that the routes are from.
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

    /// Whether the leader sees one replica, taking work or not.
    #[must_use]
    pub fn has_route(&self, target: &Target, replica: &str) -> bool {
        self.state.lock().table.find(target, replica).is_some()
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
            controller: Arc::clone(self),
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

// Takes the request out of its queue when the wait ends in any way, also when
// the caller goes away.
struct Waiting<'a> {
    controller: &'a Controller,
    target: &'a Target,
    rank: Rank,
    place: Place,
}

impl Waiting<'_> {
    fn leave(&self) {
        let mut state = self.controller.state.lock();
        state.remove(self.target, self.rank, self.place);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.leave();
    }
}

impl Permit {
    /// Model version that it is for.
    #[must_use]
    pub fn target(&self) -> &Target {
        &self.target
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let controller = Arc::clone(&self.controller);
        controller.release(self);
    }
}
