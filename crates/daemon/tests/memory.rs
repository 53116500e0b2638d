//! Crowds of callers that make a gateway hold memory or descriptors, against the real binary.
//!
//! Each test holds one crowd open, then checks that the process lives, that its peak resident
//! memory and its descriptors stay under their bounds, and that an ordinary request is
//! answered. Nothing is asserted about times or about the crowd's own responses.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use almondbank_emulator::caller::{self, Call, Connection};
use almondbank_emulator::document::{self, DESK, ENGINES, HOST};
use almondbank_emulator::http::Message;
use almondbank_emulator::runner::{Behaviour, Config, Runner};
use almondbank_emulator::store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time;

const MEMORY_MB: u64 = 120;
const MAX_PEAK_KB: u64 = 110_000;
const MAX_FILES: usize = 400;
/// Legal size of a body.
const BODY_BYTES: usize = 4 << 20;
/// Size of a body far over the limit.
const OVERSIZE_BYTES: usize = 16 * BODY_BYTES;
/// Bytes that callers who stop short leave out, 0.1 % of a body.
const MISSING_BYTES: usize = BODY_BYTES / 1000;
const CROWD: usize = 60;
/// Callers that send chunks of 16 bytes, which the gateway reads slowly.
const SMALL_CHUNKS_CROWD: usize = 40;
/// More connections than the process may have descriptors.
const MANY: usize = 2 * MAX_FILES;
/// Bytes of a head without its end, within the limit of 16,384.
const HEAD_BYTES: usize = 16_000;
/// Callers that name models, how many each of them names, and the length of a name.
const NAMING_CALLERS: usize = 8;
const NAMES_PER_CALLER: usize = 500;
const NAME_BYTES: usize = 15_000;
/// Longest time limit of a request, so that no request of a crowd expires while others arrive.
const TIMEOUT_MS: u64 = 120_000;
/// Requests with many parts, and descriptors and a processing time for them to run at once.
const PROMPTS: usize = 450;
const MANY_FILES: usize = 4_000;
const LONG_PROCESSING: Duration = Duration::from_secs(6);
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);
/// Checks without a change after which what is unread stays unread.
const SETTLE_CHECKS: usize = 15;

// A crowd beside another one would take the processor and the ports of the other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
/// Number of the next request.
static NEXT: AtomicU64 = AtomicU64::new(1);
/// Number of the next gateway, the last part of its loopback address.
static NEXT_GATEWAY: AtomicU64 = AtomicU64::new(1);

/// A gateway process with its store and two runners.
struct Gateway {
    child: Child,
    max_files: usize,
    callers: SocketAddr,
    directory: PathBuf,
    engine: Runner,
    _desk: Runner,
    _store: Store,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Gateway {
    async fn start() -> Self {
        // Long enough for the bodies of a crowd to be held at once.
        Self::start_with(MAX_FILES, Duration::from_secs(1)).await
    }

    async fn start_with(max_files: usize, processing_time: Duration) -> Self {
        let store = Store::start().await.unwrap();
        store.put("op", "config", document().to_string().as_bytes());
        let mut desk = Config::plain("desk-1", DESK);
        desk.processing_time = processing_time;
        desk.slots = 1_000;
        let desk = Runner::start(desk, &store).await.unwrap();
        let engine = Config::engine("engine-1", ENGINES, &["m"]);
        let engine = Runner::start(engine, &store).await.unwrap();
        let process = std::process::id();
        let number = NEXT_GATEWAY.fetch_add(1, Ordering::Relaxed);
        let name = format!("almondbank-memory-{process}-{number}");
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        let host = format!(
            "127.{}.{}.{number}",
            10 + process % 200,
            process / 200 % 250
        );
        let callers = format!("{host}:7001").parse().unwrap();
        let child = spawn(&directory, &host, store.address(), max_files);
        let gateway = Self {
            child,
            max_files,
            callers,
            directory,
            engine,
            _desk: desk,
            _store: store,
        };
        let serving = async {
            while !gateway.serves().await {
                time::sleep(SETTLE_INTERVAL).await;
            }
        };
        time::timeout(Duration::from_mins(1), serving)
            .await
            .expect("the gateway should serve");
        gateway
    }

    async fn serves(&self) -> bool {
        let response = self.ordinary().await;
        response.is_ok_and(|response| response.status == 200 && response.is_complete)
    }

    async fn ordinary(&self) -> io::Result<Message> {
        let attempt = format!("ordinary-{}", NEXT.fetch_add(1, Ordering::Relaxed));
        let mut call = Call::post("/look/", &attempt, &[b'b'; 1024]);
        call.headers[0].1 = TIMEOUT_MS.to_string();
        caller::send(self.callers, &call).await
    }

    fn peak_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let line = line.expect("the process should be alive");
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    fn files(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).unwrap().count()
    }

