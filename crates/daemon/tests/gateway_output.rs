//! Gateway processes whose output cannot be written, or not at once.

use std::io::Read;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

use almondbank_emulator::caller::{self, Call, Connection};
use almondbank_emulator::document;
use almondbank_emulator::process::{Listener, Process};
use almondbank_emulator::store::Store;
use nix::fcntl::{self, FcntlArg, OFlag};
use serde_json::Value;
use tokio::{task, time};

const BINARY: &str = env!("CARGO_BIN_EXE_almondbank");
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that a process gets to end, or to use the processor.
const HOLD_TIME: Duration = Duration::from_millis(700);
/// Longest processor time without requests within [`HOLD_TIME`], in ticks of 10 ms. A thread that
/// spins uses 70.
const MAX_IDLE_TICKS: u64 = 25;
/// Memory that a process without load may take, with 2 MiB of log lines.
const MAX_PEAK_KB: u64 = 48 << 10;
/// Unit of `ulimit -f`.
const BLOCK_BYTES: usize = 512;
const FILE_BLOCKS: usize = 8;
const REQUESTS: usize = 50;
/// Requests whose lines exceed what a pipe and the queue of lines hold.
const MANY_REQUESTS: usize = 400;
/// Length of the id of each of them, which log lines contain.
const ID_BYTES: usize = 8_000;

async fn store() -> Store {
    let document = document::desired(1, &["m"]);
    Store::start_with(&document).await.unwrap()
}

fn prepare(store: &Store) -> Process {
    Process::prepare("entry-1", store.address()).unwrap()
}

async fn send_requests(process: &Process, count: usize, padding: usize) {
    let address = process.address(Listener::Callers);
    let mut connection = Connection::open(address).await.unwrap();
    for number in 0..count {
        let id = format!("{number}-{}", "i".repeat(padding));
        let response = connection.send(&Call::get("/absent/", &id)).await.unwrap();
        assert_eq!(response.status, 404);
    }
}

async fn metric(process: &Process, name: &str) -> u64 {
    let call = Call::get("/metrics", "metrics");
    let response = caller::send(process.address(Listener::Metrics), &call).await;
    let page = String::from_utf8(response.unwrap().body.clone()).unwrap();
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    let line = line.unwrap_or_else(|| panic!("no {name}: {page}"));
    let value = line.rsplit(' ').next().unwrap();
    value.parse().unwrap()
}

async fn check_idle(process: &mut Process) {
    let before = process.processor_ticks().unwrap();
    time::sleep(HOLD_TIME).await;
    assert_eq!(process.ended().unwrap(), None);
    let used = process.processor_ticks().unwrap() - before;
    assert!(used <= MAX_IDLE_TICKS, "{used} ticks");
}

// Values of the field `request` in the order of the lines, each of which must be whole.
fn requests_of(log: &str) -> Vec<String> {
    let parsed = |line: &str| {
        let parsed: Result<Value, _> = serde_json::from_str(line);
        parsed.unwrap_or_else(|error| panic!("{error}: {line}"))
    };
    let lines = log.lines().filter(|line| !line.is_empty()).map(parsed);
    let request = |line: Value| line["request"].as_str().map(ToOwned::to_owned);
    lines.filter_map(request).collect()
}

fn lost_lines_of(log: &str) -> u64 {
    let parsed = |line| serde_json::from_str(line).unwrap_or(Value::Null);
    let lines = log.lines().map(parsed);
    let dropped = lines.filter(|line: &Value| line["message"] == "log lines dropped");
    dropped.filter_map(|line| line["count"].as_u64()).sum()
}

#[tokio::test]
async fn a_full_disk_for_the_log_is_counted_and_uses_no_processor() {
    let store = store().await;
    let mut process = prepare(&store);
    let full = std::fs::File::options().write(true).open("/dev/full");
    process
        .start_writing_to(Path::new(BINARY), full.unwrap())
        .unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    send_requests(&process, REQUESTS, 0).await;
    check_idle(&mut process).await;
    let failures = "almondbank_log_failures_total{error=\"ENOSPC\"";
    assert!(metric(&process, failures).await > 0);
    assert!(metric(&process, "almondbank_log_waiting_bytes{").await > 0);
}

