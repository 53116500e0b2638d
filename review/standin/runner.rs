//! Runners: HTTP servers that register themselves in the store and run requests.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message, Reader};
use crate::json::Json;
use crate::store::Store;

/// Interval at which a runner writes its registration.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time to load a model from the weight store, and from the runner's own disk.
const STORE_LOAD: Duration = Duration::from_secs(6);
const DISK_LOAD: Duration = Duration::from_millis(400);
const UNLOAD: Duration = Duration::from_millis(100);

/// Adapters that fit into a runner.
const ADAPTER_SLOTS: usize = 8;

/// Returns for how long an order is held back, after which it is carried out if it still can
/// be; it gets no answer then.
pub type Lateness = dyn Fn(&Runner, &Json) -> Option<Duration> + Send + Sync;

/// Runs one request on a connection. An error closes the connection.
pub type Work = dyn Fn(&Runner, &Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// What a runner is.
#[derive(Clone, Debug)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub software: String,
    /// Models that it holds at its first start. Later ones begin empty.
    pub models: Vec<String>,
}

#[derive(Default)]
struct State {
    is_up: bool,
    /// Number of starts of the process.
    run: u64,
    born_ms: u64,
    beat: u64,
    models: Vec<String>,
    adapters: BTreeMap<String, Vec<String>>,
    sequence: u64,
    fencing: u64,
    is_busy: bool,
    /// Models of which the disk has a copy, also after a restart.
    on_disk: Vec<String>,
    connections: Vec<TcpStream>,
}

/// A runner of one address. Its process can crash and start again under the same id.
#[derive(Clone)]
pub struct Runner {
    pub config: Config,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    store: Store,
    work: Arc<Work>,
    lateness: Option<Arc<Lateness>>,
}

impl Runner {
    /// Starts a runner at a free port of `host`.
    pub fn start(config: Config, host: &str, store: &Store, work: Arc<Work>) -> io::Result<Self> {
        Self::start_late(config, host, store, work, None)
    }

