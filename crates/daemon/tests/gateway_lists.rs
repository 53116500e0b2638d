//! Starts of gateway processes whose store lists rows of several pages, with keys that others
//! choose.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use almondbank_emulator::caller::{self, Call};
use almondbank_emulator::document::{self, DESK};
use almondbank_emulator::process::{Listener, Process};
use almondbank_emulator::proxy::{self, Proxy};
use almondbank_emulator::runner::{Config, Runner};
use almondbank_emulator::store::{Mode, Store};
use nix::sys::signal::Signal;
use tokio::time;

const BINARY: &str = env!("CARGO_BIN_EXE_almondbank");
const PROCESSES: usize = 4;
const PAGE_ROWS: usize = 50;
/// Time in which a process reads rows that change some 30 times.
const CHANGE_TIME: Duration = Duration::from_secs(5);
/// Lines on each row, if they get rarer the more often it changes.
const MAX_LINES: usize = 6;
const SMALL_PAGE_ROWS: usize = 5;
const ROWS: usize = 140;
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const SERVED_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest value of a row, in bytes.
const ROW_BYTES: usize = 1 << 16;
/// Rows that are larger together than any answer that is read.
const LARGE_ROWS: usize = 100;
const GROUP: usize = 6;
const SURVIVORS: usize = 2;
/// Time in which a process that starts is ready.
const START_TIME: Duration = Duration::from_secs(4);
const MANY_LARGE_ROWS: usize = 800;

// Starts a store with rows that are no registrations.
async fn store(key: impl Fn(usize) -> String) -> Store {
    let document = document::desired(1, &["m"]);
    let store = Store::start_with(&document).await.unwrap();
    store.set_page_rows(PAGE_ROWS);
    for number in 0..ROWS {
        store.put("servers", &key(number), b"[]");
    }
    store
}

fn processes(store: &Store) -> Vec<Process> {
    (0..PROCESSES)
        .map(|number| Process::prepare(&format!("entry-{number}"), store.address()).unwrap())
        .collect()
}

async fn start(name: &str, processes: &mut [Process]) {
    for process in processes.iter_mut() {
        process.start(Path::new(BINARY)).unwrap();
    }
    for process in processes {
        let ready = process.wait_ready(READY_TIMEOUT).await;
        ready.unwrap_or_else(|error| panic!("{name}: {error}: {}", process.log().unwrap()));
    }
}

#[tokio::test]
async fn keys_of_other_writers_do_not_keep_killed_processes_from_being_ready() {
    for pattern in ["a14&b={}bc", "a28+{}", "a{}#", "a {}", "ü{}"] {
        let store = store(|number| pattern.replace("{}", &format!("{number:03}"))).await;
        let mut processes = processes(&store);
        start(pattern, &mut processes).await;
        for process in &processes {
            process.signal(Signal::SIGKILL).unwrap();
        }
        start(pattern, &mut processes).await;
    }
}

#[tokio::test]
async fn pages_that_are_refused_do_not_keep_processes_from_being_ready() {
    let store = store(|number| format!("k{number:03}")).await;
    store.refuse_reads(Some(2));
    start("every second read refused", &mut processes(&store)).await;
}

// Writes rows of other writers as large as a row may be, and returns the bytes of all.
fn write_large_rows(store: &Store, count: usize) -> usize {
    let value = vec![b'x'; ROW_BYTES];
    for number in 0..count {
        store.put("servers", &format!("k{number:04}"), &value);
    }
    count * ROW_BYTES
}

