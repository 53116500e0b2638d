//! Starts of a gateway process whose settings file is being written, or is not valid for long.

use std::path::Path;
use std::time::Duration;

use almondbank_emulator::caller::{Call, Connection};
use almondbank_emulator::document;
use almondbank_emulator::process::{Listener, Process};
use almondbank_emulator::store::Store;
use nix::sys::signal::Signal;
use strum::IntoEnumIterator;
use tokio::net::TcpStream;
use tokio::{task, time};

const BINARY: &str = env!("CARGO_BIN_EXE_almondbank");

const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which the file is incomplete.
const WRITE_TIME: Duration = Duration::from_millis(300);
const CONNECTIONS: usize = 200;
/// Time for which settings are not valid.
const WAIT_TIME: Duration = Duration::from_secs(8);
/// Time in which a process is to start once its settings are valid, or to end after a signal.
const REACTION_TIME: Duration = Duration::from_secs(3);

/// What is at the path of the settings file.
#[derive(Clone, Copy, Debug, strum::EnumIter)]
enum Content {
    Absent,
    Directory,
    Empty,
    Binary,
    Cut,
    NoAddress,
}

impl Content {
    fn write(self, process: &Process, settings: &str) {
        let path = process.settings_path();
        let bytes: Vec<u8> = match self {
            Self::Absent => return,
            Self::Directory => return std::fs::create_dir(path).unwrap(),
            Self::Empty => Vec::new(),
            Self::Binary => vec![0xff; 600],
            Self::Cut => settings.as_bytes()[..settings.len() / 2].to_vec(),
            Self::NoAddress => settings.replace("127.", "host.").into_bytes(),
        };
        std::fs::write(path, bytes).unwrap();
    }
}

async fn store() -> Store {
    let store = Store::start().await.unwrap();
    let document = document::desired(1, &["m"]);
    store.put("op", "config", document.to_string().as_bytes());
    store
}

// Levels of the log lines that say why the process waits.
fn levels(process: &Process) -> Vec<String> {
    let log = process.log().unwrap();
    let lines = log
        .lines()
        .map(|line| serde_json::from_str(line).unwrap_or_default());
    let is_report = |line: &serde_json::Value| {
        let reason = line["error"].as_str().unwrap_or_default();
        line["message"] == "settings are not valid; reading them again"
            && reason.contains("entry.yaml")
    };
    let reports = lines.filter(is_report);
    reports.map(|line| line["level"].to_string()).collect()
}

// Checks that the process reports why it waits, at once and then as an error.
async fn check_reports(process: &Process) {
    let reporting = async {
        while levels(process).len() < 2 {
            time::sleep(Duration::from_millis(100)).await;
        }
    };
    time::timeout(READY_TIMEOUT, reporting).await.unwrap();
    assert_eq!(levels(process), ["\"warn\"", "\"error\""]);
}

async fn check_late_settings(content: Content, store: std::net::SocketAddr) {
    let mut process = Process::new().unwrap();
    let settings = process.settings(store);
    content.write(&process, &settings);
    process.start(Path::new(BINARY)).unwrap();
    time::sleep(WAIT_TIME).await;
    let ended = process.ended().unwrap();
    assert!(
        ended.is_none(),
        "{content:?}: {ended:?}, {}",
        process.log().unwrap()
    );
    for listener in Listener::iter() {
        let connection = TcpStream::connect(process.address(listener)).await;
        assert!(connection.is_err(), "{content:?}: {listener}");
    }
    check_reports(&process).await;
    let path = process.settings_path();
    if matches!(content, Content::Directory) {
        std::fs::remove_dir(&path).unwrap();
    }
    std::fs::write(&path, &settings).unwrap();
    process.wait_ready(REACTION_TIME).await.unwrap();
}

#[tokio::test]
async fn settings_that_are_not_valid_for_long_do_not_end_a_process() {
    let store = store().await;
    let address = store.address();
    let checks: Vec<_> = Content::iter()
        .map(|content| task::spawn(check_late_settings(content, address)))
        .collect();
    for check in checks {
        check.await.unwrap();
    }
}