#[tokio::test]
async fn a_log_whose_reader_has_gone_is_counted_and_takes_bounded_memory() {
    let store = store().await;
    let mut process = prepare(&store);
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    process
        .start_writing_to(Path::new(BINARY), OwnedFd::from(writer))
        .unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    send_requests(&process, MANY_REQUESTS, ID_BYTES).await;
    check_idle(&mut process).await;
    let failures = "almondbank_log_failures_total{error=\"EPIPE\"";
    assert!(metric(&process, failures).await > 0);
    assert!(metric(&process, "almondbank_log_lost_lines_total{").await > 0);
    let peak = process.peak_kb().unwrap();
    assert!(peak < MAX_PEAK_KB, "{peak} kB");
    assert!(process.is_ready().await);
}

// As of a parent that reads its end with an event loop: both ends share the flag.
#[tokio::test]
async fn a_full_pipe_that_does_not_block_loses_no_part_of_a_line() {
    let store = store().await;
    let mut process = prepare(&store);
    let (mut reader, writer) = std::io::pipe().unwrap();
    fcntl::fcntl(&writer, FcntlArg::F_SETFL(OFlag::O_NONBLOCK)).unwrap();
    process
        .start_writing_to(Path::new(BINARY), OwnedFd::from(writer))
        .unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    send_requests(&process, MANY_REQUESTS / 2, ID_BYTES).await;
    check_idle(&mut process).await;
    let reading = task::spawn_blocking(move || {
        let mut log = Vec::new();
        reader.read_to_end(&mut log).unwrap();
        String::from_utf8(log).unwrap()
    });
    time::sleep(HOLD_TIME).await;
    send_requests(&process, 1, 0).await;
    time::sleep(HOLD_TIME).await;
    drop(process);
    let log = reading.await.unwrap();
    let requests = requests_of(&log);
    let lost = lost_lines_of(&log);
    assert_eq!(lost, 0);
    assert_eq!(requests.len(), MANY_REQUESTS / 2 + 1);
}

// As a rotation that copies the log and truncates it.
#[tokio::test]
async fn a_log_that_is_truncated_after_it_was_full_goes_on_with_whole_lines() {
    let store = store().await;
    let mut process = prepare(&store);
    let options = format!("-f {FILE_BLOCKS}");
    process.start_limited(Path::new(BINARY), &options).unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    send_requests(&process, REQUESTS, 0).await;
    time::sleep(HOLD_TIME).await;
    let length = std::fs::metadata(process.log_path()).unwrap().len();
    assert_eq!(usize::try_from(length), Ok(FILE_BLOCKS * BLOCK_BYTES));
    let file = std::fs::File::options()
        .write(true)
        .open(process.log_path());
    file.unwrap().set_len(0).unwrap();
    time::sleep(HOLD_TIME).await;
    let log = process.log().unwrap();
    let (whole, _) = log.rsplit_once('\n').unwrap();
    assert!(!requests_of(whole).is_empty());
    assert!(log.contains("the log could not be written"), "{log}");
}

#[tokio::test]
async fn an_error_that_cannot_be_printed_does_not_change_the_exit_code() {
    let full = || std::fs::File::options().write(true).open("/dev/full");
    let check = ["gateway", "--check", "--settings", "absent.yaml"];
    for (arguments, code) in [(&check[..], 3), (&["gateway", "--absent"], 2)] {
        let mut command = Command::new(BINARY);
        command.args(arguments).stdout(Stdio::null());
        let status = command.stderr(full().unwrap()).status().unwrap();
        assert_eq!(status.code(), Some(code), "{arguments:?}");
    }
    let mut command = Command::new(BINARY);
    command.arg("--version").stdout(full().unwrap());
    let output = command.output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}
