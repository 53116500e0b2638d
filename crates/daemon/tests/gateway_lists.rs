//! Starts of gateway processes whose store lists rows of several pages, with keys that others
//! choose.

use std::path::Path;
use std::time::Duration;

use almondbank_emulator::document;
use almondbank_emulator::process::Process;
use almondbank_emulator::store::Store;
use nix::sys::signal::Signal;

const BINARY: &str = env!("CARGO_BIN_EXE_almondbank");
const PROCESSES: usize = 4;
const PAGE_ROWS: usize = 50;
const ROWS: usize = 140;
const READY_TIMEOUT: Duration = Duration::from_secs(10);

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
