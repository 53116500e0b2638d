//! One request of a caller while it is being served.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http;

use crate::call::{Block, Call};
use crate::environment::Environment;
use crate::id;
use crate::route::Route;
use crate::service::{Engine, Service};

/// Share of its time that a request waits for a replica. What is left is for the
/// answer to reach the caller while it still listens.
const MAX_WAIT_SHARE: f64 = 0.9;

/// One request of a caller.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) head: http::request::Parts,
    pub(crate) body: Bytes,
    pub(crate) call: Call,
    pub(crate) blocks: Vec<Block>,
    pub(crate) environment: Arc<Environment>,
    pub(crate) route: Route,
    pub(crate) service: id::Service,
    pub(crate) arrived: Duration,
    /// When the caller or the route gives up.
    pub(crate) deadline: Duration,
}

impl Exchange {
    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// When it stops waiting for a replica.
    pub(crate) fn wait_deadline(&self) -> Duration {
        let whole = self.deadline.saturating_sub(self.arrived);
        self.arrived + whole.mul_f64(MAX_WAIT_SHARE)
    }

    pub(crate) fn service(&self) -> Option<&Service> {
        self.environment.services.get(&self.service)
    }

    /// The engine, if the request asks for a model of one.
    pub(crate) fn engine(&self) -> Option<&Engine> {
        self.call.target.as_ref()?;
        self.service()?.engine.as_ref()
    }

    /// Tokens of memory that the request takes on an engine.
    pub(crate) fn tokens(&self) -> u64 {
        self.call.prompt_tokens + self.call.max_output_tokens
    }
}
