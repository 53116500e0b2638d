//! A gateway process whose log nobody reads.

use std::path::Path;
use std::time::Duration;

use almondbank_emulator::caller::{Call, Connection};
use almondbank_emulator::deployment::wait_until;
use almondbank_emulator::document;
use almondbank_emulator::process::{Listener, Process};
use almondbank_emulator::store::Store;
use nix::sys::signal::Signal;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// More requests than lines may wait to be written.
const REQUESTS: usize = 5_000;
/// Length of the id of each request, which log lines contain.
const ID_BYTES: usize = 15_000;
/// Memory that a process without load may take, with 2 MiB of log lines.
const MAX_PEAK_KB: u64 = 48 << 10;

// Guards against lines whose length callers choose, which were bounded by their number only.
#[tokio::test]
async fn long_log_lines_that_nobody_reads_take_bounded_memory() {
    let store = Store::start().await.unwrap();
    let document = document::desired(1, &["m"]);
    store.put("op", "config", document.to_string().as_bytes());
    let mut process = Process::new().unwrap();
    let settings = process.settings(store.address());
    std::fs::write(process.settings_path(), settings).unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_almondbank"));
    process.start_unread(binary).unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    let address = process.address(Listener::Callers);
    let mut connection = Connection::open(address).await.unwrap();
    for number in 0..REQUESTS {
        let id = format!("{number}-{}", "i".repeat(ID_BYTES));
        let response = connection.send(&Call::get("/absent/", &id)).await.unwrap();
        assert_eq!(response.status, 404);
    }
    assert!(process.is_ready().await);
    let peak = process.peak_kb().unwrap();
    assert!(peak < MAX_PEAK_KB, "{peak} kB");
}

#[tokio::test]
async fn names_of_any_text_are_whole_in_lines_of_json() {
    let long = "&".repeat(200);
    let names = [
        "None",
        "Some(1)",
        "12",
        "true",
        "null",
        "a\nb",
        "\r\n",
        "\"",
        "\\",
        "{}",
        "\u{1}\0",
        "\u{7f}\u{2028}",
        "ძ🚀",
        " ",
        &long,
    ];
    let store = Store::start().await.unwrap();
    let document = document::desired(1, &["m"]);
    store.put("op", "config", document.to_string().as_bytes());
    for name in names {
        store.put("servers", name, b"[]");
    }
    let mut process = Process::new().unwrap();
    let settings = process.settings(store.address());
    std::fs::write(process.settings_path(), settings).unwrap();
    process
        .start(Path::new(env!("CARGO_BIN_EXE_almondbank")))
        .unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    process.signal(Signal::SIGTERM).unwrap();
    wait_until(|| process.ended().unwrap().is_some())
        .await
        .unwrap();
    let text = process.log().unwrap();
    let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
    let lines: Vec<serde_json::Value> = lines.collect();
    for name in names {
        let is_named = |line: &serde_json::Value| line["runner"] == name;
        assert!(lines.iter().any(is_named), "{name:?}: {text}");
    }
}
