//! What was sent, answered and run, as it is written to `record.txt`.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    began: Instant,
    file: BufWriter<File>,
    /// Number of runs by attempt id.
    runs: BTreeMap<String, usize>,
    orders: Vec<Order>,
}

/// An order as a runner received it.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub runner: String,
    pub holder: String,
    pub fencing: u64,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            inner: Arc::new(Mutex::new(Inner {
                began: Instant::now(),
                file: BufWriter::new(File::create(path)?),
                runs: BTreeMap::new(),
                orders: Vec::new(),
            })),
        })
    }

    pub fn line(&self, text: &str) {
        let mut inner = self.inner.lock().unwrap();
        let time = inner.began.elapsed().as_secs_f64();
        let _ = writeln!(inner.file, "{time:8.3} {text}");
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn ran(&self, attempt: &str, runner: &str) {
        self.line(&format!("run {attempt} at {runner}"));
        let mut inner = self.inner.lock().unwrap();
        *inner.runs.entry(attempt.to_owned()).or_default() += 1;
    }

    pub fn runs(&self, attempt: &str) -> usize {
        let inner = self.inner.lock().unwrap();
        inner.runs.get(attempt).copied().unwrap_or(0)
    }

    pub fn ordered(&self, runner: &str, holder: &str, fencing: u64) {
        let order = Order {
            at: Instant::now(),
            runner: runner.to_owned(),
            holder: holder.to_owned(),
            fencing,
        };
        self.inner.lock().unwrap().orders.push(order);
    }

    pub fn orders(&self) -> Vec<Order> {
        self.inner.lock().unwrap().orders.clone()
    }

    pub fn flush(&self) {
        let _ = self.inner.lock().unwrap().file.flush();
    }
}