    /// Waits until the gateway has read what the crowd has sent, or reads no more of it.
    async fn settle(&self) {
        let mut last = usize::MAX;
        let mut unchanged = 0;
        while unchanged < SETTLE_CHECKS {
            let unread = unread_bytes(self.callers);
            if unread == 0 {
                return;
            }
            unchanged = if unread == last { unchanged + 1 } else { 0 };
            last = unread;
            time::sleep(SETTLE_INTERVAL).await;
        }
    }

    // Checks the bounds of the process.
    fn check_bounds(&mut self) {
        assert!(
            self.child.try_wait().unwrap().is_none(),
            "the process ended"
        );
        let (peak, files) = (self.peak_kb(), self.files());
        assert!(peak < MAX_PEAK_KB, "{peak} kB");
        assert!(files < self.max_files, "{files} files");
    }

    async fn check(&mut self, crowd: &str) {
        self.settle().await;
        let (held, files) = (self.peak_kb(), self.files());
        self.check_bounds();
        let response = self.ordinary().await;
        let peak = self.peak_kb();
        println!("{crowd}: peak {peak} kB, {held} kB before the last request, {files} files");
        self.check_bounds();
        let response = response.expect("an ordinary request should be answered");
        assert_eq!(response.status, 200);
        assert!(response.is_complete);
    }
}

fn document() -> serde_json::Value {
    let mut document = document::desired(1, &["m"]);
    document["limits"]["maxBodyBytes"] = BODY_BYTES.into();
    for route in document["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = TIMEOUT_MS.into();
    }
    document
}

fn spawn(directory: &std::path::Path, host: &str, store: SocketAddr, max_files: usize) -> Child {
    let settings = directory.join("entry.yaml");
    let text = format!(
        "instance: entry-1\ndata_centre: one\ncallers_listen: {host}:7001\n\
         ready_listen: {host}:7002\npeers_listen: {host}:7003\n\
         directory_listen: {host}:7004\nmetrics_listen: {host}:7005\nstore: {store}\n\
         seeds: []\nmax_files: {max_files}\nmemory_mb: {MEMORY_MB}\nchecks_fencing: true\n"
    );
    std::fs::write(&settings, text).unwrap();
    let log = std::fs::File::create(directory.join("entry.log")).unwrap();
    Command::new(env!("CARGO_BIN_EXE_almondbank"))
        .arg("gateway")
        .arg("--settings")
        .arg(&settings)
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .stdin(Stdio::null())
        .spawn()
        .unwrap()
}

// Bytes in both directions' queues of the kernel at the connections to `address`.
fn unread_bytes(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("an IPv4 address");
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let end = format!("{ip:08X}:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let bytes = |text: &str| usize::from_str_radix(text, 16).unwrap_or(0);
    let connections = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let is_established = fields[3] == "01";
        let (sent, received) = fields[4].split_once(':')?;
        match () {
            () if !is_established => None,
            () if fields[1] == end => Some(bytes(received)),
            () if fields[2] == end => Some(bytes(sent)),
            () => None,
        }
    });
    connections.sum()
}

/// What one caller of a crowd sends.
#[derive(Clone, Copy)]
struct Upload {
    /// Bytes of the body that are sent.
    bytes: usize,
    /// Announced length of the body, if it is not sent in chunks.
    announced: Option<usize>,
    /// Bytes that are sent at once, each piece as a chunk if the length is not announced.
    piece: usize,
    /// Whether the body is sent to its end.
    is_whole: bool,
    /// Pause after each piece.
    pause: Duration,
}

impl Upload {
    fn announced(bytes: usize, announced: usize) -> Self {
        Self {
            bytes,
            announced: Some(announced),
            piece: bytes,
            is_whole: bytes == announced,
            pause: Duration::ZERO,
        }
    }

    fn chunked(bytes: usize, piece: usize) -> Self {
        Self {
            bytes,
            announced: None,
            piece,
            is_whole: false,
            pause: Duration::ZERO,
        }
    }

    fn head(&self, number: u64) -> String {
        let framing = match self.announced {
            Some(length) => format!("Content-Length: {length}"),
            None => "Transfer-Encoding: chunked".to_owned(),
        };
        format!(
            "POST /look/ HTTP/1.1\r\nHost: {HOST}\r\nAlmondbank-Attempt-Id: crowd-{number}\r\n\
             Almondbank-Deadline-Ms: {TIMEOUT_MS}\r\n{framing}\r\n\r\n"
        )
    }

    // Pieces of the body as they are sent. Small chunks share a write.
    fn encode(&self, bytes: usize) -> Vec<u8> {
        if self.announced.is_some() {
            return vec![b'a'; bytes];
        }
        let mut encoded = format!("{bytes:x}\r\n").into_bytes();
        encoded.resize(encoded.len() + bytes, b'a');
        encoded.extend_from_slice(b"\r\n");
        encoded
    }

