//! A caller's request in progress.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use hyper::http;

use crate::call::{Block, Call};
use crate::environment::Environment;
use crate::route::Route;
use crate::service::Engine;
use crate::suspect::Suspect;
use crate::tenant::Tenant;
use crate::{fingerprint, id};

/// Fraction of its time limit that a request may wait for a replica. The rest is
/// reserved for the response to reach the caller before it leaves.
const MAX_WAIT_FRACTION: f64 = 0.9;
/// Time without the end of an event after which a stream that still sends bytes is
/// broken off, as a multiple of the time after which its caller disconnects.
const STALL_FACTOR: u32 = 2;

/// A caller's request with its route, service and deadline.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) head: http::request::Parts,
    pub(crate) body: Bytes,
    pub(crate) call: Call,
    pub(crate) blocks: Vec<Block>,
    pub(crate) environment: Arc<Environment>,
    pub(crate) route: Route,
    pub(crate) service: id::Service,
    /// Tenant of the caller, if the environment has tenants and the route is not public.
    pub(crate) tenant: Option<Arc<Tenant>>,
    pub(crate) arrived: Duration,
    /// Time at which the caller's or the route's timeout expires.
    pub(crate) deadline: Duration,
    /// Computed when it is first asked for.
    pub(crate) fingerprint: OnceLock<id::Fingerprint>,
}

impl Exchange {
    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Time until which the request may wait for a replica: until shortly before its
    /// deadline, or before the caller of a stream disconnects for lack of an event.
    pub(crate) fn wait_deadline(&self) -> Duration {
        let limit = self.deadline.saturating_sub(self.arrived);
        let idle = self.route.idle_timeout.unwrap_or(limit);
        self.arrived + limit.min(idle).mul_f64(MAX_WAIT_FRACTION)
    }

    /// Time until which a request that has a replica may wait for its adapter there: until
    /// shortly before its deadline.
    pub(crate) fn adapter_deadline(&self) -> Duration {
        let limit = self.deadline.saturating_sub(self.arrived);
        self.arrived + limit.mul_f64(MAX_WAIT_FRACTION)
    }

    /// Time without the end of an event after which more bytes are no progress. A silent
    /// stream is left to its caller, which disconnects sooner.
    pub(crate) fn stall_timeout(&self) -> Duration {
        let idle = self.route.idle_timeout;
        idle.map_or(Duration::MAX, |idle| idle.saturating_mul(STALL_FACTOR))
    }

    /// Returns the engine of the service, if the request names a model.
    pub(crate) fn engine(&self) -> Option<&Engine> {
        self.call.target.as_ref()?;
        self.environment.engine(&self.service)
    }

    /// Returns the name of the requested model, if the engine of the service has it.
    pub(crate) fn model(&self) -> Option<&id::Model> {
        let model = &self.call.target.as_ref()?.model;
        let is_known = self.environment.has_model(&self.service, model);
        is_known.then_some(model)
    }

    /// The request as what may crash a runner.
    pub(crate) fn as_suspect(&self) -> Suspect {
        let tenant = self.tenant.as_ref().map(|tenant| tenant.name.as_str());
        let compute = || fingerprint::of(&self.head, &self.call, tenant, &self.body);
        Suspect::Request(self.fingerprint.get_or_init(compute).clone())
    }

    /// The shared parts of the prompt as what may crash a runner, in their order.
    pub(crate) fn suspected_parts(&self) -> impl Iterator<Item = Suspect> + '_ {
        let has_engine = self.engine().is_some();
        let parts = self.call.shared_parts().filter(move |_| has_engine);
        parts.map(Suspect::part)
    }

    /// Maximum number of tokens that the request takes up in the KV cache of a runner.
    pub(crate) fn tokens(&self) -> u64 {
        self.call.prompt_tokens + self.call.max_output_tokens
    }
}
