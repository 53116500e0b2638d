//! Why a request would be sent to a runner, from the code that decides it. Quotas and fair shares
//! are not considered.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use hyper::http;
use strum::IntoStaticStr;

use crate::call::Call;
use crate::cost::Cost;
use crate::exchange::Exchange;
use crate::gateway::Gateway;
use crate::refusal::{Reason, Refusal};
use crate::selection::{self, Excluded, Selection};
use crate::{id, scoring};

/// Why a runner of the service is no candidate.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Exclusion {
    /// It accepts no new requests: it drains, leaves or is no longer listed.
    Unusable,
    /// It does not serve the model.
    NoModel,
    /// It is ejected after consecutive failures.
    Ejected,
    /// The request was sent to it without success.
    Tried,
    /// It could not load the adapter.
    NoAdapter,
    /// It has another software version than the one that began the stream.
    Software,
    /// It has reached a limit that it named, or takes no requests for a time.
    Limit,
    /// The request is refused whatever the state of the runner.
    Refused,
}

/// A runner of the service that is no candidate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Omission {
    /// Id of the runner.
    pub runner: id::Runner,
    /// Why it is none.
    pub reason: Exclusion,
}

/// A candidate with its cost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assessment {
    /// Id of the runner.
    pub runner: id::Runner,
    /// Whether it is chosen only if all others are ejected, too.
    pub is_ejected: bool,
    /// Terms of its cost.
    pub cost: Cost,
}

/// Why a request would be sent to a runner at this instance at present.
#[derive(Clone, Debug, Default)]
pub struct Explanation {
    /// Runner that would be chosen.
    pub chosen: Option<id::Runner>,
    /// Refusal that would be returned now, or after a wait, if none would be chosen.
    pub refusal: Option<Refusal>,
    /// Candidates in the order in which they would be chosen.
    pub candidates: Vec<Assessment>,
    /// Runners of the service that are no candidates.
    pub omissions: Vec<Omission>,
}

/// Explains the choice for `call` without sending it.
///
/// # Errors
///
/// Returns the refusal if there is no environment, route or service for it.
pub(crate) fn explain(gateway: &Gateway, call: Call) -> Result<Explanation, Refusal> {
    let exchange = exchange(gateway, call).map_err(Refusal::new)?;
    let now = gateway.now();
    let mut explanation = Explanation::default();
    let omissions = &mut explanation.omissions;
    let eligible = selection::eligible(gateway, &exchange, &Excluded::default(), now, omissions);
    let selection = match eligible {
        Ok(runners) => {
            let request = selection::request(gateway, &exchange);
            let candidates = selection::candidates(gateway, &exchange, &request, &runners, now);
            let ranked = scoring::rank(&candidates, &request).into_iter();
            let assessments = ranked.map(|(candidate, cost)| Assessment {
                runner: candidate.runner.clone(),
                is_ejected: candidate.is_ejected,
                cost,
            });
            explanation.candidates = assessments.collect();
            selection::choose(&exchange, runners, &request, &candidates, now)
        }
        Err(selection) => selection,
    };
    match selection {
        Selection::Send(chosen) => explanation.chosen = Some(chosen.runner.id().clone()),
        Selection::Wait(refusal) | Selection::Refuse(refusal) => {
            explanation.refusal = Some(refusal);
        }
    }
    explanation.add_others(gateway, &exchange, now);
    Ok(explanation)
}

impl Explanation {
    // Adds the runners of the service that were not considered.
    fn add_others(&mut self, gateway: &Gateway, exchange: &Exchange, now: Duration) {
        let target = exchange.call.target.as_ref();
        let target = target.filter(|_| exchange.engine().is_some());
        for registration in gateway.registry.registrations() {
            let runner = registration.runner;
            let is_known = self.candidates.iter().any(|known| known.runner == runner)
                || self.omissions.iter().any(|known| known.runner == runner);
            if registration.service != exchange.service || is_known {
                continue;
            }
            let Some(state) = gateway.registry.get(&runner) else {
                continue;
            };
            let reason = if !state.is_usable(now) {
                Exclusion::Unusable
            } else if target.is_some_and(|target| !state.holds_model(&target.model, now)) {
                Exclusion::NoModel
            } else {
                Exclusion::Refused
            };
            self.omissions.push(Omission { runner, reason });
        }
    }
}

// The request without its body. As the body is part of the fingerprint, a quarantine of the
// whole request is not seen; that of a part of its prompt is.
fn exchange(gateway: &Gateway, mut call: Call) -> Result<Exchange, Reason> {
    let environment = gateway.serving_environment();
    let environment = environment.ok_or(Reason::NoEnvironment)?;
    let route = environment.route(&call.host, &call.path);
    let mut route = route.ok_or(Reason::NoRoute)?.clone();
    let tenants = environment.tenants.as_ref();
    let tenant = tenants.and_then(|tenants| tenants.get(call.tenant.as_deref()?));
    let tenant = tenant.map(Arc::clone);
    if let Some(rank) = tenant.as_ref().and_then(|tenant| tenant.rank) {
        route.rank = rank;
    }
    let service = route.service(call.seed()).ok_or(Reason::NoRunner)?.clone();
    call.target
        .take_if(|_| environment.engine(&service).is_none());
    let arrived = gateway.now();
    let limit = call
        .timeout
        .map_or(route.timeout, |timeout| timeout.min(route.timeout));
    Ok(Exchange {
        head: http::Request::new(()).into_parts().0,
        body: Bytes::new(),
        blocks: call.blocks(),
        call,
        environment,
        route,
        service,
        tenant,
        arrived,
        deadline: arrived + limit,
        fingerprint: OnceLock::new(),
    })
}
