//! A fake service that counts the executions of each idempotency key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time;

use crate::server::{self, Body, Server, Service as HttpService};

/// Latency and injected faults of the service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Behaviour {
    /// Execution time of a call, in milliseconds.
    pub delay_ms: u64,
    /// Calls are executed but never get a response.
    pub silent: bool,
    /// The connection is closed without a response after the call was executed.
    pub cut: bool,
}

/// A fake service.
#[derive(Debug, Default)]
pub struct Service {
    runs: Mutex<BTreeMap<String, u64>>,
    behaviour: Mutex<Behaviour>,
}

impl Service {
    /// Creates a service without faults.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Starts an HTTP server for it on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Server> {
        server::start(address, Arc::clone(self)).await
    }

    /// Replaces the latency and the injected faults.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock() = behaviour;
    }

    /// Number of executions so far, by idempotency key.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs.lock().clone()
    }
}

impl HttpService for Service {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        let key = request
            .headers()
            .get("idempotency-key")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let body = server::collect(request).await;
        match path.as_str() {
            "/runs" => return Some(server::json(&self.runs())),
            "/behaviour" => {
                self.set_behaviour(serde_json::from_slice(&body).ok()?);
                return Some(server::json(&true));
            }
            _ => {}
        }
        let run = {
            let mut runs = self.runs.lock();
            let count = runs.entry(key.clone()).or_default();
            *count += 1;
            *count
        };
        let behaviour = self.behaviour.lock().clone();
        time::sleep(Duration::from_millis(behaviour.delay_ms)).await;
        if behaviour.silent {
            std::future::pending::<()>().await;
        }
        if behaviour.cut {
            return None;
        }
        let text = String::from_utf8_lossy(&body).into_owned();
        Some(server::json(&json!({
            "path": path,
            "key": key,
            "run": run,
            "body": text,
        })))
    }
}