#[tokio::test]
async fn a_signal_ends_a_process_that_waits_for_its_settings() {
    for signal in [Signal::SIGTERM, Signal::SIGINT] {
        let mut process = Process::new().unwrap();
        process.start(Path::new(BINARY)).unwrap();
        time::sleep(WRITE_TIME).await;
        process.signal(signal).unwrap();
        let ending = async {
            loop {
                if let Some(status) = process.ended().unwrap() {
                    return status;
                }
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        let status = time::timeout(REACTION_TIME, ending).await.unwrap();
        assert_eq!(status.code(), Some(0), "{}", process.log().unwrap());
    }
}

#[tokio::test]
async fn values_that_are_not_needed_to_serve_do_not_prevent_a_start() {
    let store = store().await;
    for line in [
        "memory_mb: 32",
        "memory_mb: 260.5",
        "cpu_share: 0",
        "lease_ms: 0",
        "retry_ratio: \"0.2\"",
        "load_window_s: -1",
        "grace_s: 1e300",
        "log: loud",
        "later_setting: 1",
        "max_files: 1",
        "max_files: 1e30",
        "memory_mb: 1",
        "memory_mb: 1e30",
        "cpu_share: 1e300",
        "cpu_share: 1e-300",
        "lease_ms: 1",
        "lease_ms: 31536000000",
        "reconcile_ms: 31536000000",
        "grace_s: 1e-300",
        "grace_s: 31536000",
        "retry_ratio: 1e300",
        "retry_extra: 1e300",
        "retry_window_s: 1e-300",
        "retry_window_s: 31536000",
        "quota_window_s: 1e-300",
        "quota_window_s: 31536000",
        "quota_overage: 1e300",
        "quota_slack: 1e300",
        "load_window_s: 1e-300",
        "load_window_s: 31536000",
        "load_overage: 1e300",
        "load_overage: 1e-300",
        "max_ttl_s: 0",
    ] {
        let mut process = Process::new().unwrap();
        let (name, _) = line.split_once(':').unwrap();
        let settings = process.settings(store.address());
        let others = settings.lines().filter(|other| !other.starts_with(name));
        let settings = others.fold(format!("{line}\n"), |text, other| text + other + "\n");
        std::fs::write(process.settings_path(), settings).unwrap();
        process.start(Path::new(BINARY)).unwrap();
        process
            .wait_ready(READY_TIMEOUT)
            .await
            .unwrap_or_else(|error| panic!("{line}: {error}"));
        time::sleep(WRITE_TIME).await;
        let log = process.log().unwrap();
        assert!(process.is_ready().await, "{line}: {log}");
        assert!(!log.contains("panic"), "{line}: {log}");
    }
}

#[tokio::test]
async fn a_check_of_settings_with_a_mistake_fails() {
    let store = store().await;
    for (line, code) in [("", 0), ("memory_mb: 32\n", 3), ("later_setting: 1\n", 3)] {
        let process = Process::new().unwrap();
        let settings = format!("{line}{}", process.settings(store.address()));
        std::fs::write(process.settings_path(), settings).unwrap();
        let mut command = std::process::Command::new(BINARY);
        command.args(["gateway", "--check", "--settings"]);
        let output = command.arg(process.settings_path()).output().unwrap();
        assert_eq!(output.status.code(), Some(code), "{line}: {output:?}");
    }
}

// The beginning of a number is a valid number, and all required settings come before its end.
#[tokio::test]
async fn a_file_that_is_cut_within_a_number_at_the_start_does_not_limit_the_process_for_good() {
    let store = store().await;
    let mut process = Process::new().unwrap();
    let settings = process.settings(store.address());
    let (written, _) = settings.split_once("100\nchecks_fencing").unwrap();
    std::fs::write(process.settings_path(), written).unwrap();
    process.start(Path::new(BINARY)).unwrap();
    time::sleep(WRITE_TIME).await;
    std::fs::write(process.settings_path(), &settings).unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    let address = process.address(Listener::Callers);
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.push(Connection::open(address).await.unwrap());
    }
    let mut answers = 0;
    for connection in &mut connections {
        let answer = connection.send(&Call::get("/absent/", "a")).await;
        answers += usize::from(answer.is_ok());
    }
    assert_eq!(answers, CONNECTIONS, "{}", process.log().unwrap());
}
