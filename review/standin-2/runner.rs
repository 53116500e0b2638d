//! Runners, with and without an engine. They register themselves every 1.2 s.

use std::collections::{BTreeMap, BTreeSet};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::json;
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1200);

#[derive(Clone, Debug)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub slots: u64,
    /// Time for which a request runs.
    pub work: Duration,
    /// Models that it holds; a runner without an engine has none.
    pub models: Vec<String>,
    /// Time to load a model.
    pub load_time: Duration,
    /// Whether it rejects orders with an old fencing token.
    pub checks_fencing: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Number of orders that were accepted.
    sequence: u64,
    fencing: u64,
    /// Adapters by model.
    models: BTreeMap<String, Vec<String>>,
    /// Models that it has held, which have a copy on its disk.
    copies: BTreeSet<String>,
    /// Model that is being loaded, and when it is.
    loading: Option<(String, Instant)>,
}

impl State {
    // Ends a load that is over.
    fn settle(&mut self) {
        let loaded = self.loading.take_if(|(_, until)| Instant::now() >= *until);
        if let Some((model, _)) = loaded {
            self.copies.insert(model.clone());
            self.models.insert(model, Vec::new());
        }
    }
}

#[derive(Clone)]
pub struct Runner {
    pub config: Config,
    pub address: SocketAddr,
    born: u128,
    state: Arc<Mutex<State>>,
    record: Record,
    stopped: Arc<AtomicBool>,
}

