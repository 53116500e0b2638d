//! Gateway processes that meet a limit of the kernel or a signal.

use std::path::Path;
use std::process::ExitStatus;
use std::time::Duration;

use almondbank_emulator::caller::{Call, Connection};
use almondbank_emulator::document;
use almondbank_emulator::process::{Listener, Process};
use almondbank_emulator::store::Store;
use nix::sys::signal::{SigSet, SigmaskHow, Signal};
use tokio::time;

const BINARY: &str = env!("CARGO_BIN_EXE_almondbank");
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Unit of `ulimit -f`.
const BLOCK_BYTES: usize = 512;
const FILE_BLOCKS: usize = 8;
/// Requests whose lines exceed the limit on the size of files.
const REQUESTS: usize = 200;
/// Time that a process gets to end.
const HOLD_TIME: Duration = Duration::from_millis(700);

/// Signals that end a process by default and that a gateway has no use for.
const UNUSED: [Signal; 10] = [
    Signal::SIGUSR1,
    Signal::SIGUSR2,
    Signal::SIGALRM,
    Signal::SIGSTKFLT,
    Signal::SIGXCPU,
    Signal::SIGXFSZ,
    Signal::SIGVTALRM,
    Signal::SIGPROF,
    Signal::SIGIO,
    Signal::SIGPWR,
];

/// Interval at which a process tries to start the thread of its log, twice.
const THREAD_TIME: Duration = Duration::from_secs(2);
/// More threads than the user has who runs the process.
const MANY_THREADS: u32 = 4096;

/// Fewer files than a process opens before it reads its settings.
const FEW_FILES: u32 = 8;

async fn store() -> Store {
    let document = document::desired(1, &["m"]);
    Store::start_with(&document).await.unwrap()
}

fn prepare(store: &Store) -> Process {
    Process::prepare("entry-1", store.address()).unwrap()
}

// Sends requests whose lines go to the log, and waits for each response.
async fn check_serving(process: &mut Process) {
    let address = process.address(Listener::Callers);
    let mut connection = Connection::open(address).await.unwrap();
    for number in 0..REQUESTS {
        let call = Call::get("/absent/", &format!("r-{number}"));
        let response = connection.send(&call).await;
        let ended = process.ended().unwrap();
        assert!(ended.is_none(), "after {number} requests: {ended:?}");
        assert_eq!(response.unwrap().status, 404);
    }
    time::sleep(HOLD_TIME).await;
    let ended = process.ended().unwrap();
    assert!(ended.is_none(), "{ended:?}");
    assert!(process.is_ready().await);
}

#[tokio::test]
async fn a_log_that_reaches_the_limit_on_the_size_of_files_does_not_end_a_process() {
    let store = store().await;
    let mut process = prepare(&store);
    let options = format!("-f {FILE_BLOCKS}");
    process.start_limited(Path::new(BINARY), &options).unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    check_serving(&mut process).await;
    let length = std::fs::metadata(process.log_path()).unwrap().len();
    assert_eq!(usize::try_from(length), Ok(FILE_BLOCKS * BLOCK_BYTES));
}

#[tokio::test]
async fn a_log_that_is_full_at_the_start_does_not_keep_a_process_from_serving() {
    let store = store().await;
    let mut process = prepare(&store);
    let full = vec![b' '; FILE_BLOCKS * BLOCK_BYTES];
    std::fs::write(process.log_path(), full).unwrap();
    let options = format!("-f {FILE_BLOCKS}");
    process.start_limited(Path::new(BINARY), &options).unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    check_serving(&mut process).await;
}

async fn wait_ended(process: &mut Process) -> ExitStatus {
    let ended = async {
        loop {
            if let Some(status) = process.ended().unwrap() {
                return status;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(READY_TIMEOUT, ended).await.unwrap()
}

#[tokio::test]
async fn a_signal_without_a_use_leaves_a_line_and_does_not_end_a_process() {
    let store = store().await;
    let mut ends = Vec::new();
    for signal in UNUSED {
        let mut process = prepare(&store);
        process.start(Path::new(BINARY)).unwrap();
        process.wait_ready(READY_TIMEOUT).await.unwrap();
        process.signal(signal).unwrap();
        process.signal(signal).unwrap();
        time::sleep(HOLD_TIME).await;
        if let Some(status) = process.ended().unwrap() {
            ends.push((signal, status));
            continue;
        }
        let log = process.log().unwrap();
        assert!(log.contains(signal.as_str()), "{signal}: {log}");
        assert!(process.is_ready().await);
    }
    assert_eq!(ends, []);
}

#[tokio::test]
async fn a_signal_to_quit_shuts_a_process_down() {
    let store = store().await;
    for signal in [Signal::SIGQUIT, Signal::SIGINT, Signal::SIGTERM] {
        let mut process = prepare(&store);
        process.start(Path::new(BINARY)).unwrap();
        process.wait_ready(READY_TIMEOUT).await.unwrap();
        process.signal(signal).unwrap();
        let status = wait_ended(&mut process).await;
        assert_eq!(status.code(), Some(0), "{signal}: {status}");
        let log = process.log().unwrap();
        assert!(log.contains(&format!("received {signal}")), "{log}");
    }
}

// A child inherits the blocked signals of the thread that starts it.
#[tokio::test]
async fn signals_that_the_parent_blocks_still_shut_a_process_down() {
    let store = store().await;
    let mut process = prepare(&store);
    let before = SigSet::all().thread_swap_mask(SigmaskHow::SIG_SETMASK);
    process.start(Path::new(BINARY)).unwrap();
    before.unwrap().thread_set_mask().unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    process.signal(Signal::SIGTERM).unwrap();
    let status = wait_ended(&mut process).await;
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn signals_that_the_parent_ignores_still_shut_a_process_down() {
    let store = store().await;
    let mut process = prepare(&store);
    process
        .start_after(Path::new(BINARY), "trap '' HUP INT TERM XFSZ")
        .unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    process.signal(Signal::SIGHUP).unwrap();
    time::sleep(HOLD_TIME).await;
    assert!(process.log().unwrap().contains("settings reloaded"));
    process.signal(Signal::SIGTERM).unwrap();
    let status = wait_ended(&mut process).await;
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn a_kernel_that_refuses_threads_does_not_keep_a_process_from_serving() {
    let store = store().await;
    let mut process = prepare(&store);
    process.start_with_threads(Path::new(BINARY), 0).unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    check_serving(&mut process).await;
    assert_eq!(process.log().unwrap(), "");
    process.limit_threads(MANY_THREADS).unwrap();
    time::sleep(THREAD_TIME).await;
    let log = process.log().unwrap();
    assert!(log.contains("\"starting\""), "{log}");
}

#[tokio::test]
async fn a_low_soft_limit_of_open_files_does_not_keep_a_process_from_starting() {
    let store = store().await;
    let mut process = prepare(&store);
    process
        .start_with_files(Path::new(BINARY), FEW_FILES)
        .unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    check_serving(&mut process).await;
}
