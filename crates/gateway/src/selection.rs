//! Selects a runner for a request, or the refusal if there is none.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::call::Target;
use crate::exchange::Exchange;
use crate::explanation::{Exclusion, Omission};
use crate::fair_share::{Claim, Place, Room, Scope, Verdict};
use crate::gateway::Gateway;
use crate::in_flight::Work;
use crate::prediction::Prediction;
use crate::prefix::Memory;
use crate::refusal::{Reason, Refusal};
use crate::registry::Runner;
use crate::scoring::{self, Candidate, Request};
use crate::service::Engine;
use crate::span::millis;
use crate::{crash_report, id};

/// Time beyond the duration of a load until a replica accepts requests.
const LOAD_SLACK: Duration = Duration::from_millis(800);
/// Shortest remaining time with which a request is sent to a runner.
const MIN_REMAINING: Duration = Duration::from_millis(20);
/// Retry delay for the caller if all runners are busy.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest retry delay for the caller if all runners have reached their limits. Another
/// instance may have a token sooner.
const MAX_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Retry delay for the caller if no runner is registered.
const NO_RUNNER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The runner selected for a request.
#[derive(Clone, Debug)]
pub(crate) struct Chosen {
    pub(crate) runner: Runner,
    /// Prompt tokens of this request that need prefill on the runner.
    pub(crate) prefill_tokens: u64,
    /// Tokens that need prefill before its first token, including those of other
    /// requests.
    pub(crate) queued_tokens: u64,
    pub(crate) prediction: Prediction,
    pub(crate) holds_adapter: bool,
}

/// Outcome of a selection.
#[derive(Debug)]
pub(crate) enum Selection {
    Send(Box<Chosen>),
    /// Wait for a change of the registry; holds the refusal that is returned if no
    /// runner can be selected in time.
    Wait(Refusal),
    Refuse(Refusal),
}

/// Runners that are excluded from the selection.
#[derive(Debug, Default)]
pub(crate) struct Excluded {
    /// Runners to which the request was sent without success.
    pub(crate) tried: BTreeSet<id::Runner>,
    /// Runners that could not load the adapter.
    pub(crate) without_adapter: BTreeSet<id::Runner>,
    /// Software version that began the stream; runners with another one are excluded.
    pub(crate) software: Option<id::Software>,
}

impl Excluded {
    fn reason(&self, runner: &Runner) -> Option<Exclusion> {
        let software = self.software.as_deref();
        if self.tried.contains(runner.id()) {
            Some(Exclusion::Tried)
        } else if software.is_some_and(|software| software != runner.software()) {
            Some(Exclusion::Software)
        } else {
            None
        }
    }
}

// Removes the runners for which there is a reason.
fn omit(
    runners: &mut Vec<Runner>,
    omissions: &mut Vec<Omission>,
    reason: impl Fn(&Runner) -> Option<Exclusion>,
) {
    runners.retain(|runner| {
        let Some(reason) = reason(runner) else {
            return true;
        };
        omissions.push(Omission {
            runner: runner.id().clone(),
            reason,
        });
        false
    });
}

/// Selects a runner that is not excluded. `place` is the place of the request among those of
/// its tenant.
pub(crate) fn select(
    gateway: &Gateway,
    exchange: &Exchange,
    excluded: &Excluded,
    place: &mut Option<Place>,
) -> Selection {
    let selection = select_runner(gateway, exchange, excluded, place);
    // A request that waits for something else takes up no slot.
    match &selection {
        Selection::Send(_) => {}
        Selection::Wait(refusal) if refusal.reason == Reason::FairShare => {}
        Selection::Wait(_) | Selection::Refuse(_) => *place = None,
    }
    selection
}

