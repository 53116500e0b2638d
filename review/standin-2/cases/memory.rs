//! Ordinary traffic, the platform's watch on memory, and the desired state of the cases about
//! memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::{Connection, Request};
use crate::record::Record;
use crate::runner::{Config, Runner};
use crate::store::Store;
use crate::system::Vm;

const HOST: &str = "desk.example";
/// Time for which an ordinary request runs.
const WORK: Duration = Duration::from_millis(400);
/// Ordinary clients, each with one request at a time on a kept connection.
const ORDINARY: usize = 18;
/// The most requests of kept connections that may end without an answer by the rule.
const MAX_LOST: usize = 3;

/// Desired state with a service of engines for `models`, and one without an engine.
pub fn document(models: &[&str]) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, aim: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":{aim},\"priority\":1,\"service\":\"{service}\",\
             \"maxAttempts\":1,\"sticky\":false,\"resumable\":false,\"gapAimMs\":500}}"
        )
    };
    let models: Vec<_> = models
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"weightsMb\":70000,\"loadTimeS\":6,\"adapters\":0,\
                 \"adapterMb\":10}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[\
         {{\"name\":\"engines\",\"healthPath\":\"/health\",\"maxConnections\":360,\"engine\":{{\
         \"slots\":64,\"kvCapacity\":250000,\"weightsMb\":230000,\"adapterSlots\":8,\"loadsPerS\":1.6,\
         \"models\":[{}]}}}},\
         {{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConnections\":96}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        route("pair", "stream", "engines", 13_000, 4000),
        route("book", "non_idempotent", "desk", 1500, 300),
        models.join(",")
    )
}

/// Starts the runners: three without an engine, and one with an engine that holds `models`,
/// which is returned.
pub fn start_runners(store: &Store, models: &[&str], record: &Record) -> std::io::Result<Runner> {
    for number in 1..=3 {
        let plain = Config {
            id: format!("desk-{number}"),
            service: "desk".to_owned(),
            slots: 6,
            work: WORK,
            models: Vec::new(),
            load_time: Duration::ZERO,
            checks_fencing: true,
        };
        Runner::start(plain, store, record)?;
    }
    let engine = Config {
        id: "engine-1".to_owned(),
        service: "engines".to_owned(),
        slots: 64,
        work: Duration::from_millis(2),
        models: models.iter().map(|model| (*model).to_owned()).collect(),
        load_time: Duration::from_secs(6),
        checks_fencing: true,
    };
    Runner::start(engine, store, record)
}

/// Returns a request inside the limits of the desired state.
pub fn request(path: &str, attempt: &str, deadline: u32) -> Request {
    let headers = [
        ("Host", HOST),
        ("Almondbank-Attempt-Id", attempt),
        ("Almondbank-Deadline-Ms", &deadline.to_string()),
    ];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
    Request {
        method: "POST".to_owned(),
        target: path.to_owned(),
        headers: headers.to_vec(),
        body: b"{}".to_vec(),
    }
}

/// The ordinary clients, and the platform, which kills a process that exceeds its memory and
/// starts it again.
pub struct Scene {
    /// Whether the clients are to stop, and whether the platform is to.
    stopped: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    platform: JoinHandle<usize>,
    served: Arc<AtomicUsize>,
    lost: Arc<AtomicUsize>,
    record: Record,
}