    async fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        stream.write_all(self.head(number).as_bytes()).await?;
        let full = self.encode(self.piece);
        let pieces_at_once = (16_384 / full.len()).max(1);
        let batch = full.repeat(pieces_at_once);
        let mut left = self.bytes;
        while left > 0 {
            let pieces = (left / self.piece).min(pieces_at_once);
            if pieces == 0 {
                stream.write_all(&self.encode(left)).await?;
                break;
            }
            stream.write_all(&batch[..pieces * full.len()]).await?;
            left -= pieces * self.piece;
            time::sleep(self.pause).await;
        }
        if self.is_whole && self.announced.is_none() {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }

    /// Sends the request; waits for the response if the request is whole. Returns the connection,
    /// unless the gateway has closed it.
    async fn run(self, address: SocketAddr) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        self.write(&mut stream).await.ok()?;
        if self.is_whole {
            // Fails if the connection was closed without a response.
            stream.read_u8().await.ok()?;
        }
        Some(stream)
    }
}

async fn hold(uploads: impl IntoIterator<Item = Upload>, address: SocketAddr) -> Vec<TcpStream> {
    let mut crowd = JoinSet::new();
    for upload in uploads {
        crowd.spawn(upload.run(address));
    }
    crowd.join_all().await.into_iter().flatten().collect()
}

// Opens connections and sends `bytes` on each.
async fn open(count: usize, bytes: &[u8], address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..count {
        // The gateway may close a connection that is open or that it has not accepted yet.
        if let Ok(mut stream) = TcpStream::connect(address).await
            && stream.write_all(bytes).await.is_ok()
        {
            streams.push(stream);
        }
    }
    streams
}

// A head of legal size without its end.
fn unfinished_head() -> Vec<u8> {
    let filler = "x".repeat(HEAD_BYTES);
    format!("GET /look/ HTTP/1.1\r\nHost: {HOST}\r\nX-Filler: {filler}").into_bytes()
}

// Requests endless streams. Returns when each has begun or its connection was closed.
async fn unread(count: usize, address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for number in 0..count {
        let attempt = format!("unread-{number}");
        let mut call = Call::post("/stream/once/", &attempt, b"p").with_model("m");
        call.headers[0].1 = TIMEOUT_MS.to_string();
        streams.extend(open(1, &call.to_bytes(), address).await);
    }
    for stream in &mut streams {
        // Fails if the connection was closed.
        let _ = stream.read_u8().await;
    }
    streams
}

// Requests as many models that do not exist on one connection. Returns the statuses.
async fn name_models(caller: usize, address: SocketAddr) -> BTreeSet<u16> {
    let mut connection = Connection::open(address).await.unwrap();
    let mut statuses = BTreeSet::new();
    for number in 0..NAMES_PER_CALLER {
        let name = format!("{caller}-{number}-{}", "m".repeat(NAME_BYTES));
        let attempt = format!("named-{caller}-{number}");
        let call = Call::post("/stream/once/", &attempt, b"p").with_model(&name);
        let response = connection.send(&call).await.unwrap();
        statuses.insert(response.status);
    }
    statuses
}

async fn uploads(name: &str, count: usize, upload: Upload) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut gateway = Gateway::start().await;
    let crowd = hold(std::iter::repeat_n(upload, count), gateway.callers).await;
    gateway.check(name).await;
    drop(crowd);
}

// Guards against a process that is ended for the memory of bodies that wait for their runner.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_whole() {
    let upload = Upload::announced(BODY_BYTES, BODY_BYTES);
    uploads("large bodies, whole", CROWD, upload).await;
}

// Guards against the same when all bodies grow at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_piece_by_piece() {
    let upload = Upload {
        piece: 64 << 10,
        pause: Duration::from_millis(5),
        ..Upload::announced(BODY_BYTES, BODY_BYTES)
    };
    uploads("large bodies, piece by piece", CROWD, upload).await;
}

// Guards against incomplete bodies that are held until the deadline of their request.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_that_stop_short() {
    let upload = Upload::announced(BODY_BYTES - MISSING_BYTES, BODY_BYTES);
    uploads("large bodies, stopped short", CROWD, upload).await;
}

// Guards against the same where no length is announced.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_that_stop_short() {
    let upload = Upload::chunked(BODY_BYTES - MISSING_BYTES, 64 << 10);
    uploads("large chunks, stopped short", CROWD, upload).await;
}

