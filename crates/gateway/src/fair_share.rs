//! Fair shares of the slots between tenants that compete for too little capacity.
//!
//! The requests that all instances have in flight or waiting for one model, by tenant and rank,
//! divide the slots of its replicas max-min: each tenant gets what it wants up to a common
//! level, higher ranks first. A tenant that wants no more than its share is sent at once. The
//! share of one that wants more is divided among the instances by what the tenant wants at
//! each, so that late reports do not let all of them take the same slot.

mod claim;
mod decision;
mod own;
mod peers;
mod place;
mod share;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;
use tokio::sync::Notify;

pub use claim::{Claim, Scope};
pub use decision::{Basis, Decision, Verdict};
pub use place::Place;
pub use share::{Want, part, shares};

use crate::id;
use own::Own;
use peers::{Others, Peers};
use place::State;

/// Largest number of claims in one report.
pub const MAX_REPORTED: usize = 64;
/// Largest number of claims of this instance that hold only refused requests. Those beyond it
/// are not remembered.
const MAX_REFUSED_CLAIMS: usize = 1_024;
/// Time for which the claims of the peers and the capacity are not computed again.
const VIEW_TTL: Duration = Duration::from_millis(100);
/// One more request is sent for each this many slots, to queue at the runners. Otherwise freed
/// slots stay unused until the next report.
const SLOTS_PER_QUEUED: u64 = 10;
/// Time after which another order of the tenants gets the slots that do not divide evenly.
/// More tenants than slots are served in turn.
const ROTATION: Duration = Duration::from_secs(2);
/// Longest wait for a slot. Waiting requests take up memory, and a caller that is refused may
/// find a slot elsewhere.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Shortest and longest retry delay. Longer ones are not predictable.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Claims of all tenants at all instances.
#[derive(Debug)]
pub struct Tracker {
    instance: id::Instance,
    inner: Mutex<Inner>,
    /// Notified when a request ends for which others may wait.
    ended: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    own: BTreeMap<Claim, Own>,
    peers: Peers,
    views: BTreeMap<Scope, View>,
    next_ticket: u64,
    cleaned_at: Duration,
}

/// What the peers claim of one scope, and its capacity.
#[derive(Debug)]
struct View {
    at: Duration,
    /// Requests that the replicas run or may queue.
    capacity: u64,
    /// Counted when a decision first depends on it.
    free: Option<Free>,
    others: BTreeMap<(u8, id::Tenant), Others>,
    /// Number of the claims with unserved requests, counted for each report.
    contenders: u64,
    /// Age of the oldest report that was used.
    oldest: Duration,
}

/// Free slots at the time of a view.
#[derive(Clone, Copy, Debug)]
struct Free {
    slots: u64,
    /// Requests that this instance had in flight then.
    own: u64,
}

/// What a decision depends on besides the claims. The functions are called only if it does.
#[derive(Clone, Copy, Debug)]
pub struct Room<Capacity, Free> {
    /// Slots of the replicas that could serve the request.
    pub capacity: Capacity,
    /// Those of them that are free by the last reports.
    pub free: Free,
    /// Average time for which a request occupies a slot.
    pub service_time: Duration,
    /// Time that the request may still wait.
    pub left: Duration,
}

