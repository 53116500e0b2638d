//! A row of the store that the leader writes, and that instances read at their start.

use std::time::Duration;

use almondbank_control::key;
use almondbank_port::table::Transaction;
use almondbank_port::{Category, Result, commit};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::gateway::Gateway;

/// Interval between two attempts to read, and at which a leader compares the row.
pub(crate) const INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the row is written again, in case the store has lost it.
const REWRITE_INTERVAL: Duration = Duration::from_secs(30);
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Repeats a read until the store responds; `None` if the instance stops before. Logs call the
/// rows `name`.
pub(crate) async fn read<Value, Reading>(
    gateway: &Gateway,
    name: &str,
    read: impl Fn() -> Reading,
) -> Option<Value>
where
    Reading: Future<Output = Result<Value>>,
{
    while !gateway.stopped.is_cancelled() {
        match read().await {
            Ok(value) => return Some(value),
            Err(error) => {
                log::info!(row = name, error:% = error; "row could not be read");
                gateway.clock.sleep(INTERVAL).await;
            }
        }
    }
    None
}

/// A row whose value has `Content`, which decides whether it is written again.
#[derive(Debug)]
pub(crate) struct Row<Content> {
    key: String,
    /// Name of the value, for logs and for the id of the writer.
    name: &'static str,
    /// What this leader has written last, or the store has refused, and when.
    written: Option<(Content, Duration)>,
}

impl<Content: Eq> Row<Content> {
    pub(crate) fn new(key: String, name: &'static str) -> Self {
        Self {
            key,
            name,
            written: None,
        }
    }

    /// Reads the row; repeats that until the store responds or the instance stops.
    pub(crate) async fn read<Value: DeserializeOwned>(&self, gateway: &Gateway) -> Option<Value> {
        let table = &gateway.ports.table;
        let row = read(gateway, self.name, || table.get(&self.key)).await??;
        key::decode(&row.key, &row.value)
            .inspect_err(|error| {
                log::warn!(row = self.name, error:% = error; "row in the store is malformed");
            })
            .ok()
    }

    /// Whether this leader has written the row.
    pub(crate) fn is_written(&self) -> bool {
        self.written.is_some()
    }

    /// Forgets what was written, since another instance may write from now on.
    pub(crate) fn forget(&mut self) {
        self.written = None;
    }

    /// Writes `value` if its `content` differs from that of the last write, or if that was
    /// some time ago.
    pub(crate) async fn update<Value: Serialize>(
        &mut self,
        gateway: &Gateway,
        content: Content,
        value: &Value,
    ) {
        self.update_with(gateway, content, value, Vec::new()).await;
    }

    /// Writes further rows as well, each a key and a value, in the same transaction.
    pub(crate) async fn update_with<Value: Serialize>(
        &mut self,
        gateway: &Gateway,
        content: Content,
        value: &Value,
        others: Vec<(String, String)>,
    ) {
        let now = gateway.now();
        let is_settled = self
            .written
            .as_ref()
            .is_some_and(|(known, at)| *known == content && now < *at + REWRITE_INTERVAL);
        if !is_settled && self.write(gateway, value, others).await {
            self.written = Some((content, now));
        }
    }

    // Returns whether the row was written, or refused as it would be again.
    async fn write<Value: Serialize>(
        &self,
        gateway: &Gateway,
        value: &Value,
        others: Vec<(String, String)>,
    ) -> bool {
        let writer = format!("{}/{}", gateway.incarnation, self.name);
        let value = key::encode(value);
        let rows = others.len() + 1;
        let bytes = value.len() + others.iter().map(|(_, value)| value.len()).sum::<usize>();
        let mut transaction = Transaction::new(writer).put(self.key.clone(), value);
        for (key, value) in others {
            transaction = transaction.put(key, value);
        }
        let deadline = gateway.now() + WRITE_TIMEOUT;
        let table = &*gateway.ports.table;
        let written = commit::resolve(table, &*gateway.clock, &transaction, deadline).await;
        log::info!(row = self.name, rows, bytes, is_written = written.is_ok(); "row recorded");
        written.map_or_else(|error| error.category() == Category::Refused, |_| true)
    }
}
