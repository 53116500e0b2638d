//! A fake platform: table service, object store and roster behind one address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::table::{Outcome, Table, Transaction};
use almondbank_wire::table as wire;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::server::{self, Body, Server, Service};
use crate::store::{Fault, Store};

/// Injected faults of the platform.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// The table service and the object store drop connections without a response.
    pub down: bool,
    /// Delay of every response, in milliseconds.
    pub slow_ms: u64,
    /// Number of commits that take effect but whose response is lost.
    pub lose_answers: u32,
    /// VMs that the roster lists as leaving.
    pub leaving: Vec<String>,
    /// VMs that are removed from the roster.
    pub gone: Vec<String>,
}

/// A fake platform.
#[derive(Debug, Default)]
pub struct Platform {
    /// Table service, shared with the tests.
    pub store: Store,
    objects: Mutex<BTreeMap<String, Bytes>>,
    vms: Mutex<BTreeMap<String, wire::State>>,
    faults: Mutex<Faults>,
}

impl Platform {
    /// Creates a platform whose roster lists `vms` as live.
    #[must_use]
    pub fn new(vms: impl IntoIterator<Item = String>) -> Arc<Self> {
        let vms = vms.into_iter().map(|vm| (vm, wire::State::Live)).collect();
        Arc::new(Self {
            vms: Mutex::new(vms),
            ..Self::default()
        })
    }

    /// Starts an HTTP server for it on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Server> {
        server::start(address, Arc::clone(self)).await
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.store.set_down(faults.down);
        let lost_responses = (0..faults.lose_answers).map(|_| Fault::ResponseLost);
        self.store.inject(lost_responses);
        let mut vms = self.vms.lock();
        for vm in &faults.leaving {
            vms.insert(vm.clone(), wire::State::Leaving);
        }
        vms.retain(|vm, _| !faults.gone.contains(vm));
        drop(vms);
        *self.faults.lock() = faults;
    }

    async fn get(&self, key: &str) -> Option<Response<Body>> {
        let row = self.store.get(key).await.ok()?;
        Some(server::json(&row.map(to_cell)))
    }

    async fn scan(&self, prefix: &str) -> Option<Response<Body>> {
        let rows = self.store.scan(prefix).await.ok()?;
        let cells: Vec<_> = rows.into_iter().map(to_cell).collect();
        Some(server::json(&cells))
    }

    async fn commit(&self, request: wire::Transaction) -> Option<Response<Body>> {
        let mut transaction = Transaction::new("");
        for condition in request.conditions {
            transaction = transaction.require(condition.key, condition.version);
        }
        for write in request.writes {
            transaction = match write.value {
                Some(value) => transaction.put(write.key, value),
                None => transaction.delete(write.key),
            };
        }
        let outcome = self.store.commit(&transaction).await.ok()?;
        let response = match outcome {
            Outcome::Committed(version) => wire::Commit {
                committed: true,
                version,
                conflict: None,
            },
            Outcome::Conflict(key) => wire::Commit {
                committed: false,
                version: 0,
                conflict: Some(key),
            },
        };
        Some(server::json(&response))
    }

    fn get_object(&self, key: &str) -> Response<Body> {
        match self.objects.lock().get(key) {
            Some(body) => server::response(StatusCode::OK, body.clone()),
            None => server::response(StatusCode::NOT_FOUND, ""),
        }
    }

    fn put_object(&self, key: &str, body: Bytes) -> Response<Body> {
        let mut objects = self.objects.lock();
        if objects.contains_key(key) {
            return server::response(StatusCode::PRECONDITION_FAILED, "");
        }
        objects.insert(key.to_owned(), body);
        server::response(StatusCode::OK, "")
    }

    fn roster(&self) -> Response<Body> {
        let vms: Vec<_> = self
            .vms
            .lock()
            .iter()
            .map(|(name, state)| wire::Vm {
                name: name.clone(),
                state: *state,
            })
            .collect();
        server::json(&vms)
    }
}

impl Service for Platform {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let body = server::collect(request).await;
        if path == "/faults" {
            self.set_faults(serde_json::from_slice(&body).ok()?);
            return Some(server::json(&true));
        }
        let faults = self.faults.lock().clone();
        if faults.slow_ms > 0 {
            time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if path == "/roster" {
            return Some(self.roster());
        }
        if faults.down {
            return None;
        }
        if let Some(key) = path.strip_prefix("/objects/") {
            return Some(if method == Method::PUT {
                self.put_object(key, body)
            } else {
                self.get_object(key)
            });
        }
        if path == "/table/commit" {
            return self.commit(serde_json::from_slice(&body).ok()?).await;
        }
        let key: wire::Key = serde_json::from_slice(&body).ok()?;
        match path.as_str() {
            "/table/get" => self.get(&key.key).await,
            "/table/scan" => self.scan(&key.key).await,
            _ => Some(server::response(StatusCode::NOT_FOUND, "")),
        }
    }
}

fn to_cell(row: almondbank_port::table::Row) -> wire::Cell {
    wire::Cell {
        key: row.key,
        version: row.version,
        value: row.value,
    }
}
