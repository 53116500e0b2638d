//! Starts of a gateway process while the store, its peers or its processor fail for a time.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use almondbank_emulator::document;
use almondbank_emulator::process::{Listener, Process};
use almondbank_emulator::proxy::{Mode, Proxy};
use almondbank_emulator::store::Store;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{self, JoinHandle};
use tokio::time;

const BINARY: &str = env!("CARGO_BIN_EXE_almondbank");
/// Time for which a dependency fails.
const FAULT_TIME: Duration = Duration::from_secs(10);
/// Time in which a process is to be ready once the fault is over.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which a process with a part of a core runs at once.
const RUNNING_TIME: Duration = Duration::from_millis(25);

/// Responses of a store that fails, or of something else at its address.
const RESPONSES: [(&str, &str); 15] = [
    ("closed", ""),
    (
        "429",
        "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n",
    ),
    (
        "429 for long",
        "HTTP/1.1 429 Too Many Requests\r\nretry-after: 3600\r\ncontent-length: 0\r\n\r\n",
    ),
    (
        "503",
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: 3600\r\ncontent-length: 2\r\n\r\n{}",
    ),
    (
        "404",
        "HTTP/1.1 404 Not Found\r\ncontent-length: 2\r\n\r\n{}",
    ),
    ("410", "HTTP/1.1 410 Gone\r\ncontent-length: 2\r\n\r\n{}"),
    (
        "409",
        "HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}",
    ),
    (
        "500",
        "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 3\r\n\r\nbad",
    ),
    (
        "301",
        "HTTP/1.1 301 Moved Permanently\r\nlocation: /\r\ncontent-length: 0\r\n\r\n",
    ),
    ("204", "HTTP/1.1 204 No Content\r\n\r\n"),
    (
        "empty table",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
    ),
    (
        "empty list",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]",
    ),
    (
        "no JSON",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n<htm>",
    ),
    (
        "cut short",
        "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"rows\":[",
    ),
    ("no HTTP", "SSH-2.0-server\r\n"),
];

/// Address that answers with a fixed response until it is told to forward to the store.
struct Front {
    address: SocketAddr,
    forwards: watch::Sender<bool>,
}

impl Front {
    async fn start(store: SocketAddr, response: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let forwards = watch::Sender::new(false);
        let state = forwards.subscribe();
        task::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                let forwards = *state.borrow();
                task::spawn(handle(connection, forwards.then_some(store), response));
            }
        });
        Self { address, forwards }
    }
}

async fn handle(mut connection: TcpStream, store: Option<SocketAddr>, response: &str) {
    if let Some(store) = store {
        let mut store = TcpStream::connect(store).await.unwrap();
        let _ = tokio::io::copy_bidirectional(&mut connection, &mut store).await;
    } else if !response.is_empty() {
        let mut request = [0; 4096];
        let _ = connection.read(&mut request).await;
        let _ = connection.write_all(response.as_bytes()).await;
    }
}

async fn store(document: &Value) -> Store {
    Store::start_with(document).await.unwrap()
}

fn start(store: SocketAddr, instance: &str, seeds: &[SocketAddr]) -> Process {
    let mut process = Process::new().unwrap();
    let seeds: Vec<_> = seeds.iter().map(SocketAddr::to_string).collect();
    let settings = process.settings(store);
    let settings = settings.replace("entry-1", instance);
    let settings = settings.replace("seeds: []", &format!("seeds: {}", json!(seeds)));
    std::fs::write(process.settings_path(), settings).unwrap();
    process.start(Path::new(BINARY)).unwrap();
    process
}

// Returns the time until the process is ready after the end of a fault.
async fn recovery(name: &str, process: &mut Process) -> Duration {
    let began = Instant::now();
    let ready = process.wait_ready(READY_TIMEOUT).await;
    let log = process.log().unwrap();
    ready.unwrap_or_else(|error| panic!("{name}: {error}: {log}"));
    let elapsed = began.elapsed();
    println!("{name}: ready after {} ms", elapsed.as_millis());
    elapsed
}

async fn finish(checks: Vec<JoinHandle<(String, Duration)>>) {
    for check in checks {
        let (name, elapsed) = check.await.unwrap();
        assert!(elapsed < RECOVERY_TIME, "{name}: {elapsed:?}");
    }
}

#[tokio::test]
async fn a_store_that_answers_wrongly_at_the_start_does_not_keep_a_process_from_being_ready() {
    let store = Arc::new(store(&document::desired(1, &["m"])).await);
    let mut checks = Vec::new();
    for (name, response) in RESPONSES {
        let store = store.address();
        checks.push(task::spawn(async move {
            let front = Front::start(store, response).await;
            let mut process = start(front.address, name, &[]);
            time::sleep(FAULT_TIME).await;
            assert!(!process.is_ready().await, "{name}");
            front.forwards.send_replace(true);
            (name.to_owned(), recovery(name, &mut process).await)
        }));
    }
    finish(checks).await;
}

