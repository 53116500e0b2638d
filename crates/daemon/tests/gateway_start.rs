//! Starts of a gateway process that is in the way of something: a taken port, a settings file
//! that is not complete yet, or a signal.

use std::net::TcpListener;
use std::path::Path;
use std::time::Duration;

use almondbank_emulator::caller::{self, Call};
use almondbank_emulator::document::{self, ENGINES};
use almondbank_emulator::process::{Listener, Process};
use almondbank_emulator::runner::{Config, Runner};
use almondbank_emulator::store::Store;
use nix::sys::signal::Signal;
use nix::sys::stat::Mode;
use nix::unistd;
use strum::IntoEnumIterator;
use tokio::net::TcpStream;
use tokio::{task, time};

const BINARY: &str = env!("CARGO_BIN_EXE_almondbank");
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Soft limit of open files that systems often have by default.
const USUAL_FILES: u32 = 1024;
/// Connections of callers that are open at once, within `max_files`.
const IDLE_CALLERS: usize = 1300;
/// Time that a process gets to fail.
const HOLD_TIME: Duration = Duration::from_millis(700);

async fn store() -> Store {
    let document = document::desired(1, &["m"]);
    Store::start_with(&document).await.unwrap()
}

fn prepare(store: &Store) -> Process {
    Process::prepare("entry-1", store.address()).unwrap()
}

async fn check_running(process: &mut Process) {
    time::sleep(HOLD_TIME).await;
    let ended = process.ended().unwrap();
    assert!(ended.is_none(), "{ended:?}: {}", process.log().unwrap());
}