    /// Starts a runner that leaves some orders unanswered.
    pub fn start_late(
        config: Config,
        host: &str,
        store: &Store,
        work: Arc<Work>,
        lateness: Option<Arc<Lateness>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        let runner = Self {
            config,
            address: listener.local_addr()?,
            state: Arc::default(),
            store: store.clone(),
            work,
            lateness,
        };
        runner.begin(listener);
        let beating = runner.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(HEARTBEAT);
            beating.register();
        });
        Ok(runner)
    }

    fn begin(&self, listener: TcpListener) {
        let mut state = self.state.lock().unwrap();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        *state = State {
            is_up: true,
            run: state.run + 1,
            born_ms: u64::try_from(now.as_millis()).unwrap_or(0),
            models: if state.run == 0 { self.config.models.clone() } else { Vec::new() },
            on_disk: if state.run == 0 { self.config.models.clone() } else { std::mem::take(&mut state.on_disk) },
            ..State::default()
        };
        let run = state.run;
        drop(state);
        self.register();
        let runner = self.clone();
        std::thread::spawn(move || runner.accept(&listener, run));
    }

    fn accept(&self, listener: &TcpListener, run: u64) {
        let _ = listener.set_nonblocking(true);
        while self.is_run(run) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let Ok(kept) = stream.try_clone() else { continue };
            self.state.lock().unwrap().connections.push(kept);
            let runner = self.clone();
            std::thread::spawn(move || runner.serve(stream, run));
        }
    }

    /// Whether the process that is the `run`-th one still runs.
    pub fn is_run(&self, run: u64) -> bool {
        let state = self.state.lock().unwrap();
        state.is_up && state.run == run
    }

    /// Number of the present process, from 1 on.
    pub fn run(&self) -> u64 {
        self.state.lock().unwrap().run
    }

    /// The process dies: all connections end and new ones are refused.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Crashes, and starts again after `down` at the same address, holding nothing.
    pub fn restart(&self, down: Duration) -> io::Result<()> {
        self.crash();
        std::thread::sleep(down);
        let end = Instant::now() + Duration::from_secs(3);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(error) if Instant::now() > end => return Err(error),
                Err(_) => std::thread::sleep(Duration::from_millis(10)),
            }
        };
        self.begin(listener);
        Ok(())
    }

    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        state.beat += 1;
        let (beat, born) = (state.beat, state.born_ms);
        let config = &self.config;
        let row = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\
             \"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{beat},\
             \"born\":{born},\"stage\":\"colocated\",\"models\":{},\
             \"atHand\":{{\"inMemory\":[],\"onDisk\":{}}}}}",
            config.service, self.address, config.software, state.entries(), names(&state.on_disk)
        );
        // Written under the lock, so that an older registration does not follow a newer one.
        self.store.put("servers", &config.id, &row);
    }

    fn serve(&self, stream: TcpStream, run: u64) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while self.is_run(run) {
            let Ok(request) = reader.request() else { break };
            let result = match request.path() {
                "/v1/report" => http::respond(&mut writer, 200, "", &self.report()),
                "/v1/order" => match self.late(&request) {
                    Some(time) => {
                        std::thread::sleep(time);
                        self.order(&request);
                        Err(io::ErrorKind::TimedOut.into())
                    }
                    None => {
                        let status = self.order(&request);
                        http::respond(&mut writer, status, "", "{}")
                    }
                },
                "/health" => {
                    let id = format!("Almondbank-Instance-Id: {}\r\n", self.config.id);
                    http::respond(&mut writer, 200, &id, "")
                }
                _ => self.admit(&request, &mut writer),
            };
            if result.is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn late(&self, request: &Message) -> Option<Duration> {
        let lateness = self.lateness.as_ref()?;
        let order = Json::parse(&String::from_utf8_lossy(&request.body))?;
        lateness(self, &order)
    }

    fn admit(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let id = request.header("almondbank-attempt-id");
        let expected = request.header("almondbank-expect-instance");
        let target = request.header("almondbank-model");
        let is_held = target.is_empty() || self.state.lock().unwrap().holds(target);
        if (!expected.is_empty() && expected != self.config.id) || !is_held {
            let headers = format!(
                "Almondbank-Attempt-Id: {id}\r\nAlmondbank-Instance-Id: {}\r\n\
                 Almondbank-Not-Executed: 1\r\n",
                self.config.id
            );
            return http::respond(writer, 421, &headers, "");
        }
        (self.work)(self, request, writer)
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"stage\":\"colocated\",\"models\":{},\"busy\":{},\"sequence\":{},\"queued\":0,\
             \"running\":0,\"kvUsed\":0,\"kvTotal\":250000,\"handles\":0,\"born\":{},\
             \"atHand\":{{\"inMemory\":[],\"onDisk\":{}}}}}",
            state.entries(), state.is_busy, state.sequence, state.born_ms, names(&state.on_disk)
        )
    }

    fn order(&self, request: &Message) -> u16 {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(order) = Json::parse(&text) else { return 400 };
        let expects = request.header("almondbank-expect-instance");
        if !expects.is_empty() && expects != self.config.id {
            return 421;
        }
        let fencing = order.get("fencingToken").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if fencing < state.fencing {
            return 412;
        }
        state.fencing = fencing;
        let is_current = order.get("expected").number().is_none_or(|count| count == state.sequence);
        if state.is_busy || !is_current {
            return 409;
        }
        let model = order.get("model").text().to_owned();
        let is_load = order.get("operation").text() == "load";
        let adapter = order.get("adapter").text();
        if !adapter.is_empty() {
            return state.order_adapter(&model, adapter, is_load);
        }
        if is_load == state.models.contains(&model) {
            return 200;
        }
        state.sequence += 1;
        state.is_busy = true;
        let run = state.run;
        let time = match (is_load, state.on_disk.contains(&model)) {
            (false, _) => UNLOAD,
            (true, true) => DISK_LOAD,
            (true, false) => STORE_LOAD,
        };
        drop(state);
        let runner = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(time);
            let mut state = runner.state.lock().unwrap();
            if state.run != run {
                return;
            }
            state.is_busy = false;
            state.models.retain(|held| *held != model);
            state.adapters.remove(&model);
            if is_load {
                state.on_disk.retain(|held| *held != model);
                state.on_disk.push(model.clone());
                state.models.push(model);
            }
            drop(state);
            runner.register();
        });
        202
    }

    /// Writes the head of a stream in chunks, as an answer to `request`.
    pub fn stream_head(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let id = request.header("almondbank-attempt-id");
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Almondbank-Attempt-Id: {id}\r\nAlmondbank-Response-Signature: {}.{id}\r\n\r\n",
            self.config.id
        );
        writer.write_all(head.as_bytes())
    }
}

impl State {
    // Whether `MODEL` or `MODEL/ADAPTER` is loaded.
    fn holds(&self, target: &str) -> bool {
        let (model, adapter) = target.split_once('/').unwrap_or((target, ""));
        let adapters = self.adapters.get(model);
        let has_adapter = adapters.is_some_and(|adapters| adapters.iter().any(|held| held == adapter));
        self.models.iter().any(|held| held == model) && (adapter.is_empty() || has_adapter)
    }

    // An adapter is loaded at once, and unloaded at once; its requests end soon.
    fn order_adapter(&mut self, model: &str, adapter: &str, is_load: bool) -> u16 {
        if !self.models.iter().any(|held| held == model) {
            return 400;
        }
        if is_load && self.holds(&format!("{model}/{adapter}")) {
            return 200;
        }
        self.sequence += 1;
        let adapters = self.adapters.entry(model.to_owned()).or_default();
        adapters.retain(|held| held != adapter);
        if is_load {
            adapters.push(adapter.to_owned());
            assert!(adapters.len() <= ADAPTER_SLOTS, "more adapters than fit");
            return 202;
        }
        200
    }

    fn entries(&self) -> String {
        let entries = self.models.iter().map(|model| {
            let adapters = self.adapters.get(model).map_or(&[][..], Vec::as_slice);
            format!("{{\"name\":\"{model}\",\"version\":1,\"adapters\":{}}}", names(adapters))
        });
        format!("[{}]", entries.collect::<Vec<_>>().join(","))
    }
}

fn names(models: &[String]) -> String {
    let names = models.iter().map(|model| format!("\"{model}\""));
    format!("[{}]", names.collect::<Vec<_>>().join(","))
}