impl Tracker {
    /// Creates the tracker of an instance.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            inner: Mutex::default(),
            ended: Notify::new(),
        }
    }

    /// Decides whether the request that holds `place`, or wants one, is sent now. The place is
    /// changed accordingly.
    pub fn decide(
        self: &Arc<Self>,
        place: &mut Option<Place>,
        claim: &Claim,
        room: Room<impl FnOnce() -> u64, impl FnOnce() -> u64>,
        now: Duration,
    ) -> Decision {
        let held = place.as_ref().map(|place| place.state);
        if held == Some(State::InFlight) {
            return Decision::default();
        }
        let mut inner = self.inner.lock();
        let ticket = match held {
            Some(State::Waiting { ticket, .. }) => Some(ticket),
            _ => None,
        };
        let basis = inner.basis(&self.instance, claim, ticket, room.capacity, now);
        let since = match held {
            Some(State::Waiting { since, .. }) => since,
            _ => now,
        };
        let verdict = if basis.is_next() || basis.may_use(|| inner.free(&claim.scope, room.free)) {
            Verdict::Send
        } else {
            let left = (since + MAX_WAIT).saturating_sub(now).min(room.left);
            basis.verdict(left, ticket.is_some(), room.service_time)
        };
        match verdict {
            Verdict::Send => {
                inner.send(claim, ticket, now);
                let sent = Place::new(self, claim, State::InFlight);
                Place::replace(place, sent);
            }
            Verdict::Wait(_) if ticket.is_some() => {}
            Verdict::Wait(_) => {
                let ticket = inner.wait(claim, now);
                *place = Some(Place::new(self, claim, State::Waiting { ticket, since }));
            }
            Verdict::Refuse(_) => {
                inner.refuse(claim, ticket, now);
                Place::forget(place);
            }
        }
        drop(inner);
        Decision { verdict, basis }
    }

    /// Replaces the last report of `instance`.
    pub fn set_peer(&self, instance: &str, claims: &[mesh::Claim], now: Duration) {
        self.inner.lock().peers.set(instance, claims, now);
    }

    /// Replaces the last summary of `data_centre`.
    pub fn set_data_centre(&self, data_centre: &str, claims: &[mesh::Claim], now: Duration) {
        let mut inner = self.inner.lock();
        inner.peers.set_data_centre(data_centre, claims, now);
    }

    /// Returns the largest claims of this instance, as sent to its peers.
    #[must_use]
    pub fn own(&self, now: Duration) -> Vec<mesh::Claim> {
        largest(self.inner.lock().reported(now))
    }

    /// Returns the largest claims of this instance and of the peers that report to it directly,
    /// as sent to other data centres.
    #[must_use]
    pub fn local(&self, now: Duration) -> Vec<mesh::Claim> {
        let inner = self.inner.lock();
        let mut claims = inner.reported(now);
        inner.peers.add_local(&mut claims, now);
        largest(claims)
    }

    /// Number of claims of this instance that are held in memory.
    #[must_use]
    pub fn held_claims(&self) -> usize {
        self.inner.lock().own.len()
    }

    /// Waits until a request of a tenant has ended.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }

    // Ends a request that was in flight or waited.
    fn release(&self, claim: &Claim, state: State) {
        let mut inner = self.inner.lock();
        let Some(own) = inner.own.get_mut(claim) else {
            return;
        };
        match state {
            State::InFlight => own.in_flight -= 1,
            State::Waiting { ticket, .. } => {
                own.waiting.remove(&ticket);
            }
        }
        if own.is_empty() {
            inner.own.remove(claim);
        }
        drop(inner);
        self.ended.notify_waiters();
    }
}

impl Inner {
    fn send(&mut self, claim: &Claim, ticket: Option<u64>, now: Duration) {
        let own = self.entry(claim, now);
        own.in_flight += 1;
        own.leave(ticket);
    }

