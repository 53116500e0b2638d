//! Client of a table service over HTTP with JSON.

use std::net::SocketAddr;
use std::time::Duration;

use almondbank_wire::table as wire;
use async_trait::async_trait;

use crate::error::Code;
use crate::table::{Outcome, Row, Table, Transaction};
use crate::{Result, http};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const WRITER_SEPARATOR: char = '\n';

/// A client of one table service.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    http: http::Client,
}

impl Client {
    /// Makes a client of the service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, http: http::Client) -> Self {
        Self { address, http }
    }
}

#[async_trait]
impl Table for Client {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let payload = to_wire_key(key);
        let cell: Option<wire::Cell> = self
            .http
            .post(self.address, "/table/get", &payload, CALL_TIMEOUT)
            .await?;
        cell.map(decode_row).transpose()
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        let payload = to_wire_key(prefix);
        let cells: Vec<wire::Cell> = self
            .http
            .post(self.address, "/table/scan", &payload, CALL_TIMEOUT)
            .await?;
        cells.into_iter().map(decode_row).collect()
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Outcome> {
        let response: wire::Commit = self
            .http
            .post(
                self.address,
                "/table/commit",
                &encode_transaction(transaction),
                CALL_TIMEOUT,
            )
            .await?;
        if response.committed {
            return Ok(Outcome::Committed(response.version));
        }
        Ok(Outcome::Conflict(response.conflict.unwrap_or_default()))
    }
}

fn to_wire_key(key: &str) -> wire::Key {
    wire::Key {
        key: key.to_owned(),
    }
}

// Prefixes each value with the id of the transaction, because the service has no
// field for the writer.
fn encode_transaction(transaction: &Transaction) -> wire::Transaction {
    let conditions = transaction
        .conditions()
        .iter()
        .map(|(key, version)| wire::Condition {
            key: key.clone(),
            version: *version,
        })
        .collect();
    let with_writer = |value: &String| format!("{}{WRITER_SEPARATOR}{value}", transaction.id());
    let writes = transaction
        .writes()
        .iter()
        .map(|(key, value)| wire::Write {
            key: key.clone(),
            value: value.as_ref().map(with_writer),
        })
        .collect();
    wire::Transaction { conditions, writes }
}

fn decode_row(cell: wire::Cell) -> Result<Row> {
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