async fn wait_served(name: &str, process: &Process) {
    let address = process.address(Listener::Callers);
    let polling = async {
        for number in 0.. {
            let call = Call::get("/look/x", &format!("look-{number}"));
            let response = caller::send(address, &call).await;
            if response.is_ok_and(|response| response.status == 200) {
                return;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    let served = time::timeout(SERVED_TIMEOUT, polling).await;
    assert!(served.is_ok(), "{name}: {}", process.log().unwrap());
}

#[tokio::test]
async fn changes_larger_than_an_answer_do_not_hide_later_runners() {
    for loses_contact in [false, true] {
        let store = store(|number| format!("k{number:04}")).await;
        let link = Proxy::start(store.address()).await.unwrap();
        let mut process = Process::new().unwrap();
        std::fs::write(process.settings_path(), process.settings(link.address())).unwrap();
        process.start(Path::new(BINARY)).unwrap();
        process.wait_ready(READY_TIMEOUT).await.unwrap();
        if loses_contact {
            link.set_mode(proxy::Mode::Reset);
            time::sleep(Duration::from_millis(500)).await;
        }
        write_large_rows(&store, LARGE_ROWS);
        if loses_contact {
            time::sleep(Duration::from_millis(500)).await;
            link.set_mode(proxy::Mode::Pass);
        }
        time::sleep(Duration::from_millis(500)).await;
        let runner = Runner::start(Config::plain("d-1", DESK), &store).await;
        let _runner = runner.unwrap();
        wait_served(&format!("lost contact: {loses_contact}"), &process).await;
    }
}

#[tokio::test]
async fn rows_of_other_writers_do_not_stay_in_memory_while_a_list_is_read() {
    let store = Store::start().await.unwrap();
    let document = document::desired(1, &["m"]);
    store.put("op", "config", document.to_string().as_bytes());
    let bytes = write_large_rows(&store, MANY_LARGE_ROWS);
    let runner = Runner::start(Config::plain("d-1", DESK), &store).await;
    let _runner = runner.unwrap();
    let mut process = Process::new().unwrap();
    std::fs::write(process.settings_path(), process.settings(store.address())).unwrap();
    process.start(Path::new(BINARY)).unwrap();
    wait_served("many large rows", &process).await;
    let peak = process.peak_kb().unwrap();
    let bound = u64::try_from(bytes / 1024).unwrap();
    assert!(peak < bound, "{peak} kB for rows of {bound} kB");
}

// Starts processes that know each other, each with an address of the store of its own.
async fn start_group(store: &Store) -> (Vec<Process>, Vec<SocketAddr>) {
    let mut processes: Vec<_> = (0..GROUP).map(|_| Process::new().unwrap()).collect();
    let seeds: Vec<_> = processes
        .iter()
        .map(|process| format!("\"{}\"", process.address(Listener::Peers)))
        .collect();
    let mut addresses = Vec::new();
    for (number, process) in processes.iter().enumerate() {
        let address = store.add_listener().await.unwrap();
        let settings = process
            .settings(address)
            .replace("entry-1", &format!("entry-{number}"))
            .replace("seeds: []", &format!("seeds: [{}]", seeds.join(",")));
        std::fs::write(process.settings_path(), settings).unwrap();
        addresses.push(address);
    }
    start("group", &mut processes).await;
    (processes, addresses)
}

#[tokio::test]
async fn processes_that_the_store_refuses_at_their_start_are_ready_by_those_that_serve() {
    for (mode, has_runner) in [
        (Mode::Unavailable, true),
        (Mode::Unresponsive, true),
        (Mode::Unavailable, false),
    ] {
        let store = store(|number| format!("a{number:03}&b")).await;
        let mut runners = Vec::new();
        if has_runner {
            let runner = Runner::start(Config::plain("d-1", DESK), &store).await;
            runners.push(runner.unwrap());
        }
        let (mut processes, addresses) = start_group(&store).await;
        time::sleep(Duration::from_secs(1)).await;
        for (process, address) in processes.iter().zip(addresses).skip(SURVIVORS) {
            process.signal(Signal::SIGKILL).unwrap();
            store.set_mode_at(address, mode);
        }
        time::sleep(Duration::from_millis(300)).await;
        let name = format!("{mode:?}, runner: {has_runner}");
        start_in_time(&name, &mut processes[SURVIVORS..]).await;
    }
}

#[tokio::test]
async fn many_pages_of_which_some_are_refused_do_not_keep_processes_from_being_ready_in_time() {
    let store = store(|number| format!("a{number:03}&b")).await;
    let (mut processes, _) = start_group(&store).await;
    for process in &processes {
        process.signal(Signal::SIGKILL).unwrap();
    }
    time::sleep(Duration::from_millis(300)).await;
    store.set_page_rows(SMALL_PAGE_ROWS);
    store.refuse_reads(Some(3));
    start_in_time("each third read refused", &mut processes).await;
}

async fn start_in_time(name: &str, processes: &mut [Process]) {
    let begun = time::Instant::now();
    start(name, processes).await;
    let taken = begun.elapsed();
    assert!(taken < START_TIME, "{name}: ready after {taken:?}");
}

#[tokio::test]
async fn rows_that_change_all_the_time_do_not_keep_processes_from_being_ready() {
    let store = store(|number| format!("a{number:03}&b")).await;
    let runner = Runner::start(Config::plain("d-1", DESK), &store).await;
    let _runner = runner.unwrap();
    let (mut processes, _) = start_group(&store).await;
    let writer = store.clone();
    let writing = tokio::spawn(async move {
        for number in 0.. {
            let key = format!("a{:03}&b", number % (4 * ROWS));
            writer.put("servers", &key, b"{\"service\":[1]}");
            time::sleep(Duration::from_millis(1)).await;
        }
    });
    for survivors in [SURVIVORS, 0] {
        for process in &processes[survivors..] {
            process.signal(Signal::SIGKILL).unwrap();
        }
        time::sleep(Duration::from_millis(300)).await;
        start_in_time("rows change", &mut processes[survivors..]).await;
    }
    writing.abort();
}

#[tokio::test]
async fn rows_that_change_all_the_time_do_not_flood_the_log() {
    let store = store(|number| format!("a{number:03}&b")).await;
    let mut process = Process::new().unwrap();
    std::fs::write(process.settings_path(), process.settings(store.address())).unwrap();
    process.start(Path::new(BINARY)).unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    let begun = time::Instant::now();
    while begun.elapsed() < CHANGE_TIME {
        for number in 0..ROWS {
            store.put("servers", &format!("a{number:03}&b"), b"{\"service\":[1]}");
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    let log = process.log().unwrap();
    let lines = log.matches("registration is malformed").count();
    assert!(lines <= MAX_LINES * ROWS, "{lines} lines");
}
