//! HTTP client for tests and examples.

use std::net::SocketAddr;
use std::time::Duration;

use almondbank_port::http;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use serde::Serialize;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_mins(1);

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
}

impl Response {
    /// Parses the body as JSON; returns null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the generated text of a chat completion, streamed or not.
    #[must_use]
    pub fn content(&self) -> String {
        let body = self.json();
        if let Some(content) = body["choices"][0]["message"]["content"].as_str() {
            return content.to_owned();
        }
        self.text()
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|event| serde_json::from_str::<Value>(event).ok())
            .filter_map(|event| {
                let content = &event["choices"][0]["delta"]["content"];
                content.as_str().map(str::to_owned)
            })
            .collect()
    }
}

/// A client that authenticates as a caller or an operator with a bearer key.
#[derive(Clone, Debug)]
pub struct Client {
    http: http::Client,
    key: String,
}

impl Client {
    /// Creates a client that sends `key` as its bearer token.
    #[must_use]
    pub fn new(key: impl Into<String>) -> Self {
        Self {
            http: http::Client::new(),
            key: key.into(),
        }
    }

    /// Sends a request and collects the response.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be sent or no complete response arrives.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> almondbank_port::Result<Response> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.into()))
            .map_err(|_| almondbank_port::Error::not_sent())?;
        let response = self.http.call(request, TIMEOUT).await?;
        Ok(Response {
            status: response.status().as_u16(),
            body: response.into_body(),
        })
    }

    /// Sends a GET request for `path`.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be sent or no complete response arrives.
    pub async fn get(&self, address: SocketAddr, path: &str) -> almondbank_port::Result<Response> {
        self.send(address, Method::GET, path, &[], "").await
    }

    /// Sends a POST request with `body` as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be sent or no complete response arrives.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &(impl Serialize + Sync),
    ) -> almondbank_port::Result<Response> {
        let text = serde_json::to_vec(body).unwrap_or_default();
        self.send(address, Method::POST, path, headers, text).await
    }

    /// Sends a chat completion request with one user message.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be sent or no complete response arrives.
    pub async fn chat(
        &self,
        address: SocketAddr,
        model: &str,
        prompt: &str,
        stream: bool,
    ) -> almondbank_port::Result<Response> {
        let body = json!({
            "model": model,
            "stream": stream,
            "messages": [{"role": "user", "content": prompt}],
        });
        self.post(address, "/v1/chat/completions", &[], &body).await
    }

    /// Sends a service call, with `key` as its idempotency key unless it is empty.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be sent or no complete response arrives.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &str,
        key: &str,
        body: &Value,
    ) -> almondbank_port::Result<Response> {
        let headers: &[(&str, &str)] = if key.is_empty() {
            &[]
        } else {
            &[("idempotency-key", key)]
        };
        self.post(address, &format!("/v1/services/{call}"), headers, body)
            .await
    }

    /// Fetches the ticket of the instance at `address`, the prefix of ticketed idempotency keys.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be sent or no complete response arrives.
    pub async fn ticket(&self, address: SocketAddr) -> almondbank_port::Result<String> {
        let entries = self.get(address, "/v1/entries").await?.json();
        Ok(entries["ticket"].as_str().unwrap_or_default().to_owned())
    }
}
