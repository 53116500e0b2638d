//! HTTP client for the operator API.

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

/// Sends each request to the first instance that accepts a connection.
pub struct Client {
    entries: Vec<SocketAddr>,
    key: String,
    http: http::Client,
}

impl Client {
    /// Creates a client that sends `key` as its bearer token.
    pub fn new(entries: Vec<SocketAddr>, key: String) -> Self {
        Self {
            entries,
            key,
            http: http::Client::new(),
        }
    }

    /// Sends a GET request for `path`.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, Failure> {
        self.send(Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST request with `body` as JSON.
    pub async fn post<A: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<A, Failure> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.send(Method::POST, path, body.into()).await
    }

    // Tries the next instance only if nothing was sent to the previous one: a request that
    // was sent may have taken effect.
    async fn send<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<A, Failure> {
        let mut last_error = Failure::Usage("no --entry given".to_owned());
        for entry in &self.entries {
            let request = Request::builder()
                .method(method.clone())
                .uri(format!("http://{entry}/operator/v1{path}"))
                .header("authorization", format!("Bearer {}", self.key))
                .body(Full::new(body.clone()))
                .map_err(|error| Failure::Usage(error.to_string()))?;
            match self.http.call(request, TIMEOUT).await {
                Ok(response) => return parse(response.status().as_u16(), response.body()),
                Err(error) if error.category() == Category::NotSent => {
                    last_error = Failure::Unreachable(error);
                }
                Err(error) => return Err(Failure::Unreachable(error)),
            }
        }
        Err(last_error)
    }
}

fn parse<A: DeserializeOwned>(status: u16, body: &[u8]) -> Result<A, Failure> {
    if status == 200 {
        return serde_json::from_slice(body).map_err(|_| Failure::Unexpected(status));
    }
    match serde_json::from_slice(body) {
        Ok(refusal) => Err(Failure::Refused(Box::new(refusal))),
        Err(_) => Err(Failure::Unexpected(status)),
    }
}