#[tokio::test]
async fn a_store_out_of_reach_at_the_start_does_not_keep_a_process_from_being_ready() {
    let store = Arc::new(store(&document::desired(1, &["m"])).await);
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let other = Front::start(store.address(), "HTTP/1.1 200 OK\r\n\r\nhello").await;
    let gone = SocketAddr::from(([127, 0, 0, 1], 1));
    let seeds = [silent.local_addr().unwrap(), other.address, gone];
    let mut checks = Vec::new();
    for mode in [
        Mode::Reset,
        Mode::Stall,
        Mode::StallUpstream,
        Mode::StallDownstream,
        Mode::Delay(Duration::from_millis(600)),
    ] {
        let store = Arc::clone(&store);
        checks.push(task::spawn(async move {
            let name = format!("{mode:?}");
            let proxy = Proxy::start(store.address()).await.unwrap();
            proxy.set_mode(mode);
            let mut process = start(proxy.address(), &name, &seeds);
            time::sleep(FAULT_TIME).await;
            let is_slow = matches!(mode, Mode::Delay(_));
            assert!(is_slow || !process.is_ready().await, "{name}");
            proxy.set_mode(Mode::Pass);
            let elapsed = recovery(&name, &mut process).await;
            (name, elapsed)
        }));
    }
    finish(checks).await;
}

#[tokio::test]
async fn a_slow_store_at_the_start_does_not_keep_a_process_from_being_ready() {
    let store = store(&document::desired(1, &["m"])).await;
    for delay_ms in [60, 300] {
        check_delayed(&store, Duration::from_millis(delay_ms)).await;
    }
}

// Guards against a start whose calls to the store are all given up too early.
#[tokio::test]
async fn a_store_slower_than_the_timeout_of_a_call_does_not_keep_a_process_from_being_ready() {
    let store = store(&document::desired(1, &["m"])).await;
    check_delayed(&store, Duration::from_millis(600)).await;
}

// Delays each way between a process that starts and its store.
async fn check_delayed(store: &Store, delay: Duration) {
    let name = format!("{delay:?}");
    let proxy = Proxy::start(store.address()).await.unwrap();
    proxy.set_mode(Mode::Delay(delay));
    let mut process = start(proxy.address(), &name, &[]);
    let elapsed = recovery(&name, &mut process).await;
    assert!(elapsed < 2 * RECOVERY_TIME, "{name}: {elapsed:?}");
}

#[tokio::test]
async fn a_document_that_cannot_be_used_at_the_start_does_not_keep_a_process_from_being_ready() {
    let valid = document::desired(3, &["m"]);
    let mut malformed = document::desired(2, &["m"]);
    malformed["routes"] = json!("none");
    let mut no_version = document::desired(2, &["m"]);
    no_version.as_object_mut().unwrap().remove("version");
    let contents: [(&str, Vec<u8>); 6] = [
        ("empty", Vec::new()),
        ("no JSON", b"{\"version\": 2".to_vec()),
        ("list", b"[]".to_vec()),
        ("binary", vec![0xff; 100]),
        ("malformed", malformed.to_string().into_bytes()),
        ("no version", no_version.to_string().into_bytes()),
    ];
    let mut checks = Vec::new();
    for (name, content) in contents {
        let valid = valid.to_string().into_bytes();
        checks.push(task::spawn(async move {
            let store = Store::start().await.unwrap();
            store.put("op", "config", &content);
            let mut process = start(store.address(), name, &[]);
            time::sleep(FAULT_TIME).await;
            assert!(!process.is_ready().await, "{name}");
            store.put("op", "config", &valid);
            (name.to_owned(), recovery(name, &mut process).await)
        }));
    }
    finish(checks).await;
}

#[tokio::test]
async fn a_peer_that_accepts_and_says_nothing_does_not_keep_a_process_from_being_ready() {
    let mut with_quota = document::desired(1, &["m"]);
    with_quota["tenants"] = json!([{
        "name": "t", "apiKeys": ["key"], "unit": "requests", "ratePerS": 10.0, "burst": 20.0,
    }]);
    for document in [document::desired(1, &["m"]), with_quota] {
        let store = store(&document).await;
        let mut frozen = start(store.address(), "entry-0", &[]);
        frozen.wait_ready(READY_TIMEOUT).await.unwrap();
        frozen.signal(Signal::SIGSTOP).unwrap();
        let seeds = [frozen.address(Listener::Peers)];
        let mut process = start(store.address(), "entry-1", &seeds);
        let elapsed = recovery("frozen peer", &mut process).await;
        assert!(elapsed < 2 * RECOVERY_TIME, "{elapsed:?}");
    }
}