fn select_runner(
    gateway: &Gateway,
    exchange: &Exchange,
    excluded: &Excluded,
    place: &mut Option<Place>,
) -> Selection {
    let now = gateway.now();
    let runners = match eligible(gateway, exchange, excluded, now, &mut Vec::new()) {
        Ok(runners) => runners,
        Err(selection) => return selection,
    };
    if let Some(selection) = claim_slot(gateway, exchange, &runners, place, now) {
        return selection;
    }
    let request = request(gateway, exchange);
    let candidates = candidates(gateway, exchange, &request, &runners, now);
    choose(exchange, runners, &request, &candidates, now)
}

/// Returns the runners that could serve the request now, of which there is at least one, or what
/// to do without one. Adds the others that hold the model to `omissions`.
pub(crate) fn eligible(
    gateway: &Gateway,
    exchange: &Exchange,
    excluded: &Excluded,
    now: Duration,
    omissions: &mut Vec<Omission>,
) -> Result<Vec<Runner>, Selection> {
    if exchange.remaining(now) <= MIN_REMAINING {
        return Err(Selection::Refuse(Refusal::new(Reason::Expired)));
    }
    if let Some(refusal) = crash_report::refusal(gateway, exchange, now) {
        return Err(Selection::Refuse(refusal));
    }
    if gateway.reach.has_lost(&exchange.service) {
        let refusal = Refusal::new(Reason::Unreachable);
        return Err(Selection::Refuse(
            refusal.with_retry_after(NO_RUNNER_RETRY_AFTER),
        ));
    }
    let registry = &gateway.registry;
    if !registry.has_usable(&exchange.service, now) {
        let refusal = Refusal::new(Reason::NoRunner).with_retry_after(NO_RUNNER_RETRY_AFTER);
        if registry.has_leaving(&exchange.service) {
            return Err(Selection::Refuse(refusal));
        }
        return Err(Selection::Wait(refusal));
    }
    if let Some(software) = &excluded.software {
        let usable = registry.usable(&exchange.service, now);
        if !usable.iter().any(|runner| runner.software() == software) {
            return Err(Selection::Refuse(Refusal::new(Reason::NoSoftware)));
        }
    }
    let mut runners = match exchange.engine().zip(exchange.call.target.as_ref()) {
        Some((engine, target)) => {
            let Some(model) = engine.models.get(&target.model) else {
                return Err(Selection::Refuse(Refusal::new(Reason::NoReplica)));
            };
            let (mut runners, has_copy) = registry.replicas(&exchange.service, &target.model, now);
            omit(&mut runners, omissions, |runner| {
                let is_ejected = gateway.health.is_ejected(runner.id(), now);
                let ejected = is_ejected.then_some(Exclusion::Ejected);
                excluded.reason(runner).or(ejected)
            });
            if runners.is_empty() {
                let load_time = if has_copy {
                    model.disk_load
                } else {
                    model.store_load
                };
                return Err(wait_for_replica(exchange, load_time + LOAD_SLACK, now));
            }
            runners
        }
        None => registry.usable(&exchange.service, now),
    };
    omit(&mut runners, omissions, |runner| excluded.reason(runner));
    if runners.is_empty() {
        return Err(Selection::Refuse(
            Refusal::new(Reason::Overloaded).with_retry_after(BUSY_RETRY_AFTER),
        ));
    }
    if let Some(target) = &exchange.call.target {
        omit(&mut runners, omissions, |runner| {
            let could_not_load = excluded.without_adapter.contains(runner.id());
            let lacks_adapter = could_not_load && !runner.holds_adapter(target);
            lacks_adapter.then_some(Exclusion::NoAdapter)
        });
    }
    if runners.is_empty() {
        return Err(Selection::Wait(
            Refusal::new(Reason::NoReplica).with_retry_after(BUSY_RETRY_AFTER),
        ));
    }
    let wait = |runner: &Runner| gateway.notice_wait(runner, now);
    let next_turn = runners.iter().map(wait).min().unwrap_or_default();
    if !next_turn.is_zero() {
        let closed = |runner: &Runner| gateway.notices.closed_for(runner.id(), now);
        let closed_for = runners.iter().map(closed).min().unwrap_or_default();
        omit(&mut runners, omissions, |_| Some(Exclusion::Limit));
        return Err(wait_for_turn(exchange, next_turn, closed_for, now));
    }
    omit(&mut runners, omissions, |runner| {
        (!wait(runner).is_zero()).then_some(Exclusion::Limit)
    });
    Ok(runners)
}

