//! Requests to the instances.

use std::net::SocketAddr;
use std::time::Duration;

use almondbank_port::{Category, http};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::failure::Failure;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Talks to the first instance that can be reached.
pub struct Client {
    entries: Vec<SocketAddr>,
    key: String,
    http: http::Client,
}

impl Client {
    /// Makes a client that sends `key`.
    pub fn new(entries: Vec<SocketAddr>, key: String) -> Self {
        Self {
            entries,
            key,
            http: http::Client::new(),
        }
    }

    /// Gets `path`.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, Failure> {
        self.exchange(Method::GET, path, Bytes::new()).await
    }

    /// Posts `body` to `path`.
    pub async fn post<A: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<A, Failure> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.exchange(Method::POST, path, body.into()).await
    }

    // Goes on to the next instance only if nothing was sent to the last one.
    async fn exchange<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<A, Failure> {
        let mut last = Failure::Usage("no --entry given".to_owned());
        for entry in &self.entries {
            let request = Request::builder()
                .method(method.clone())
                .uri(format!("http://{entry}/operator/v1{path}"))
                .header("authorization", format!("Bearer {}", self.key))
                .body(Full::new(body.clone()))
                .map_err(|error| Failure::Usage(error.to_string()))?;
            match self.http.call(request, TIMEOUT).await {
                Ok(answer) => return read(answer.status().as_u16(), answer.body()),
                Err(error) if error.category() == Category::NotSent => {
                    last = Failure::Unreachable(error);
                }
                Err(error) => return Err(Failure::Unreachable(error)),
            }
        }
        Err(last)
    }
}

fn read<A: DeserializeOwned>(status: u16, body: &[u8]) -> Result<A, Failure> {
    if status == 200 {
        return serde_json::from_slice(body).map_err(|_| Failure::Unexpected(status));
    }
    match serde_json::from_slice(body) {
        Ok(refusal) => Err(Failure::Refused(Box::new(refusal))),
        Err(_) => Err(Failure::Unexpected(status)),
    }
}
