//! The platform's metadata store: versioned rows in tables, with a feed.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{self, Value};

/// Status of a call that gets no answer, and of one whose connection closes.
const SILENT: u16 = 0;
const BROKEN: u16 = 1;
/// Time for which its connection stays open.
const SILENCE: Duration = Duration::from_secs(30);

type Key = (String, String);

#[derive(Clone, Default)]
struct Rows {
    /// Base64 value (`None` if the row was dropped) and version.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
    /// Number of times that it came back from a copy.
    era: u64,
}

/// A copy of all rows.
pub struct Copy(Rows);

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    /// Whether it answers no call.
    is_away: Arc<AtomicBool>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            rows: Arc::default(),
            is_away: Arc::default(),
            address: listener.local_addr()?,
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or a runner does; not while it is away.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        if self.is_away.load(Ordering::Relaxed) {
            return;
        }
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), key.to_owned());
        rows.rows
            .insert(key, (Some(encode(value.as_bytes())), version));
        changed.notify_all();
    }

    /// Copies all rows.
    pub fn copy(&self) -> Copy {
        Copy(self.rows.0.lock().unwrap().clone())
    }

    /// Goes away: feeds break off, and later calls get no answer; their connections deliver
    /// nothing further.
    pub fn leave(&self) {
        self.is_away.store(true, Ordering::Relaxed);
        self.rows.1.notify_all();
    }

    /// Comes back from a copy. What was written since is lost, and its versions are given out
    /// again.
    pub fn come_back(&self, copy: &Copy) {
        let mut rows = self.rows.0.lock().unwrap();
        let era = rows.era + 1;
        *rows = copy.0.clone();
        rows.era = era;
        self.is_away.store(false, Ordering::Relaxed);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.is_away.load(Ordering::Relaxed) {
                return thread::sleep(SILENCE);
            }
            let (status, body) = match request.path() {
                "/v1/rows-tx" => self.commit(&request),
                "/v1/rows-get" => self.read(&request),
                "/v1/rows-feed" => self.feed(&request),
                _ => (404, "{}".to_owned()),
            };
            if status == BROKEN {
                return;
            }
            if status == SILENT || self.is_away.load(Ordering::Relaxed) {
                return thread::sleep(SILENCE);
            }
            let era = self.rows.0.lock().unwrap().era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
            if http::write_response(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn commit(&self, request: &Request) -> (u16, String) {
        // A transaction takes some milliseconds.
        thread::sleep(Duration::from_millis(4));
        let text = String::from_utf8_lossy(&request.body);
        let Some(call) = json::parse(&text) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Value| {
            (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        if self.is_away.load(Ordering::Relaxed) {
            return (SILENT, String::new());
        }
        let current = |rows: &Rows, key: &Key| match rows.rows.get(key) {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        let expected = call.get("expected").list();
        let holds = |row: &Value| current(&rows, &key(row)) == row.get("rowVersion").number();
        if !expected.iter().all(holds) {
            let found: Vec<_> = expected
                .iter()
                .filter_map(|row| {
                    let key = key(row);
                    let (value, version) = rows.rows.get(&key)?;
                    value.as_ref()?;
                    Some(text_of(&key, value.as_deref(), *version))
                })
                .collect();
            return (412, format!("{{\"rows\":[{}]}}", found.join(",")));
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.get("setKeys").list() {
            let value = row.get("value").text().to_owned();
            rows.rows.insert(key(row), (Some(value), version));
        }
        for row in call.get("remove").list() {
            rows.rows.insert(key(row), (None, version));
        }
        changed.notify_all();
        (200, format!("{{\"rowVersion\":{version},\"nowMs\":0}}"))
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let table = request.parameter("table").unwrap_or_default();
        let from = request.parameter("from").unwrap_or_default();
        let to = request.parameter("to");
        let rows = self.rows.0.lock().unwrap();
        let found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((of, key), (value, _))| *of == table && *key >= from && value.is_some())
            .filter(|((_, key), _)| to.as_ref().is_none_or(|to| key < to))
            .map(|(key, (value, version))| text_of(key, value.as_deref(), *version))
            .collect();
        (200, page(&found, rows.version))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let number = |name: &str| {
            let text = request.parameter(name).unwrap_or_default();
            text.parse::<u64>().unwrap_or(0)
        };
        let (after, wait) = (number("after"), number("waitMs"));
        let table = request.parameter("table").unwrap_or_default();
        let deadline = Instant::now() + Duration::from_millis(wait);
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let era = rows.era;
        loop {
            if rows.era != era || self.is_away.load(Ordering::Relaxed) {
                return (BROKEN, String::new());
            }
            if after > rows.version {
                return (410, "{}".to_owned());
            }
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((of, _), (_, version))| *of == table && *version > after)
                .collect();
            found.sort_by_key(|(_, (_, version))| *version);
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let found: Vec<_> = found
                    .iter()
                    .map(|(key, (value, version))| text_of(key, value.as_deref(), *version))
                    .collect();
                return (200, page(&found, rows.version));
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn page(rows: &[String], version: u64) -> String {
    format!(
        "{{\"rows\":[{}],\"rowVersion\":{version},\"hasMore\":false,\"nowMs\":0}}",
        rows.join(",")
    )
}

fn text_of((table, key): &Key, value: Option<&str>, version: u64) -> String {
    let value = match value {
        Some(value) => format!("\"value\":{}", json::quote(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},{value},\"rowVersion\":{version}}}",
        json::quote(table),
        json::quote(key)
    )
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (number >> (18 - 6 * place)) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