/// Whether replicas of the requested model are registered and none of them is in reach. Peers
/// may reach them.
pub(crate) fn has_lost_replicas(gateway: &Gateway, exchange: &Exchange) -> bool {
    let Some((_, target)) = exchange.engine().zip(exchange.call.target.as_ref()) else {
        return false;
    };
    let registry = &gateway.registry;
    let (replicas, _) = registry.replicas(&exchange.service, &target.model, gateway.now());
    let is_lost = |replica: &Runner| gateway.health.is_out_of_reach(replica.id());
    !replicas.is_empty() && replicas.iter().all(is_lost)
}

// Decides whether the tenant of the request may use a slot of the runners now; returns what to
// do otherwise. Without tenants, every request may. So may those of services without an engine:
// they end before a report of them arrives, and their runners queue several times as many as
// they run.
fn claim_slot(
    gateway: &Gateway,
    exchange: &Exchange,
    runners: &[Runner],
    place: &mut Option<Place>,
    now: Duration,
) -> Option<Selection> {
    exchange.environment.tenants.as_ref()?;
    exchange.engine()?;
    let claim = claim(exchange);
    let room = Room {
        capacity: || capacity(gateway, &claim.scope, runners, now),
        free: || free_slots(gateway, runners, now),
        service_time: gateway.service_times.average(&exchange.service),
        left: exchange.wait_deadline().saturating_sub(now),
    };
    let is_new = place.is_none();
    let decision = gateway.claims.decide(place, &claim, room, now);
    let (selection, retry_after): (fn(Refusal) -> Selection, _) = match decision.verdict {
        Verdict::Send => return None,
        Verdict::Wait(wait) => (Selection::Wait, wait.max(BUSY_RETRY_AFTER)),
        Verdict::Refuse(retry_after) => (Selection::Refuse, retry_after),
    };
    if is_new || matches!(decision.verdict, Verdict::Refuse(_)) {
        let basis = decision.basis;
        gateway.metrics.fair_share(decision.verdict.into());
        log::info!(
            request = exchange.call.attempt.as_str(), tenant = claim.tenant.as_str(),
            rank = claim.rank, service = claim.scope.service.as_str(),
            model = claim.scope.model.as_str(), verdict:? = decision.verdict,
            capacity = basis.capacity, share = basis.share, part = basis.part,
            wanted = basis.wanted, own_wanted = basis.own_wanted, in_flight = basis.in_flight,
            others_in_flight = basis.others_in_flight, ahead = basis.ahead,
            contenders = basis.contenders, all_contenders = basis.all_contenders,
            oldest_report_ms = millis(basis.oldest_report),
            waited_ms = millis(now.saturating_sub(exchange.arrived));
            "tenant has used up its share of the slots"
        );
    }
    let refusal = Refusal::new(Reason::FairShare).with_retry_after(retry_after);
    Some(selection(refusal))
}

fn claim(exchange: &Exchange) -> Claim {
    let target = exchange.call.target.as_ref();
    let tenant = exchange.tenant.as_ref();
    Claim {
        scope: Scope {
            service: exchange.service.clone(),
            model: target.map_or_else(String::new, |target| target.model.clone()),
        },
        rank: exchange.route.rank,
        tenant: tenant.map_or_else(String::new, |tenant| tenant.name.clone()),
    }
}