#[tokio::test]
async fn a_newer_document_that_is_malformed_does_not_keep_a_process_beside_a_peer_from_being_ready()
{
    let store = store(&document::desired(1, &["m"])).await;
    let mut peer = start(store.address(), "entry-0", &[]);
    peer.wait_ready(READY_TIMEOUT).await.unwrap();
    let mut malformed = document::desired(2, &["m"]);
    malformed["routes"] = json!("none");
    store.put("op", "config", malformed.to_string().as_bytes());
    let seeds = [peer.address(Listener::Peers)];
    let mut process = start(store.address(), "entry-1", &seeds);
    let elapsed = recovery("newer document", &mut process).await;
    assert!(elapsed < 2 * RECOVERY_TIME, "{elapsed:?}");
}

#[tokio::test]
async fn rows_that_cannot_be_read_do_not_keep_a_process_from_being_ready() {
    let rows = [
        ("servers", "runner"),
        ("almondbank", "env/main/lease"),
        ("almondbank", "env/main/software"),
        ("almondbank", "env/main/environment"),
        ("almondbank", "env/main/environment-part/000000"),
        ("almondbank", "env/main/quarantine"),
        ("almondbank", "env/main/streams/entry-0"),
        ("almondbank", "env/main/member/entry-0"),
        ("almondbank", "env/main/member/entry-1"),
    ];
    let contents: [(&str, &[u8]); 5] = [
        ("empty", b""),
        ("binary", &[0xff; 100]),
        ("text", b"text"),
        ("table", b"writer\n{}"),
        ("list", b"writer\n[[]]"),
    ];
    for (name, content) in contents {
        let store = store(&document::desired(1, &["m"])).await;
        for (table, key) in rows {
            store.put(table, key, content);
        }
        let mut process = start(store.address(), "entry-1", &[]);
        let elapsed = recovery(name, &mut process).await;
        assert!(elapsed < RECOVERY_TIME, "{name}: {elapsed:?}");
    }
}

// Peers that read the registrations have none to send.
#[tokio::test]
async fn a_first_read_that_fails_beside_peers_does_not_keep_a_process_without_runners_from_being_ready()
 {
    let store = store(&document::desired(1, &["m"])).await;
    let mut peers: Vec<_> = (0..5)
        .map(|number| start(store.address(), &format!("entry-{number}"), &[]))
        .collect();
    for peer in &mut peers {
        peer.wait_ready(READY_TIMEOUT).await.unwrap();
    }
    let proxy = Proxy::start(store.address()).await.unwrap();
    proxy.set_mode(Mode::Reset);
    let seeds: Vec<_> = peers
        .iter()
        .map(|peer| peer.address(Listener::Peers))
        .collect();
    let mut process = start(proxy.address(), "entry-9", &seeds);
    time::sleep(FAULT_TIME).await;
    proxy.set_mode(Mode::Pass);
    let elapsed = recovery("beside peers", &mut process).await;
    assert!(elapsed < RECOVERY_TIME, "{elapsed:?}");
}

#[tokio::test]
async fn many_processes_that_start_at_once_are_ready_soon() {
    let store = store(&document::desired(1, &["m"])).await;
    let began = Instant::now();
    let mut processes: Vec<_> = (0..20)
        .map(|number| start(store.address(), &format!("entry-{number}"), &[]))
        .collect();
    for process in &mut processes {
        process.wait_ready(READY_TIMEOUT).await.unwrap();
    }
    println!(
        "20 processes: ready after {} ms",
        began.elapsed().as_millis()
    );
}

// A process that runs for a quarter of the time.
#[tokio::test]
async fn a_quarter_of_a_core_does_not_keep_a_process_from_being_ready() {
    let store = store(&document::desired(1, &["m"])).await;
    let process = start(store.address(), "entry-1", &[]);
    let began = Instant::now();
    let mut is_ready = false;
    while !is_ready && began.elapsed() < READY_TIMEOUT {
        process.signal(Signal::SIGSTOP).unwrap();
        time::sleep(3 * RUNNING_TIME).await;
        process.signal(Signal::SIGCONT).unwrap();
        // A connection that is refused ends the check at once, but not the time to run.
        let check = time::timeout(RUNNING_TIME, process.is_ready());
        let (check, ()) = tokio::join!(check, time::sleep(RUNNING_TIME));
        is_ready = check.unwrap_or_default();
    }
    println!(
        "quarter of a core: ready after {} ms",
        began.elapsed().as_millis()
    );
    assert!(
        is_ready && began.elapsed() < RECOVERY_TIME,
        "{}",
        process.log().unwrap()
    );
}
