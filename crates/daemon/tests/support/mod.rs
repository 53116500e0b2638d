//! The real binaries and the stand-ins as separate processes.
#![allow(dead_code)]

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use almondbank_standin::client::Client;
use almondbank_standin::engine::Count;
use almondbank_standin::fixture::{self, Model};
use almondbank_standin::platform::Faults;
use almondbank_standin::{runner, service};
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde::Serialize;
use serde_json::{Value, json};

/// Longest wait for something that is bound to happen.
pub const PATIENCE: Duration = Duration::from_mins(1);
const POLL: Duration = Duration::from_millis(20);

/// A process that is killed when dropped.
pub struct Process {
    child: Child,
    pub lines: Vec<String>,
}

impl Process {
    /// Starts `program` and reads its first line of output.
    pub fn start(program: &Path, arguments: &[String]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {}: {error}", program.display()));
        let output = child.stdout.take().expect("output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the process prints its addresses");
        let lines = line.split_whitespace().map(str::to_owned).collect();
        Self { child, lines }
    }

    /// The address that the process printed under `name`.
    pub fn address(&self, name: &str) -> SocketAddr {
        let prefix = format!("{name}=");
        let found = self
            .lines
            .iter()
            .find_map(|part| part.strip_prefix(&prefix));
        found
            .and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("no {name} address in {:?}", self.lines))
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("process ids are small");
        signal::kill(Pid::from_raw(pid), signal).expect("the process takes signals");
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to end by itself; returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().expect("the process can be awaited") {
                return status.success();
            }
            std::thread::sleep(POLL);
        }
        panic!("the process did not end");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Stand-ins and daemons.
pub struct Cluster {
    pub platform: Process,
    pub runners: Vec<Process>,
    pub service: Process,
    pub daemons: Vec<Process>,
    pub layout: Vec<fixture::Runner>,
    directory: PathBuf,
    extra: String,
}

/// A runner to be started.
#[derive(Clone, Copy)]
pub struct Spec {
    pub checks_fencing: bool,
    pub memory_bytes: u64,
    pub load_ms: u64,
}

/// One runner that checks fencing numbers and one that does not.
pub const BOTH_KINDS: [Spec; 2] = [
    Spec {
        checks_fencing: true,
        memory_bytes: 100,
        load_ms: 300,
    },
    Spec {
        checks_fencing: false,
        memory_bytes: 100,
        load_ms: 300,
    },
];

impl Cluster {
    /// Starts `instances` daemons, with `extra` settings, and waits for nothing.
    pub fn start(instances: usize, specs: &[Spec], extra: &str) -> Self {
        let directory = std::env::temp_dir().join(format!("almondbank-{:016x}", random()));
        fs::create_dir_all(&directory).expect("a directory for settings");
        let names = (0..instances).map(instance_name);
        let mut arguments = vec!["platform".to_owned()];
        arguments.extend(names);
        let platform = Process::start(&example("standin"), &arguments);
        let service = Process::start(&example("standin"), &["service".to_owned()]);
        let mut runners = Vec::new();
        let mut layout = Vec::new();
        for (at, spec) in specs.iter().enumerate() {
            let name = format!("runner-{at}");
            let process = start_runner(&name, *spec);
            layout.push(fixture::Runner {
                name,
                address: process.address("address"),
                memory_bytes: spec.memory_bytes,
                slots: 16,
                checks_fencing: spec.checks_fencing,
            });
            runners.push(process);
        }
        let mut cluster = Self {
            platform,
            runners,
            service,
            daemons: Vec::new(),
            layout,
            directory,
            extra: extra.to_owned(),
        };
        for at in 0..instances {
            let daemon = cluster.start_daemon(at, "");
            cluster.daemons.push(daemon);
        }
        cluster
    }

    /// Starts a daemon under the name of instance `at`.
    pub fn start_daemon(&self, at: usize, more: &str) -> Process {
        let name = instance_name(at);
        let extra = format!("{}{more}", self.extra);
        let address = self.platform.address("address");
        let text = fixture::settings(&name, "production", address, &extra);
        let path = self.directory.join(format!("{name}.yaml"));
        fs::write(&path, text).expect("the settings are written");
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        Process::start(Path::new(env!("CARGO_BIN_EXE_almondbank")), &arguments)
    }

    /// Address for callers of instance `at`.
    pub fn entry(&self, at: usize) -> SocketAddr {
        self.daemons[at].address("callers")
    }

    pub fn document(&self, models: &[Model]) -> String {
        let service = Some(self.service.address("address"));
        fixture::document("production", &self.layout, models, service)
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        fs::write(&path, text).expect("the file is written");
        path.display().to_string()
    }