// Slots of the runners for the model of `scope`: all that other models do not use, and at least
// an equal part of them.
fn capacity(gateway: &Gateway, scope: &Scope, runners: &[Runner], now: Duration) -> u64 {
    let work = gateway.in_flight.by_model(now);
    let of_runner = |runner: &Runner| {
        let slots = runner.registration.slots;
        let first = (runner.id().clone(), String::new());
        let models = work.range(first..);
        let others: Vec<u64> = models
            .take_while(|((id, _), _)| id == runner.id())
            .filter(|((_, model), _)| *model != scope.model)
            .map(|(_, work)| work.requests())
            .collect();
        let models = u64::try_from(others.len()).unwrap_or(u64::MAX);
        let unused = slots.saturating_sub(others.iter().sum());
        unused.max(slots / models.saturating_add(1))
    };
    runners.iter().map(of_runner).sum()
}

// Number of slots that no instance uses by the last reports.
fn free_slots(gateway: &Gateway, runners: &[Runner], now: Duration) -> u64 {
    let totals = gateway.in_flight.totals(now);
    let free = runners.iter().map(|runner| {
        let work = totals.get(runner.id()).copied().unwrap_or_default();
        runner.registration.slots.saturating_sub(work.requests())
    });
    free.sum()
}

// The runners that could serve the request have reached their limits, or all want no requests
// for `closed_for`. A replica may be loaded on another runner before one of them takes the
// request.
fn wait_for_turn(
    exchange: &Exchange,
    next_turn: Duration,
    closed_for: Duration,
    now: Duration,
) -> Selection {
    let model = exchange
        .engine()
        .zip(exchange.call.target.as_ref())
        .and_then(|(engine, target)| engine.models.get(&target.model));
    let ready_in = match model {
        Some(model) => {
            let waited = now.saturating_sub(exchange.arrived);
            let load_time = model.disk_load + LOAD_SLACK;
            next_turn.min(load_time.saturating_sub(waited))
        }
        None => next_turn,
    };
    let left = exchange.wait_deadline().saturating_sub(now);
    let (reason, longest) = if closed_for.is_zero() {
        (Reason::RunnerLimit, MAX_LIMIT_RETRY_AFTER)
    } else {
        (Reason::RunnerClosed, closed_for.max(MAX_LIMIT_RETRY_AFTER))
    };
    let retry_after = ready_in.clamp(BUSY_RETRY_AFTER, longest);
    let refusal = Refusal::new(reason).with_retry_after(retry_after);
    if left.is_zero() || ready_in > left {
        return Selection::Refuse(refusal);
    }
    Selection::Wait(refusal)
}

fn wait_for_replica(exchange: &Exchange, ready_in: Duration, now: Duration) -> Selection {
    let waited = now.saturating_sub(exchange.arrived);
    let left = exchange.wait_deadline().saturating_sub(now);
    let ready_in = ready_in.saturating_sub(waited);
    let retry_after = ready_in.max(BUSY_RETRY_AFTER);
    let refusal = Refusal::new(Reason::NoReplica).with_retry_after(retry_after);
    if left.is_zero() || ready_in > left {
        return Selection::Refuse(refusal);
    }
    Selection::Wait(refusal)
}

/// Returns the candidates for the request, one for each of `runners`.
pub(crate) fn candidates(
    gateway: &Gateway,
    exchange: &Exchange,
    request: &Request,
    runners: &[Runner],
    now: Duration,
) -> Vec<Candidate> {
    let totals = gateway.in_flight.totals(now);
    let candidates = runners.iter().map(|runner| {
        let work = totals.get(runner.id()).copied().unwrap_or_default();
        candidate(gateway, exchange, request, runner, work, now)
    });
    candidates.collect()
}

