//! Sends a request to runners until one responds or no further send is allowed.

use std::sync::Arc;
use std::time::Duration;

use crate::exchange::Exchange;
use crate::fair_share::Place;
use crate::gateway::Gateway;
use crate::handover;
use crate::outcome::{Outcome, Response, Stream};
use crate::protocol::Verdict;
use crate::refusal::{Reason, Refusal};
use crate::registry::Runner;
use crate::selection::{self, Chosen, Excluded, Selection};
use crate::span::millis;
use crate::transfer::Transfer;
use crate::trial::{self, Trial};
use crate::wait::Wait;
use crate::{adapter_request, crash_report, id, prediction};

/// Interval at which a waiting request checks the registry without a change
/// notification.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The same interval of a request that waits for its turn at a runner.
const TURN_INTERVAL: Duration = Duration::from_millis(60);
/// Delay of a request after the load of its adapter was ordered.
const ADAPTER_LOAD_DELAY: Duration = Duration::from_millis(8);
/// Fraction of the time that a request may still wait, for its adapter at one runner. The rest
/// is left for others.
const ADAPTER_WAIT_FRACTION: f64 = 0.5;
/// Shortest wait for an adapter at one runner, if the request may wait as long: a load can
/// need an unload before it.
const MIN_ADAPTER_WAIT: Duration = Duration::from_millis(1200);
/// Maximum number of sends of one request, including rejected ones.
const MAX_SENDS: u32 = 4;

/// Other instances that were to serve a request.
#[derive(Debug, Default)]
struct Offers {
    /// Whether it was offered to peers that may reach more runners.
    to_any: bool,
    /// Whether it was offered to its owner, or this instance is the owner.
    to_owner: bool,
}

/// State of one request across its sends to runners.
pub(crate) struct Attempt {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) exchange: Arc<Exchange>,
    excluded: Excluded,
    /// Number of sends.
    sends: u32,
    /// Whether a connection to a runner could not be opened.
    has_failed_to_connect: bool,
    /// Which other instances were to serve the request.
    offers: Offers,
    /// Number of sends that a runner may have executed.
    runs: u32,
    /// Whether a send is in progress and its result is unknown.
    is_in_flight: bool,
    /// Id of the event after which a stream is resumed.
    resume_after: Option<u64>,
    /// Place among the requests of its tenant; `None` without tenants. Ends with the response.
    place: Option<Place>,
    /// Last server error from a runner; returned if no other runner succeeds.
    failed: Option<(id::Runner, Response)>,
}

impl Attempt {
    /// Creates the state of a request that may run only at `software`, if that is given.
    pub(crate) fn new(
        gateway: Arc<Gateway>,
        exchange: Arc<Exchange>,
        software: Option<id::Software>,
    ) -> Self {
        Self {
            gateway,
            exchange,
            excluded: Excluded {
                software,
                ..Excluded::default()
            },
            sends: 0,
            has_failed_to_connect: false,
            offers: Offers::default(),
            runs: 0,
            is_in_flight: false,
            resume_after: None,
            place: None,
            failed: None,
        }
    }

