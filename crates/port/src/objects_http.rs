//! Client of an object store over HTTP with conditional writes (`If-None-Match`).

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};

use crate::error::Code;
use crate::objects::Objects;
use crate::{Result, http};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of one object store.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    http: http::Client,
}

impl Client {
    /// Makes a client of the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, http: http::Client) -> Self {
        Self { address, http }
    }

    fn url(&self, key: &str) -> String {
        format!("http://{}/objects/{key}", self.address)
    }
}

#[async_trait]
impl Objects for Client {
    async fn get(&self, key: &str) -> Result<Option<Bytes>> {
        let request = Request::get(self.url(key))
            .body(Full::default())
            .map_err(|error| Code::NotSent(error.to_string()))?;
        let response = self.http.call(request, CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => Ok(Some(response.into_body())),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(Code::Status(status.as_u16()).into()),
        }
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<()> {
        let request = Request::put(self.url(key))
            .header(header::IF_NONE_MATCH, "*")
            .body(Full::new(body.clone()))
            .map_err(|error| Code::NotSent(error.to_string()))?;
        let response = self.http.call(request, CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => Ok(()),
            StatusCode::PRECONDITION_FAILED if self.get(key).await? == Some(body) => Ok(()),
            status => Err(Code::Status(status.as_u16()).into()),
        }
    }
}