impl Runner {
    /// Starts a runner, which registers itself at once and serves until the process ends.
    pub fn start(config: Config, store: &Store, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let models = config
            .models
            .iter()
            .map(|model| (model.clone(), Vec::new()));
        let runner = Self {
            address: listener.local_addr()?,
            born: now.unwrap_or_default().as_millis(),
            state: Arc::new(Mutex::new(State {
                models: models.collect(),
                copies: config.models.iter().cloned().collect(),
                ..State::default()
            })),
            record: record.clone(),
            stopped: Arc::default(),
            config,
        };
        let server = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = server.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        let (registrar, store) = (runner.clone(), store.clone());
        thread::spawn(move || {
            for number in 1.. {
                if registrar.stopped.load(Ordering::Relaxed) {
                    return;
                }
                store.put("servers", &registrar.config.id, &registrar.entry(number));
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(runner)
    }

    /// Returns the first of `models` that it does not hold.
    pub fn missing(&self, models: &[&str]) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        state.settle();
        let missing = models
            .iter()
            .find(|model| !state.models.contains_key(**model));
        missing.map(|model| (*model).to_owned())
    }

    fn models(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.settle();
        let models: Vec<_> = state
            .models
            .iter()
            .map(|(name, adapters)| {
                let adapters: Vec<_> = adapters.iter().map(|name| json::quote(name)).collect();
                let (name, adapters) = (json::quote(name), adapters.join(","));
                format!("{{\"name\":{name},\"version\":1,\"adapters\":[{adapters}]}}")
            })
            .collect();
        models.join(",")
    }

    fn copies(&self) -> String {
        let state = self.state.lock().unwrap();
        let copies: Vec<_> = state
            .copies
            .iter()
            .map(|model| json::quote(model))
            .collect();
        copies.join(",")
    }

    fn entry(&self, number: u64) -> String {
        let Config { service, slots, .. } = &self.config;
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{number},\
             \"born\":{},\"models\":[{}],\"atHand\":{{\"inMemory\":[],\"onDisk\":[{}]}}}}",
            json::quote(service),
            self.address,
            self.born,
            self.models(),
            self.copies()
        )
    }

    fn report(&self) -> String {
        let (models, copies) = (self.models(), self.copies());
        let state = self.state.lock().unwrap();
        format!(
            "{{\"stage\":\"colocated\",\"models\":[{models}],\"busy\":{},\"sequence\":{},\
             \"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":250000,\"handles\":0,\
             \"born\":{},\"atHand\":{{\"inMemory\":[],\"onDisk\":[{copies}]}}}}",
            state.loading.is_some(),
            state.sequence,
            self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.answer(&mut writer, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let id = self.config.id.as_str();
        let expected = request.header("almondbank-expect-instance");
        if !expected.is_empty() && expected != id {
            let headers = [
                ("Almondbank-Not-Executed", "1"),
                ("Almondbank-Instance-Id", id),
            ];
            return http::write_response(writer, 421, &headers, b"");
        }
        match request.path() {
            "/health" => http::write_response(writer, 200, &[("Almondbank-Instance-Id", id)], b""),
            "/v1/report" => http::write_response(writer, 200, &[], self.report().as_bytes()),
            "/v1/order" => {
                let status = self.order(request);
                http::write_response(writer, status, &[], b"{}")
            }
            _ => self.run(writer, request),
        }
    }

    // Carries an order out: a load of a model takes its time, all others are done at once.
    fn order(&self, request: &Request) -> u16 {
        let text = String::from_utf8_lossy(&request.body);
        let Some(order) = json::parse(&text) else {
            return 400;
        };
        let (model, adapter) = (order.get("model").text(), order.get("adapter").text());
        let (holder, fencing) = (
            order.get("holder").text(),
            order.get("fencingToken").number(),
        );
        self.record.ordered(&self.config.id, holder, fencing);
        self.record
            .line(&format!("order at {}: {text}", self.config.id));
        let mut state = self.state.lock().unwrap();
        state.settle();
        if self.config.checks_fencing && fencing < state.fencing {
            return 412;
        }
        state.fencing = fencing;
        if order.get("expected").number() != state.sequence || state.loading.is_some() {
            return 409;
        }
        let is_load = order.get("operation").text() == "load";
        if adapter.is_empty() {
            if is_load && state.models.contains_key(model) {
                return 200;
            }
            if is_load {
                let until = Instant::now() + self.config.load_time;
                state.loading = Some((model.to_owned(), until));
            } else {
                state.models.remove(model);
            }
        } else {
            // Adapters are named a1, a2, and so on.
            let is_known = adapter
                .strip_prefix('a')
                .is_some_and(|rest| rest.parse::<u8>().is_ok());
            let Some(adapters) = state.models.get_mut(model).filter(|_| is_known) else {
                return 400;
            };
            let holds = adapters.iter().any(|held| held == adapter);
            if is_load && holds {
                return 200;
            }
            adapters.retain(|held| held != adapter);
            if !is_load {
                // No request uses it: the adapter is unloaded at once.
                state.sequence += 1;
                return 200;
            }
            adapters.push(adapter.to_owned());
        }
        state.sequence += 1;
        202
    }

    fn run(&self, writer: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let attempt = request.header("almondbank-attempt-id");
        let target = request.header("almondbank-model");
        let (model, adapter) = target.split_once('/').unwrap_or((target, ""));
        let holds = {
            let mut state = self.state.lock().unwrap();
            state.settle();
            let adapters = state.models.get(model);
            adapters
                .is_some_and(|held| adapter.is_empty() || held.iter().any(|name| name == adapter))
        };
        if !self.config.models.is_empty() && !holds {
            let headers = [
                ("Almondbank-Not-Executed", "1"),
                ("Almondbank-Attempt-Id", attempt),
            ];
            return http::write_response(writer, 421, &headers, b"");
        }
        self.record.ran(attempt, &self.config.id);
        thread::sleep(self.config.work);
        let signature = format!("signed-{}", self.config.id);
        let headers = [
            ("Almondbank-Attempt-Id", attempt),
            ("Almondbank-Response-Signature", signature.as_str()),
        ];
        let body = format!("{attempt} ran at {}", self.config.id);
        http::write_response(writer, 200, &headers, body.as_bytes())
    }
}