    fn wait(&mut self, claim: &Claim, now: Duration) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.entry(claim, now).waiting.insert(ticket);
        ticket
    }

    fn refuse(&mut self, claim: &Claim, ticket: Option<u64>, now: Duration) {
        self.clean(now);
        if self.own.len() >= MAX_REFUSED_CLAIMS && !self.own.contains_key(claim) {
            return;
        }
        let own = self.entry(claim, now);
        own.leave(ticket);
        own.refuse(now);
    }

    fn entry(&mut self, claim: &Claim, now: Duration) -> &mut Own {
        self.clean(now);
        self.own.entry(claim.clone()).or_default()
    }

    // Removes what is no longer needed, at an interval.
    fn clean(&mut self, now: Duration) {
        if now.saturating_sub(self.cleaned_at) > own::WINDOW {
            self.cleaned_at = now;
            self.own.retain(|_, own| own.wants(now) > 0);
            self.views
                .retain(|_, view| now.saturating_sub(view.at) <= VIEW_TTL);
        }
    }

    fn reported(&self, now: Duration) -> BTreeMap<Claim, peers::Reported> {
        let own = self.own.iter().map(|(claim, own)| {
            let reported = peers::Reported {
                in_flight: own.in_flight,
                waiting: own.unserved(now),
            };
            (claim.clone(), reported)
        });
        own.filter(|(_, reported)| reported.wanted() > 0).collect()
    }

    fn view(&mut self, instance: &str, scope: &Scope, now: Duration, slots: impl FnOnce() -> u64) {
        let known = self.views.get(scope);
        if known.is_some_and(|view| now.saturating_sub(view.at) <= VIEW_TTL) {
            return;
        }
        let (others, oldest) = self.peers.view(instance, scope, now);
        let slots = slots();
        let view = View {
            at: now,
            capacity: slots + slots / SLOTS_PER_QUEUED,
            free: None,
            contenders: others.values().map(|others| others.contenders).sum(),
            others,
            oldest,
        };
        self.views.insert(scope.clone(), view);
    }

    // Number of free slots of a scope. Between two views, requests of this instance that are
    // sent reduce it; one that ends adds none, as others may queue at its runner.
    fn free(&mut self, scope: &Scope, slots: impl FnOnce() -> u64) -> u64 {
        let own = Claim::of_scope(&self.own, scope);
        let own = own.map(|(_, own)| own.in_flight).sum();
        let Some(view) = self.views.get_mut(scope) else {
            return 0;
        };
        let free = view.free.get_or_insert_with(|| Free {
            slots: slots(),
            own,
        });
        free.slots.saturating_sub(own.saturating_sub(free.own))
    }

    // Collects what a decision for one more request of `claim` depends on.
    fn basis(
        &mut self,
        instance: &str,
        claim: &Claim,
        ticket: Option<u64>,
        slots: impl FnOnce() -> u64,
        now: Duration,
    ) -> Basis {
        self.view(instance, &claim.scope, now, slots);
        let Some(view) = self.views.get(&claim.scope) else {
            return Basis::default();
        };
        let key = (claim.rank, claim.tenant.as_str());
        let others = view.others.iter();
        let mut wanted: BTreeMap<(u8, &str), u64> = others
            .map(|((rank, tenant), others)| ((*rank, tenant.as_str()), others.wanted()))
            .collect();
        for (claim, own) in Claim::of_scope(&self.own, &claim.scope) {
            *wanted.entry((claim.rank, &claim.tenant)).or_default() += own.wants(now);
        }
        // A request that waits is counted already.
        *wanted.entry(key).or_default() += u64::from(ticket.is_none());
        let round = now.as_secs() / ROTATION.as_secs();
        let wants: Vec<_> = wanted
            .iter()
            .map(|((rank, tenant), wanted)| Want::new(*rank, tenant, *wanted, round))
            .collect();
        let position = wanted.keys().position(|other| *other == key);
        let share = position.map_or(0, |position| shares(view.capacity, &wants)[position]);
        let own = self.own.get(claim);
        let others = view.others.get(&(claim.rank, claim.tenant.clone()));
        let others = others.copied().unwrap_or_default();
        let own_wanted = own.map_or(0, |own| own.wants(now)) + u64::from(ticket.is_none());
        Basis {
            capacity: view.capacity,
            share,
            part: part(share, others.before, own_wanted, others.after),
            wanted: wanted.get(&key).copied().unwrap_or_default(),
            own_wanted,
            in_flight: own.map_or(0, |own| own.in_flight),
            others_in_flight: others.in_flight,
            ahead: own.map_or(0, |own| own.ahead(ticket)),
            refused: own.map_or(0, |own| own.refused(now)),
            contenders: others.contenders,
            all_contenders: view.contenders,
            oldest_report: view.oldest,
        }
    }
}

fn largest(claims: BTreeMap<Claim, peers::Reported>) -> Vec<mesh::Claim> {
    let mut claims: Vec<_> = claims.into_iter().collect();
    if claims.len() > MAX_REPORTED {
        claims.sort_by_key(|(_, reported)| std::cmp::Reverse(reported.wanted()));
        claims.truncate(MAX_REPORTED);
    }
    claims
        .into_iter()
        .map(|(claim, reported)| claim.report(reported.in_flight, reported.waiting))
        .collect()
}