async fn wait_listening(process: &Process, listener: Listener) {
    let address = process.address(listener);
    let connecting = async {
        while TcpStream::connect(address).await.is_err() {
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(READY_TIMEOUT, connecting).await.unwrap();
}

#[tokio::test]
async fn a_taken_port_for_metrics_does_not_keep_a_process_from_serving() {
    let store = store().await;
    let mut process = prepare(&store);
    let _taken = TcpListener::bind(process.address(Listener::Metrics)).unwrap();
    process.start(Path::new(BINARY)).unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
}

#[tokio::test]
async fn a_process_that_starts_while_a_port_is_taken_does_not_end_and_serves_once_it_is_free() {
    let store = store().await;
    for listener in Listener::iter() {
        let mut process = prepare(&store);
        let taken = TcpListener::bind(process.address(listener)).unwrap();
        process.start(Path::new(BINARY)).unwrap();
        check_running(&mut process).await;
        drop(taken);
        process.wait_ready(READY_TIMEOUT).await.unwrap();
        wait_listening(&process, listener).await;
    }
}

#[tokio::test]
async fn a_process_is_not_ready_before_callers_and_peers_can_connect() {
    let store = store().await;
    for listener in [Listener::Callers, Listener::Peers] {
        let mut process = prepare(&store);
        let _taken = TcpListener::bind(process.address(listener)).unwrap();
        process.start(Path::new(BINARY)).unwrap();
        check_running(&mut process).await;
        time::sleep(HOLD_TIME).await;
        assert!(!process.is_ready().await);
    }
}

// A leader that no peer reaches learns nothing of what their callers ask for.
#[tokio::test]
async fn a_process_that_peers_cannot_reach_does_not_lead() {
    let store = store().await;
    let config = Config {
        on_disk: vec!["m".to_owned()],
        ..Config::engine("e-1", ENGINES, &[])
    };
    let _runner = Runner::start(config, &store).await.unwrap();
    let mut unreachable = prepare(&store);
    let _taken = TcpListener::bind(unreachable.address(Listener::Peers)).unwrap();
    unreachable.start(Path::new(BINARY)).unwrap();
    check_running(&mut unreachable).await;
    let mut other = Process::new().unwrap();
    let settings = other.settings(store.address());
    let settings = settings.replace("entry-1", "entry-2");
    std::fs::write(other.settings_path(), settings).unwrap();
    other.start(Path::new(BINARY)).unwrap();
    other.wait_ready(READY_TIMEOUT).await.unwrap();
    let serving = async {
        for number in 0.. {
            let call = Call::post("/stream/once/", &format!("r-{number}"), b"p").with_model("m");
            let response = caller::send(other.address(Listener::Callers), &call).await;
            if response.is_ok_and(|response| response.status == 200) {
                return;
            }
            time::sleep(HOLD_TIME).await;
        }
    };
    time::timeout(READY_TIMEOUT, serving).await.unwrap();
}

#[tokio::test]
async fn the_log_names_the_listener_whose_port_is_taken() {
    let store = store().await;
    for listener in Listener::iter() {
        let mut process = prepare(&store);
        let address = process.address(listener);
        let _taken = TcpListener::bind(address).unwrap();
        process.start(Path::new(BINARY)).unwrap();
        time::sleep(HOLD_TIME).await;
        let log = process.log().unwrap();
        let line = log.lines().find(|line| line.contains("cannot listen"));
        let line: serde_json::Value = serde_json::from_str(line.unwrap_or("")).unwrap_or_default();
        assert_eq!(line["listener"], listener.to_string(), "{log}");
        assert_eq!(line["address"], address.to_string(), "{log}");
    }
}

// The settings file is a FIFO, so that the process still reads it when the signal comes.
#[tokio::test]
async fn a_sighup_before_the_settings_are_read_does_not_end_a_process() {
    let store = store().await;
    let mut process = Process::new().unwrap();
    let path = process.settings_path();
    unistd::mkfifo(&path, Mode::S_IRUSR | Mode::S_IWUSR).unwrap();
    process.start(Path::new(BINARY)).unwrap();
    let fifo = path.clone();
    let open = task::spawn_blocking(move || std::fs::File::options().write(true).open(fifo));
    let mut writer = open.await.unwrap().unwrap();
    process.signal(Signal::SIGHUP).unwrap();
    // The file is read again after the signal, then without anyone who writes it.
    let settings = process.settings(store.address());
    let file = path.with_extension("new");
    std::fs::write(&file, &settings).unwrap();
    std::fs::rename(&file, &path).unwrap();
    // Fails if the process has ended.
    let _ = std::io::Write::write_all(&mut writer, settings.as_bytes());
    drop(writer);
    process.wait_ready(READY_TIMEOUT).await.unwrap();
}

#[tokio::test]
async fn settings_that_are_written_during_the_start_do_not_end_a_process() {
    let store = store().await;
    for written in [0, 60] {
        let mut process = Process::new().unwrap();
        let settings = process.settings(store.address());
        let path = process.settings_path();
        std::fs::write(&path, &settings[..written]).unwrap();
        process.start(Path::new(BINARY)).unwrap();
        check_running(&mut process).await;
        std::fs::write(&path, &settings).unwrap();
        process.wait_ready(READY_TIMEOUT).await.unwrap();
    }
}

#[tokio::test]
async fn a_usual_limit_of_open_files_does_not_keep_a_process_from_being_ready() {
    let store = store().await;
    let mut process = prepare(&store);
    process
        .start_with_files(Path::new(BINARY), USUAL_FILES)
        .unwrap();
    process.wait_ready(READY_TIMEOUT).await.unwrap();
    let mut callers = Vec::new();
    for _ in 0..IDLE_CALLERS {
        let connecting = TcpStream::connect(process.address(Listener::Callers));
        let connection = time::timeout(READY_TIMEOUT, connecting).await;
        callers.push(connection.unwrap().unwrap());
    }
    let ready = time::timeout(HOLD_TIME, process.is_ready()).await;
    assert_eq!(ready, Ok(true), "{}", process.log().unwrap());
}

// A warning may be of the moment of a restart; the process is in need of an operator after that.
#[tokio::test]
async fn an_address_that_stays_taken_is_reported_as_an_error() {
    let store = store().await;
    let mut process = prepare(&store);
    let _taken = TcpListener::bind(process.address(Listener::Callers)).unwrap();
    process.start(Path::new(BINARY)).unwrap();
    let levels = || {
        let log = process.log().unwrap();
        let lines = log
            .lines()
            .map(|line| serde_json::from_str(line).unwrap_or_default());
        let reports = lines.filter(|line: &serde_json::Value| line["listener"] == "callers");
        reports
            .map(|line| line["level"].to_string())
            .collect::<Vec<_>>()
    };
    let reporting = async {
        while levels().len() < 2 {
            time::sleep(Duration::from_millis(100)).await;
        }
    };
    time::timeout(READY_TIMEOUT, reporting).await.unwrap();
    assert_eq!(levels(), ["\"warn\"", "\"error\""]);
}

// The address of the documentation range is of no machine.
#[tokio::test]
async fn an_address_of_another_machine_keeps_only_its_listener_from_serving() {
    let store = store().await;
    for listener in [Listener::Metrics, Listener::Directory, Listener::Callers] {
        let mut process = Process::new().unwrap();
        let address = process.address(listener).to_string();
        let settings = process.settings(store.address());
        let settings = settings.replace(&address, "192.0.2.1:7000");
        std::fs::write(process.settings_path(), settings).unwrap();
        process.start(Path::new(BINARY)).unwrap();
        if listener == Listener::Callers {
            wait_listening(&process, Listener::Ready).await;
            check_running(&mut process).await;
            assert!(!process.is_ready().await);
        } else {
            process.wait_ready(READY_TIMEOUT).await.unwrap();
        }
        let logging = async {
            while !process.log().unwrap().contains("cannot listen") {
                time::sleep(Duration::from_millis(50)).await;
            }
        };
        let logged = time::timeout(READY_TIMEOUT, logging).await;
        assert!(logged.is_ok(), "{listener}: {}", process.log().unwrap());
    }
}

// On a machine without IPv6 the log says so.
#[tokio::test]
async fn an_ipv6_address_is_listened_on() {
    let store = store().await;
    let free = TcpListener::bind("[::1]:0").and_then(|listener| listener.local_addr());
    let address = free
        .as_ref()
        .map_or("[::1]:7000".to_owned(), ToString::to_string);
    let mut process = Process::new().unwrap();
    let callers = process.address(Listener::Callers).to_string();
    let settings = process.settings(store.address());
    let settings = settings.replace(&callers, &format!("\"{address}\""));
    std::fs::write(process.settings_path(), settings).unwrap();
    process.start(Path::new(BINARY)).unwrap();
    if free.is_ok() {
        process.wait_ready(READY_TIMEOUT).await.unwrap();
        TcpStream::connect(address).await.unwrap();
    } else {
        check_running(&mut process).await;
        let log = process.log().unwrap();
        assert!(log.contains("cannot listen"), "{log}");
    }
}
