//! The platform's metadata store: rows with versions, conditional transactions and a feed.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reader};
use crate::json::{self, Json};

type Key = (String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    changes: BTreeMap<Key, u64>,
}

#[derive(Default)]
struct Inner {
    rows: Mutex<Rows>,
    changed: Condvar,
}

/// A running store. All its history is kept.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store at a free port of `host`.
    pub fn start(host: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        let store = Self { inner: Arc::default(), address: listener.local_addr()? };
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row of the operator or of a runner.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.inner.rows.lock().unwrap();
        rows.version += 1;
        rows.set((table.to_owned(), key.to_owned()), Some(json::base64(value.as_bytes())));
        drop(rows);
        self.inner.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.request() {
            let (status, body) = match request.path() {
                "/v1/rows-get" => (200, self.get(&request)),
                "/v1/rows-feed" => (200, self.feed(&request)),
                "/v1/rows-tx" => self.commit(&request),
                _ => (404, "{}".to_owned()),
            };
            if http::respond(&mut writer, status, "Content-Type: application/json\r\n", &body).is_err() {
                return;
            }
        }
    }

    fn get(&self, request: &Message) -> String {
        let table = request.parameter("table").unwrap_or_default();
        let from = request.parameter("from").unwrap_or_default();
        let to = request.parameter("to");
        let rows = self.inner.rows.lock().unwrap();
        let listed: Vec<_> = rows
            .rows
            .keys()
            .filter(|(of, key)| *of == table && *key >= from)
            .filter(|(_, key)| to.as_ref().is_none_or(|to| key < to))
            .map(|key| rows.entry(key))
            .collect();
        page(&listed, rows.version)
    }

    fn feed(&self, request: &Message) -> String {
        let number = |name| request.parameter(name).and_then(|text| text.parse().ok()).unwrap_or(0u64);
        let (after, table) = (number("after"), request.parameter("table").unwrap_or_default());
        let end = Instant::now() + Duration::from_millis(number("waitMs"));
        let mut rows = self.inner.rows.lock().unwrap();
        loop {
            let mut changed: Vec<_> = rows
                .changes
                .iter()
                .filter(|((of, _), version)| *of == table && **version > after)
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, version)| **version);
                let listed: Vec<_> = changed.iter().map(|(key, _)| rows.entry(key)).collect();
                return page(&listed, rows.version);
            }
            rows = self.inner.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn commit(&self, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let mut rows = self.inner.rows.lock().unwrap();
        let expected = body.get("expected").entries();
        let current = |key: &Key| rows.rows.get(key).map_or(0, |(_, version)| *version);
        if expected.iter().any(|row| row.get("rowVersion").number() != Some(current(&key(row)))) {
            let present = expected.iter().map(key).filter(|key| rows.rows.contains_key(key));
            let listed: Vec<_> = present.map(|key| rows.entry(&key)).collect();
            return (412, format!("{{\"rows\":[{}]}}", listed.join(",")));
        }
        rows.version += 1;
        for row in body.get("setKeys").entries() {
            rows.set(key(row), Some(row.get("value").text().to_owned()));
        }
        for row in body.get("remove").entries() {
            rows.set(key(row), None);
        }
        let version = rows.version;
        drop(rows);
        self.inner.changed.notify_all();
        (200, format!("{{\"rowVersion\":{version},\"nowMs\":0}}"))
    }
}

impl Rows {
    fn set(&mut self, key: Key, value: Option<String>) {
        self.changes.insert(key.clone(), self.version);
        match value {
            Some(value) => self.rows.insert(key, (value, self.version)),
            None => self.rows.remove(&key),
        };
    }

    fn entry(&self, key: &Key) -> String {
        let (table, name) = (json::quote(&key.0), json::quote(&key.1));
        let version = self.changes.get(key).copied().unwrap_or(0);
        let rest = match self.rows.get(key) {
            Some((value, _)) => format!("\"value\":{}", json::quote(value)),
            None => "\"deleted\":true".to_owned(),
        };
        format!("{{\"table\":{table},\"part\":\"\",\"key\":{name},\"rowVersion\":{version},{rest}}}")
    }
}

fn page(rows: &[String], version: u64) -> String {
    format!("{{\"rows\":[{}],\"hasMore\":false,\"rowVersion\":{version},\"nowMs\":0}}", rows.join(","))
}

fn key(row: &Json) -> Key {
    (row.get("table").text().to_owned(), row.get("key").text().to_owned())
}