impl Scene {
    pub fn start(vms: Vec<Vm>, memory_mb: u64, record: &Record) -> Self {
        let callers: Vec<_> = vms.iter().map(|vm| vm.callers).collect();
        let stopped = Arc::new(AtomicBool::new(false));
        let (served, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let ended = Arc::new(AtomicBool::new(false));
        let platform = watch_memory(vms, memory_mb, Arc::clone(&ended), record.clone());
        let clients = (0..ORDINARY).map(|number| {
            let client = Ordinary {
                number,
                callers: callers.clone(),
                stopped: Arc::clone(&stopped),
                record: record.clone(),
                served: Arc::clone(&served),
                lost: Arc::clone(&lost),
            };
            thread::spawn(move || client.run())
        });
        Self {
            clients: clients.collect(),
            stopped,
            ended,
            platform,
            served,
            lost,
            record: record.clone(),
        }
    }

    /// Stops all, and says whether the rule was broken.
    pub fn finish(self) -> Outcome {
        self.stopped.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        // The processes end after the clients.
        self.ended.store(true, Ordering::Relaxed);
        let ended = self.platform.join().unwrap_or_default();
        let (served, lost) = (
            self.served.load(Ordering::Relaxed),
            self.lost.load(Ordering::Relaxed),
        );
        let record = self.record;
        record.say(&format!(
            "ordinary requests answered with success: {served}"
        ));
        record.say(&format!(
            "processes that exceeded their memory, and were ended: {ended}"
        ));
        record.say(&format!(
            "requests of kept connections passed on to a sound runner and closed without an answer: {lost}"
        ));
        if served == 0 {
            return Outcome::CouldNotRun;
        }
        if lost > MAX_LOST {
            Outcome::Broken
        } else {
            Outcome::Held
        }
    }
}

fn watch_memory(
    mut vms: Vec<Vm>,
    memory_mb: u64,
    stopped: Arc<AtomicBool>,
    record: Record,
) -> JoinHandle<usize> {
    thread::spawn(move || {
        let mut ended = 0;
        let mut tick = 0_u32;
        while !stopped.load(Ordering::Relaxed) {
            for vm in &mut vms {
                let memory = vm.memory();
                if tick % 20 == 0 {
                    record.line(&format!("{} takes {} MB", vm.name, memory >> 20));
                }
                let by_itself = vm.has_ended();
                if memory > memory_mb << 20 || by_itself {
                    record.say(&format!(
                        "{} ended (by itself: {by_itself}) with {} MB of {memory_mb} MB",
                        vm.name,
                        memory >> 20
                    ));
                    ended += 1;
                    vm.kill();
                    let _ = vm.run();
                }
            }
            tick += 1;
            thread::sleep(Duration::from_millis(50));
        }
        ended
    })
}

/// An ordinary client: one request after the other on a kept connection.
struct Ordinary {
    number: usize,
    callers: Vec<SocketAddr>,
    stopped: Arc<AtomicBool>,
    record: Record,
    served: Arc<AtomicUsize>,
    lost: Arc<AtomicUsize>,
}

impl Ordinary {
    fn run(&self) {
        let mut at = self.number;
        let mut count = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            at += 1;
            let address = self.callers[at % self.callers.len()];
            let Ok(mut connection) = Connection::open(address, Duration::from_millis(1500)) else {
                thread::sleep(Duration::from_millis(200));
                continue;
            };
            while !self.stopped.load(Ordering::Relaxed) {
                count += 1;
                if !self.book(
                    &mut connection,
                    &format!("book-{}-{count}", self.number),
                    address,
                ) {
                    break;
                }
            }
        }
    }

    // Sends one request; returns whether the connection can be used again.
    fn book(&self, connection: &mut Connection, attempt: &str, address: SocketAddr) -> bool {
        let begun = Instant::now();
        self.record.line(&format!("sent {attempt} to {address}"));
        let sent = connection.send(&request("/book/x", attempt, 1500));
        match sent.and_then(|()| connection.receive()) {
            Ok(response) if response.is_complete => {
                self.record
                    .line(&format!("answered {attempt}: {}", response.status));
                if response.status == 200 {
                    self.served.fetch_add(1, Ordering::Relaxed);
                } else {
                    thread::sleep(Duration::from_millis(300));
                }
                !response.header("connection").eq_ignore_ascii_case("close")
            }
            ended => {
                let is_timeout = begun.elapsed() >= Duration::from_millis(1490);
                let is_kept = connection.answered > 0;
                let runs = self.record.runs(attempt);
                self.record.line(&format!(
                    "no answer to {attempt}: kept {is_kept}, timeout {is_timeout}, runs {runs}, {:?}",
                    ended.err()
                ));
                if is_kept && !is_timeout && runs > 0 {
                    self.lost.fetch_add(1, Ordering::Relaxed);
                }
                false
            }
        }
    }
}