    /// Runs the operators' command line against instance `at`.
    pub fn ctl(&self, at: usize, arguments: &[&str]) -> Output {
        ctl(&[&["--entry", &self.entry(at).to_string()], arguments].concat())
    }

    /// Applies the first document and waits until every instance serves it.
    pub async fn apply(&self, models: &[Model]) {
        let path = self.file("document.yaml", &self.document(models));
        let output = self.ctl(0, &["apply", &path, "--base", "0"]);
        assert!(output.status.success(), "{output:?}");
        for at in 0..self.daemons.len() {
            let entry = self.entry(at);
            eventually("the document is in force", async || {
                let answer = caller().get(entry, "/v1/models").await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
        eventually("there is a leader", async || self.leader().await.is_some()).await;
    }

    /// Index of the instance that keeps the shard.
    pub async fn leader(&self) -> Option<usize> {
        for at in 0..self.daemons.len() {
            let status = self.status(at).await;
            if status["fencing"].as_u64().unwrap_or(0) > 0 {
                return Some(at);
            }
        }
        None
    }

    pub async fn status(&self, at: usize) -> Value {
        let operator = operator();
        let answer = operator.get(self.entry(at), "/operator/v1/status");
        match tokio::time::timeout(Duration::from_secs(2), answer).await {
            Ok(Ok(answer)) => answer.json(),
            _ => Value::Null,
        }
    }

    pub async fn faults(&self, faults: &Faults) {
        control(self.platform.address("address"), "/faults", faults).await;
    }

    pub async fn runner_behaviour(&self, at: usize, behaviour: &runner::Behaviour) {
        control(self.layout[at].address, "/behaviour", behaviour).await;
    }

    pub async fn service_behaviour(&self, behaviour: &service::Behaviour) {
        control(self.service.address("address"), "/behaviour", behaviour).await;
    }

    /// The runner's own count.
    pub async fn count(&self, at: usize) -> Count {
        let answer = caller().get(self.layout[at].address, "/count").await;
        serde_json::from_slice(&answer.expect("the runner counts").body).expect("a count")
    }

    /// Loads that all runners have begun.
    pub async fn loads(&self) -> u64 {
        let mut loads = 0;
        for at in 0..self.layout.len() {
            loads += self.count(at).await.loads;
        }
        loads
    }

    /// Fails if a runner ever held more than its memory.
    pub async fn assert_memory(&self) {
        for at in 0..self.layout.len() {
            let count = self.count(at).await;
            assert_eq!(count.overcommits, 0, "runner {at}: {count:?}");
            assert_eq!(count.pool_overcommits, 0, "runner {at}: {count:?}");
        }
    }

    /// How often the service ran `key`.
    pub async fn runs(&self, key: &str) -> u64 {
        let address = self.service.address("address");
        let answer = caller().get(address, "/runs").await;
        let runs = answer.expect("the service counts").json();
        runs[key].as_u64().unwrap_or(0)
    }

    /// A ticket of instance `at`.
    pub async fn ticket(&self, at: usize) -> String {
        let ticket = caller().ticket(self.entry(at)).await;
        ticket.expect("the instance gives a ticket")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

pub fn start_runner(name: &str, spec: Spec) -> Process {
    let arguments = [
        "runner".to_owned(),
        name.to_owned(),
        spec.memory_bytes.to_string(),
        spec.checks_fencing.to_string(),
        spec.load_ms.to_string(),
    ];
    Process::start(&example("standin"), &arguments)
}

/// Runs the operators' command line.
pub fn ctl(arguments: &[&str]) -> Output {
    Command::new(target().join("almondbankctl"))
        .args(arguments)
        .env("ALMONDBANK_KEY", fixture::OPERATOR_KEY)
        .output()
        .expect("almondbankctl is built; use cargo test --workspace")
}

pub fn instance_name(at: usize) -> String {
    format!("entry-{at}")
}

pub fn caller() -> Client {
    Client::new(fixture::CALLER_KEY)
}

pub fn operator() -> Client {
    Client::new(fixture::OPERATOR_KEY)
}

pub fn booking() -> Value {
    json!({"studio": "Tbilisi", "slot": "18:00"})
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < PATIENCE, "not in time: {what}");
        tokio::time::sleep(POLL).await;
    }
}

pub async fn control(address: SocketAddr, path: &str, body: &(impl Serialize + Sync)) {
    let answer = caller().post(address, path, &[], body).await;
    assert_eq!(answer.expect("the stand-in takes orders").status, 200);
}

fn target() -> PathBuf {
    let binary = Path::new(env!("CARGO_BIN_EXE_almondbank"));
    binary.parent().expect("a directory").to_owned()
}

pub fn example(name: &str) -> PathBuf {
    target().join("examples").join(name)
}

fn random() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(std::process::id())
}
