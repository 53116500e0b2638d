//! Adapter to a table service that speaks JSON over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use almondbank_wire::table as wire;
use async_trait::async_trait;

use crate::error::Code;
use crate::table::{Outcome, Row, Table, Transaction};
use crate::{Result, http};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const WRITER_SEPARATOR: char = '\n';

/// A table service at an address.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    http: http::Client,
}

impl Client {
    /// Makes an adapter for the service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, http: http::Client) -> Self {
        Self { address, http }
    }
}

#[async_trait]
impl Table for Client {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let question = key_of(key);
        let cell: Option<wire::Cell> = self
            .http
            .post(self.address, "/table/get", &question, CALL_TIMEOUT)
            .await?;
        cell.map(row).transpose()
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        let question = key_of(prefix);
        let cells: Vec<wire::Cell> = self
            .http
            .post(self.address, "/table/scan", &question, CALL_TIMEOUT)
            .await?;
        cells.into_iter().map(row).collect()
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Outcome> {
        let answer: wire::Commit = self
            .http
            .post(
                self.address,
                "/table/commit",
                &encode(transaction),
                CALL_TIMEOUT,
            )
            .await?;
        if answer.committed {
            return Ok(Outcome::Committed(answer.version));
        }
        Ok(Outcome::Conflict(answer.conflict.unwrap_or_default()))
    }
}

fn key_of(key: &str) -> wire::Key {
    wire::Key {
        key: key.to_owned(),
    }
}

// The id of the writing transaction travels in front of the value, since the
// service itself knows nothing of it.
fn encode(transaction: &Transaction) -> wire::Transaction {
    let conditions = transaction
        .conditions()
        .iter()
        .map(|(key, version)| wire::Condition {
            key: key.clone(),
            version: *version,
        })
        .collect();
    let marked = |value: &String| format!("{}{WRITER_SEPARATOR}{value}", transaction.id());
    let writes = transaction
        .writes()
        .iter()
        .map(|(key, value)| wire::Write {
            key: key.clone(),
            value: value.as_ref().map(marked),
        })
        .collect();
    wire::Transaction { conditions, writes }
}

fn row(cell: wire::Cell) -> Result<Row> {
    let (writer, value) = cell
        .value
        .split_once(WRITER_SEPARATOR)
        .ok_or_else(|| Code::Malformed(format!("row {} has no writer", cell.key)))?;
    Ok(Row {
        writer: writer.to_owned(),
        value: value.to_owned(),
        key: cell.key,
        version: cell.version,
    })
}