// Guards against memory that grows with the number of chunks.
#[tokio::test(flavor = "multi_thread")]
async fn small_chunks_that_stop_short() {
    let upload = Upload::chunked(BODY_BYTES - MISSING_BYTES, 16);
    uploads("small chunks, stopped short", SMALL_CHUNKS_CROWD, upload).await;
}

// Guards against bodies that are read although their announced length is refused.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_over_the_limit_announced() {
    let upload = Upload {
        piece: 64 << 10,
        ..Upload::announced(OVERSIZE_BYTES, OVERSIZE_BYTES)
    };
    uploads("over the limit, announced", CROWD, upload).await;
}

// Guards against bodies that are read on beyond the limit.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_over_the_limit_in_chunks() {
    let upload = Upload {
        is_whole: true,
        ..Upload::chunked(OVERSIZE_BYTES, 64 << 10)
    };
    uploads("over the limit, in chunks", CROWD, upload).await;
}

// Guards against a legal request that takes many times its size, or is refused for its chunks.
#[tokio::test(flavor = "multi_thread")]
async fn one_legal_body_in_chunks_of_one_byte_is_served() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut gateway = Gateway::start().await;
    let upload = Upload {
        is_whole: true,
        ..Upload::chunked(BODY_BYTES, 1)
    };
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    upload.write(&mut stream).await.unwrap();
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
    gateway.check("one body in chunks of one byte").await;
}

// Guards against queues that are counted in chunks, and streams that hold up others.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_do_not_read() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut gateway = Gateway::start().await;
    gateway.engine.set_behaviour(Behaviour::EndlessEvents);
    let crowd = unread(CROWD, gateway.callers).await;
    gateway.check("callers that do not read").await;
    drop(crowd);
}

// Guards against heads in progress that take up all connections and their buffers.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut gateway = Gateway::start().await;
    let head = unfinished_head();
    let crowd = open(MANY, &head, gateway.callers).await;
    gateway.check("heads without end").await;
    drop(crowd);
}

// Guards against connections that do nothing and keep others out.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut gateway = Gateway::start().await;
    let crowd = open(MANY, b"", gateway.callers).await;
    gateway.check("idle connections").await;
    drop(crowd);
}

// Guards against names of models that do not exist, which are counted and reported for good.
#[tokio::test(flavor = "multi_thread")]
async fn names_of_unknown_models() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut gateway = Gateway::start().await;
    let mut crowd = JoinSet::new();
    for caller in 0..NAMING_CALLERS {
        crowd.spawn(name_models(caller, gateway.callers));
    }
    let statuses: BTreeSet<_> = crowd.join_all().await.into_iter().flatten().collect();
    gateway.check("names of unknown models").await;
    assert_eq!(statuses, BTreeSet::from([503]));
}

// Guards against prompts whose parts take many times the bytes that list them.
#[tokio::test(flavor = "multi_thread")]
async fn prompts_of_many_parts() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut gateway = Gateway::start_with(MANY_FILES, LONG_PROCESSING).await;
    let parts = "a:1,".repeat(NAME_BYTES / "a:1,".len());
    let mut crowd = Vec::new();
    for number in 0..PROMPTS {
        let attempt = format!("parts-{number}");
        let mut call = Call::post("/look/", &attempt, b"");
        call.headers[0].1 = TIMEOUT_MS.to_string();
        let call = call.with_header("Almondbank-Prompt-Prefix", &parts);
        crowd.extend(open(1, &call.to_bytes(), gateway.callers).await);
    }
    gateway.settle().await;
    gateway.check_bounds();
    // Until they are answered, they may fill the part of requests, and any other one is refused.
    for stream in &mut crowd {
        let mut status = [0; 12];
        stream.read_exact(&mut status).await.unwrap();
        assert!(matches!(&status, b"HTTP/1.1 200" | b"HTTP/1.1 503"));
    }
    gateway.check("prompts of many parts").await;
    drop(crowd);
}

// Guards against parts that are each within their bounds and together are not.
#[tokio::test(flavor = "multi_thread")]
async fn all_crowds_at_once() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut gateway = Gateway::start().await;
    gateway.engine.set_behaviour(Behaviour::EndlessEvents);
    let kinds = [
        Upload::announced(BODY_BYTES, BODY_BYTES),
        Upload::announced(BODY_BYTES - MISSING_BYTES, BODY_BYTES),
        Upload::chunked(BODY_BYTES - MISSING_BYTES, 64 << 10),
        Upload::chunked(OVERSIZE_BYTES, 64 << 10),
    ];
    let head = unfinished_head();
    let address = gateway.callers;
    let crowds = tokio::join!(
        hold(kinds.into_iter().cycle().take(2 * CROWD), address),
        unread(CROWD, address),
        open(MANY, &head, address),
        open(MANY, b"", address),
    );
    gateway.check("all crowds at once").await;
    drop(crowds);
}