/// Chooses one of the candidates, which belong to `runners`.
pub(crate) fn choose(
    exchange: &Exchange,
    runners: Vec<Runner>,
    request: &Request,
    candidates: &[Candidate],
    now: Duration,
) -> Selection {
    let Some(best) = scoring::choose(candidates, request) else {
        return Selection::Refuse(Refusal::new(Reason::NoRunner));
    };
    let predicted = scoring::predict_first_token(best, request);
    if exchange.engine().is_some() && predicted > exchange.remaining(now) {
        let retry_after = predicted.saturating_sub(exchange.route.objective);
        return Selection::Refuse(Refusal::new(Reason::Overloaded).with_retry_after(retry_after));
    }
    let cached_tokens = best.cached_tokens.min(request.prompt_tokens);
    let prediction = Prediction {
        cached_tokens,
        saving: best.prefill_time(cached_tokens),
        uncached: best.prefill_time(request.prompt_tokens),
        first_token: predicted,
    };
    let prefill_tokens = request.prompt_tokens - cached_tokens;
    let queued_tokens = best.work.pending_tokens + prefill_tokens;
    let holds_adapter = best.holds_adapter;
    let chosen = runners
        .into_iter()
        .find(|runner| *runner.id() == best.runner)
        .map(|runner| Chosen {
            runner,
            prefill_tokens,
            queued_tokens,
            prediction,
            holds_adapter,
        });
    match chosen {
        Some(chosen) => Selection::Send(Box::new(chosen)),
        None => Selection::Refuse(Refusal::new(Reason::NoRunner)),
    }
}

fn candidate(
    gateway: &Gateway,
    exchange: &Exchange,
    request: &Request,
    runner: &Runner,
    work: Work,
    now: Duration,
) -> Candidate {
    let id = runner.id();
    let target = exchange.call.target.as_ref();
    let engine_target = target.filter(|_| exchange.engine().is_some());
    let memory = Memory {
        capacity: request.capacity,
        in_use: work.tokens,
        hold: request.service_time,
    };
    let prefixes = &gateway.prefixes;
    let share = prefixes.look_up(id, &exchange.blocks, request.tokens, &memory, now);
    Candidate {
        runner: id.clone(),
        is_local: runner.registration.data_centre == gateway.settings.data_centre,
        work,
        slots: runner.registration.slots,
        token_time: engine_target.map_or(Duration::ZERO, |target| {
            gateway.prefill.runner_token_time(&target.model, id)
        }),
        cached_tokens: share.cached_tokens,
        expected_loss: share.expected_loss,
        holds_adapter: target.is_none_or(|target| runner.holds_adapter(target)),
        is_ejected: gateway.health.is_ejected(id, now),
        failure_rate: gateway.health.failure_rate(id),
        recent_gap: gateway.event_gaps.recent(id, now),
        preference: preference(exchange, id),
    }
}

/// Returns what the cost of a runner depends on beside the runner.
pub(crate) fn request(gateway: &Gateway, exchange: &Exchange) -> Request {
    let is_engine = exchange.engine().is_some();
    Request {
        prompt_tokens: if is_engine {
            exchange.call.prompt_tokens
        } else {
            0
        },
        tokens: exchange.tokens(),
        capacity: exchange
            .engine()
            .map_or(0, |engine: &Engine| engine.kv_capacity),
        event_gap: exchange
            .environment
            .event_gap(&exchange.service)
            .unwrap_or_default(),
        service_time: gateway.service_times.average(&exchange.service),
    }
}

// Rendezvous hash of the shared prompt prefix and the runner, so that all
// instances prefer the same runner for prompts with a common prefix.
fn preference(exchange: &Exchange, runner: &str) -> u64 {
    let shared = exchange.blocks.len().saturating_sub(2);
    let mut hasher = DefaultHasher::new();
    match exchange.blocks.get(shared) {
        Some(block) => block.hash.hash(&mut hasher),
        None => exchange
            .call
            .target
            .as_ref()
            .map(|target: &Target| &target.model)
            .hash(&mut hasher),
    }
    runner.hash(&mut hasher);
    hasher.finish()
}