    /// Sends the request until a runner responds, no further send is allowed, or
    /// this instance aborts pending requests.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub(crate) async fn run(&mut self) -> Result<Response, Refusal> {
        let gateway = Arc::clone(&self.gateway);
        let remaining = self.exchange.remaining(gateway.now());
        let result = tokio::select! {
            result = self.try_runners() => result,
            () = gateway.aborting.cancelled() => {
                let refusal = Refusal::new(Reason::Leaving).with_retry_after(Duration::ZERO);
                Err(self.adjust_refusal(refusal))
            }
            // Whatever the request waits for, its caller gets a response.
            () = gateway.clock.sleep(remaining) => {
                Err(self.adjust_refusal(Refusal::new(Reason::Expired)))
            }
        };
        match result {
            Err(refusal) => match self.failed.take() {
                Some((runner, failure)) => {
                    self.transfer().log_response(
                        &runner,
                        failure.status(),
                        prediction::Outcome::None,
                    );
                    Ok(failure)
                }
                None => Err(refusal),
            },
            response => response,
        }
    }

    /// Resumes a stream that broke after the event `after` on another runner of the same
    /// software version.
    ///
    /// # Errors
    ///
    /// Fails if the request may not be sent again or no runner accepts it.
    pub(crate) async fn resume(
        &mut self,
        runner: &Runner,
        after: u64,
    ) -> Result<Box<Stream>, Refusal> {
        self.runs += 1;
        // The caller has received a part of the response from this instance.
        self.offers.to_owner = true;
        self.excluded.tried.insert(runner.id().clone());
        self.excluded.software = Some(runner.software().to_owned());
        if !self.may_repeat() {
            return Err(Refusal::new(Reason::Broken));
        }
        self.resume_after = Some(after);
        match self.try_runners().await? {
            Response::Stream(stream) => Ok(stream),
            Response::Complete(..) | Response::Relayed(..) => Err(Refusal::new(Reason::BadAnswer)),
        }
    }

    async fn try_runners(&mut self) -> Result<Response, Refusal> {
        loop {
            if let Some(response) = self.offer_to_owner().await? {
                return Ok(response);
            }
            let chosen = match self.choose().await {
                Ok(chosen) => chosen,
                Err(_) if self.should_offer() => {
                    self.offers.to_any = true;
                    // It may not stand in front of requests that stay here.
                    self.place = None;
                    match self.offer(None).await? {
                        Some(response) => return Ok(response),
                        None => continue,
                    }
                }
                Err(refusal) => return Err(refusal),
            };
            if !chosen.holds_adapter && !self.load_adapter(&chosen).await {
                continue;
            }
            let now = self.gateway.now();
            // It may have become suspect while it waited.
            if let Some(response) = self.offer_to_owner().await? {
                return Ok(response);
            }
            let Some(trial) = self.start_trial() else {
                self.gateway.clock.sleep(TURN_INTERVAL).await;
                continue;
            };
            // What the runner said in response to the order for the adapter counts, too.
            let (gateway, runner) = (&self.gateway, &chosen.runner);
            if !gateway.registry.is_usable(runner.id(), now) || !gateway.take_turn(runner, now) {
                continue;
            }
            self.check_shutdown()?;
            self.reserve_send()?;
            self.log_send(&chosen);
            let runner = chosen.runner.id().clone();
            self.is_in_flight = true;
            let outcome = self.transfer().run(*chosen).await;
            drop(trial);
            self.is_in_flight = false;
            match outcome {
                Outcome::Final(response) => return Ok(response),
                Outcome::Unsent => {
                    self.sends -= 1;
                    self.has_failed_to_connect = true;
                    self.excluded.tried.insert(runner);
                }
                Outcome::NotRun(verdict) => self.record_not_run(&runner, verdict),
                Outcome::Failed(response) => {
                    self.runs += 1;
                    log::info!(
                        request = self.exchange.call.attempt.as_str(), runner = runner.as_str(),
                        status = response.status(), send = self.sends;
                        "runner returned a server error"
                    );
                    self.excluded.tried.insert(runner.clone());
                    self.failed = Some((runner, response));
                    if !self.may_repeat() {
                        return Err(Refusal::new(Reason::Broken));
                    }
                }
                Outcome::Unknown(reason) => {
                    self.runs += 1;
                    self.excluded.tried.insert(runner);
                    if !self.may_repeat() {
                        return Err(Refusal::new(reason));
                    }
                }
            }
        }
    }

    // Refuses a request that is not sent yet and could not end before this instance does.
    fn check_shutdown(&self) -> Result<(), Refusal> {
        let remaining = self.exchange.remaining(self.gateway.now());
        if self.gateway.stops_within(remaining) {
            let refusal = Refusal::new(Reason::Leaving).with_retry_after(Duration::ZERO);
            return Err(self.adjust_refusal(refusal));
        }
        Ok(())
    }

    // Whether peers may serve a request that this instance does not. One that may have run
    // stays here.
    fn should_offer(&self) -> bool {
        let is_new = self.runs == 0 && self.exchange.call.handed_over_by.is_none();
        is_new && !self.offers.to_any && self.has_lost_runners()
    }

    // Whether this instance does not reach the runners that could serve the request.
    fn has_lost_runners(&self) -> bool {
        let (reach, service) = (&self.gateway.reach, &self.exchange.service);
        let cannot_connect = self.has_failed_to_connect && reach.is_closed(service);
        reach.has_lost(service) || cannot_connect || self.has_lost_replicas()
    }

    // Runners that a request has crashed are out of reach for all instances.
    fn has_lost_replicas(&self) -> bool {
        crash_report::suspect(&self.gateway, &self.exchange).is_none()
            && selection::has_lost_replicas(&self.gateway, &self.exchange)
    }

    // Offers a request that may crash runners to the instance that sends all copies of it.
    async fn offer_to_owner(&mut self) -> Result<Option<Response>, Refusal> {
        let Some(owner) = self.other_owner() else {
            return Ok(None);
        };
        if self.sends > 0 {
            self.reserve_send()?;
        }
        let has_run = self.runs > 0;
        let response = self.offer(Some(&owner)).await?;
        // What the owner says of its own sends does not hold for those of this instance.
        if has_run && response.as_ref().is_some_and(Response::promises_no_run) {
            return Err(Refusal::new(Reason::Broken));
        }
        Ok(response)
    }

    // Returns the instance that is to send the request in place of this one, as it may crash
    // runners.
    fn other_owner(&mut self) -> Option<id::Instance> {
        let may_send = self.runs == 0 || self.may_repeat();
        let is_handed_over = self.exchange.call.handed_over_by.is_some();
        if self.offers.to_owner || is_handed_over || !may_send {
            return None;
        }
        let gateway = &self.gateway;
        let suspect = crash_report::suspect(gateway, &self.exchange)?;
        self.offers.to_owner = true;
        let own = &gateway.settings.instance;
        trial::owner(&suspect, gateway.serving_instances()).filter(|owner| owner != own)
    }

    // Starts to send the request, unless it may crash runners and the outcome of another copy
    // is not known.
    fn start_trial(&self) -> Option<Trial> {
        let suspect = crash_report::suspect(&self.gateway, &self.exchange);
        self.gateway.trials.start(suspect)
    }

    /// Offers the request to peers, or only to the one that is given; returns the response of
    /// the one that has taken it.
    async fn offer(&mut self, only: Option<&id::Instance>) -> Result<Option<Response>, Refusal> {
        self.is_in_flight = true;
        let gateway = Arc::clone(&self.gateway);
        let protocol = &*gateway.ports.protocol;
        let offer = handover::Offer {
            only,
            software: self.excluded.software.as_deref(),
        };
        let sending = gateway
            .handover
            .send(protocol, &gateway.members, &self.exchange, offer);
        let outcome = sending.await;
        gateway.metrics.handover((&outcome).into());
        self.is_in_flight = false;
        match outcome {
            handover::Outcome::Responded(head, body) => Ok(Some(Response::Relayed(head, body))),
            handover::Outcome::Declined => Ok(None),
            handover::Outcome::Unknown(reason) => {
                self.runs += 1;
                Err(Refusal::new(reason))
            }
        }
    }

    fn may_repeat(&self) -> bool {
        let route = &self.exchange.route;
        route.is_repeatable() && self.runs < route.max_attempts
    }

    // Status 503 promises that the request has not run. Replaces such a refusal
    // if a runner may have executed the request.
    fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        let has_run = self.runs > 0 || self.is_in_flight;
        if !has_run || refusal.reason.status() != 503 {
            return refusal;
        }
        if refusal.reason == Reason::Expired {
            return Refusal::new(Reason::Timeout);
        }
        Refusal::new(Reason::Broken)
    }

    /// Selects a runner; waits until one can accept the request.
    async fn choose(&mut self) -> Result<Box<Chosen>, Refusal> {
        let mut changed = self.gateway.registry.subscribe();
        let mut wait = Wait::new(Arc::clone(&self.gateway), Arc::clone(&self.exchange));
        loop {
            self.check_shutdown()?;
            match selection::select(
                &self.gateway,
                &self.exchange,
                &self.excluded,
                &mut self.place,
            ) {
                Selection::Send(chosen) => return Ok(chosen),
                Selection::Refuse(refusal) | Selection::Wait(refusal) if self.should_offer() => {
                    return Err(refusal);
                }
                Selection::Refuse(refusal) => {
                    wait.expect_return(&refusal);
                    return Err(self.adjust_refusal(refusal));
                }
                Selection::Wait(refusal) => {
                    let now = self.gateway.now();
                    let left = self.exchange.wait_deadline().saturating_sub(now);
                    let may_wait = crash_report::may_wait(&self.gateway, &self.exchange, now);
                    if left.is_zero() || self.failed.is_some() || !may_wait {
                        wait.expect_return(&refusal);
                        return Err(self.adjust_refusal(refusal));
                    }
                    let interval = match refusal.reason {
                        Reason::RunnerLimit | Reason::FairShare => TURN_INTERVAL,
                        _ => RECHECK_INTERVAL,
                    };
                    wait.start();
                    tokio::select! {
                        _ = changed.changed() => {}
                        () = self.gateway.claims.ended(), if self.place.is_some() => {}
                        () = self.gateway.clock.sleep(interval.min(left)) => {}
                    }
                    self.excluded.without_adapter.clear();
                }
            }
        }
    }

    /// Ensures that the runner holds the adapter; returns whether it does.
    async fn load_adapter(&mut self, chosen: &Chosen) -> bool {
        let Some(target) = self.exchange.call.target.as_ref() else {
            return true;
        };
        let Some(adapter) = &target.adapter else {
            return true;
        };
        let runner = chosen.runner.id();
        let now = self.gateway.now();
        let left = self.exchange.adapter_deadline().saturating_sub(now);
        let share = left.mul_f64(ADAPTER_WAIT_FRACTION);
        let limit = share.max(MIN_ADAPTER_WAIT).min(left);
        let is_loaded = adapter_request::send(&self.gateway, runner, target, limit).await;
        log::debug!(
            request = self.exchange.call.attempt.as_str(), runner = runner.as_str(),
            model = target.model.as_str(), adapter = adapter.as_str(), loaded = is_loaded,
            limit_ms = millis(limit);
            "adapter load requested"
        );
        if is_loaded {
            let registry = &self.gateway.registry;
            registry.mark_adapter_loaded(runner, &target.model, adapter);
            self.gateway.clock.sleep(ADAPTER_LOAD_DELAY).await;
            return true;
        }
        self.excluded.without_adapter.insert(runner.clone());
        false
    }

    /// Counts a send; each one after the first is taken from the retry budget.
    fn reserve_send(&mut self) -> Result<(), Refusal> {
        if self.sends > 0 {
            let now = self.gateway.now();
            let instances = self.gateway.members.share_count(now);
            let service = &self.exchange.service;
            let is_allowed =
                self.sends < MAX_SENDS && self.gateway.budget.withdraw(service, instances, now);
            if !is_allowed {
                return Err(self.adjust_refusal(Refusal::new(Reason::NoRetry)));
            }
            self.gateway.metrics.retry(service);
        }
        self.sends += 1;
        Ok(())
    }

    fn log_send(&self, chosen: &Chosen) {
        log::info!(
            request = self.exchange.call.attempt.as_str(),
            route = self.exchange.route.name.as_str(),
            environment = self.exchange.environment.version,
            runner = chosen.runner.id().as_str(),
            registration = chosen.runner.registration.revision,
            to_read = chosen.prefill_tokens,
            queued_tokens = chosen.queued_tokens,
            cached_tokens = chosen.prediction.cached_tokens,
            saved_ms = millis(chosen.prediction.saving),
            predicted_ms = millis(chosen.prediction.first_token),
            left_ms = millis(self.exchange.remaining(self.gateway.now())),
            send = self.sends;
            "request sent"
        );
    }

    fn record_not_run(&mut self, runner: &str, verdict: Verdict) {
        log::info!(
            request = self.exchange.call.attempt.as_str(), runner, verdict:? = verdict;
            "runner did not run the request"
        );
        let now = self.gateway.now();
        match (verdict, &self.exchange.call.target) {
            (Verdict::NotHeld, Some(target)) => {
                self.gateway.registry.mark_missing(runner, target, now);
            }
            (Verdict::NotRun, Some(target)) => {
                self.gateway
                    .registry
                    .mark_refusing(runner, &target.model, now);
            }
            (Verdict::OtherRunner, _) => {
                self.gateway
                    .health
                    .record_connect_failure(runner, self.gateway.now());
                self.excluded.tried.insert(runner.to_owned());
            }
            _ => {
                self.excluded.tried.insert(runner.to_owned());
            }
        }
    }

    fn transfer(&self) -> Transfer<'_> {
        Transfer {
            gateway: &self.gateway,
            exchange: &self.exchange,
            resume_after: self.resume_after,
            number: self.sends,
        }
    }
}
