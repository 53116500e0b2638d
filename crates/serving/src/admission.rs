//! Queues requests until a runner has a free slot.
//!
//! Each target has one queue per rank, ordered by deadline. A request leaves its
//! queue with a [`Permit`] for a slot, or is refused when its deadline passes.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::demand::Target;
use almondbank_port::clock::Clock;
use almondbank_wire::problem::{Code, Problem};
use almondbank_wire::rank::{self, Rank};
use almondbank_wire::{id, peer};
use parking_lot::Mutex;

use crate::prefix::Prefix;
use crate::queue::{Admission, Delivery, Key, Slot, State};
use crate::routing;

/// Limits on the waiting requests of all queues.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of requests.
    pub requests: usize,
    /// Maximum total length of the request bodies, in bytes.
    pub bytes: usize,
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// Model version that it is for.
    pub target: Target,
    /// Adapter to apply to the model, if any.
    pub adapter: Option<id::Adapter>,
    /// Urgency of the request.
    pub rank: Rank,
    /// Time on the injected clock by which it must start.
    pub deadline: Duration,
    /// Length of the request body, in bytes.
    pub bytes: usize,
    /// Prefix hashes of its prompt.
    pub prefix: Prefix,
}

/// Admission controller of this instance.
#[derive(Debug)]
pub struct Controller {
    clock: Arc<dyn Clock>,
    limits: Limits,
    state: Mutex<State>,
}

/// Permission to run one request on one replica; the slot is freed on drop.
#[derive(Debug)]
pub struct Permit {
    controller: Arc<Controller>,
    pub(crate) target: Target,
    pub(crate) rank: Rank,
    pub(crate) since: Duration,
    /// Replica that the request runs on.
    pub replica: id::Replica,
    /// Runner that hosts the replica.
    pub runner: id::Runner,
    pub(crate) position: usize,
    /// Whether the requested adapter was resident on the replica.
    pub adapter_resident: bool,
}

impl Controller {
    /// Creates a controller without routes.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, limits: Limits) -> Self {
        Self {
            clock,
            limits,
            state: Mutex::default(),
        }
    }

    /// Replaces the routes and credits if `routes` is newer; returns whether it was.
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

    /// Sets the minimum share of each rank, in percent.
    pub fn set_floors(&self, percent: [u8; rank::ALL.len()]) {
        self.state.lock().floors.set(percent);
    }

    /// Waits for a free slot.
    ///
    /// # Errors
    ///
    /// Fails at once if the queue is full or the expected start is after the
    /// deadline, and at the deadline if no slot became free.
    pub async fn admit(self: &Arc<Self>, request: Request) -> Result<Permit, Problem> {
        let target = request.target.clone();
        let rank = request.rank;
        let deadline = request.deadline;
        let (key, mut receiver) = match self.admit_or_enqueue(request)? {
            Admission::Slot(slot) => return Ok(self.permit(slot, target, rank)),
            Admission::Queued(key, receiver) => (key, receiver),
        };
        let guard = QueueGuard {
            controller: self,
            target: &target,
            rank,
            key,
        };
        let wait = deadline.saturating_sub(self.clock.now());
        let permit = tokio::select! {
            permit = &mut receiver => permit.ok(),
            () = self.clock.sleep(wait) => {
                guard.remove();
                receiver.try_recv().ok()
            }
        };
        drop(guard);
        permit.ok_or_else(|| {
            Problem::not_run(Code::Deadline, "no runner had room before the deadline")
        })
    }

    /// Records whether `runner` responded, for outlier ejection.
    pub fn record(&self, runner: &str, responded: bool) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if responded {
            state.ejections.record_success(runner);
            if let Some(position) = state.table.position(runner) {
                state.table.runner_mut(position).ejected_until = None;
            }
        } else {
            let total = state.table.runner_count();
            let until = state.ejections.record_failure(runner, total, now);
            if let Some(position) = state.table.position(runner) {
                state.table.runner_mut(position).ejected_until = until;
            }
        }
    }

    /// Assigns slots that became usable without an event, such as those of a runner
    /// whose ejection has ended.
    pub fn refresh(self: &Arc<Self>) {
        let now = self.clock.now();
        let deliveries = self.state.lock().dispatch_all(now);
        self.deliver(deliveries);
    }

    /// Usage of each target, with the arrivals since the previous call.
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
        state.remove_unused();
        usage
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.lock().waiting
    }

    /// Number of requests running on runners.
    #[must_use]
    pub fn running(&self) -> u64 {
        self.state.lock().queues.values().map(|q| q.running).sum()
    }

    /// Fencing token of the leader that sent the routes.
    #[must_use]
    pub fn fencing(&self) -> id::Fencing {
        self.state.lock().table.fencing()
    }

    /// The route to one replica, if it is known.
    #[must_use]
    pub fn route(&self, target: &Target, replica: &str) -> Option<routing::Route> {
        let state = self.state.lock();
        state.table.find(target, replica).cloned()
    }

    /// Whether the leader's routes include the replica, ready or not.
    #[must_use]
    pub fn has_route(&self, target: &Target, replica: &str) -> bool {
        self.state.lock().table.find(target, replica).is_some()
    }

    /// Number of ready replicas of `target`.
    #[must_use]
    pub fn ready(&self, target: &Target) -> usize {
        let state = self.state.lock();
        let replicas = state.table.replicas(target);
        replicas.iter().filter(|route| route.ready).count()
    }

    fn admit_or_enqueue(&self, request: Request) -> Result<Admission, Problem> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.queue_mut(&request.target).arrivals += 1;
        if request.deadline <= now {
            return Err(Problem::not_run(Code::Deadline, "the deadline has passed"));
        }
        if !state.has_waiter_ahead(&request)
            && let Some(slot) = state.take_slot(&request, None, now)
        {
            return Ok(Admission::Slot(slot));
        }
        let is_full = state.waiting >= self.limits.requests
            || state.waiting_bytes + request.bytes > self.limits.bytes;
        if is_full {
            return Err(Problem::not_run(Code::QueueFull, "the queue is full"));
        }
        let wait = state.estimate_wait(&request);
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

    // Sends outside the lock: a permit whose receiver is gone is dropped, which
    // takes the lock again.
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

// Removes the request from its queue when the wait ends for any reason, including
// that the caller disconnects.
struct QueueGuard<'a> {
    controller: &'a Controller,
    target: &'a Target,
    rank: Rank,
    key: Key,
}

impl QueueGuard<'_> {
    fn remove(&self) {
        let mut state = self.controller.state.lock();
        state.remove(self.target, self.rank, self.key);
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.remove();
    }
}

impl Permit {
    /// Model version that the permit is for.
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
