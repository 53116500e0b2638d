//! What waits in the kernel at the sockets of a gateway process counts toward its memory limit.
//!
//! Each test holds a crowd open against the real binary, and samples the resident memory of the
//! process together with the bytes that wait at its sockets.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use almondbank_emulator::caller::{self, Call};
use almondbank_emulator::document::{self, DESK, ENGINES, HOST};
use almondbank_emulator::runner::{Behaviour, Config, Runner};
use almondbank_emulator::store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time;

const MEMORY_MB: usize = 120;
const MEMORY: usize = MEMORY_MB * 1_000_000;
const MAX_FILES: usize = 4_000;
/// Callers that pipeline uploads, more than the process admits at once.
const UPLOADING: usize = 900;
const UPLOAD_BYTES: usize = 200_000;
const UPLOADS_PER_CALLER: usize = 4;
/// Callers that request endless streams and read nothing.
const UNREAD_STREAMS: usize = 40;
/// Most bytes that wait at the connection of a stream that its caller does not read: one segment
/// of the largest size beyond each buffer.
const MAX_UNSENT: usize = 112 << 10;
const MAX_UNREAD_OF_RUNNER: usize = 80 << 10;
const MAX_UNSENT_TO_RUNNER: usize = 80 << 10;
/// Callers whose requests a runner does not read.
const UNREAD_UPLOADS: usize = 80;
/// Buffers of the crowd, in bytes, so that the machine holds little for it.
const CROWD_BUFFER: u32 = 8 << 10;
const SAMPLING_TIME: Duration = Duration::from_secs(5);
const SAMPLING_INTERVAL: Duration = Duration::from_millis(40);
const PROCESSING_TIME: Duration = Duration::from_secs(3);
const TIMEOUT_MS: u64 = 60_000;

// A crowd beside another one would take the processor and the ports of the other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A gateway process with its store and two runners.
struct Gateway {
    child: Child,
    callers: SocketAddr,
    directory: PathBuf,
    engine: Runner,
    desk: Runner,
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
    async fn start(number: u8) -> Self {
        let store = Store::start().await.unwrap();
        let mut document = document::desired(1, &["m"]);
        document["limits"]["maxBodyBytes"] = (4 << 20).into();
        for route in document["routes"].as_array_mut().unwrap() {
            route["timeoutMs"] = TIMEOUT_MS.into();
        }
        store.put("op", "config", document.to_string().as_bytes());
        let mut desk = Config::plain("desk-1", DESK);
        desk.processing_time = PROCESSING_TIME;
        desk.slots = 2_000;
        desk.receive_buffer = Some(CROWD_BUFFER);
        let desk = Runner::start(desk, &store).await.unwrap();
        let engine = Config::engine("engine-1", ENGINES, &["m"]);
        let engine = Runner::start(engine, &store).await.unwrap();
        let process = std::process::id().to_le_bytes();
        let host = Ipv4Addr::new(127, 100 + process[1] % 100, process[0], number);
        let name = format!("almondbank-kernel-memory-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        let child = spawn(&directory, host, store.address());
        let gateway = Self {
            child,
            callers: SocketAddr::from((host, 7001)),
            directory,
            engine,
            desk,
            _store: store,
        };
        let serving = async {
            while !gateway.serves().await {
                time::sleep(Duration::from_millis(200)).await;
            }
        };
        time::timeout(Duration::from_mins(1), serving)
            .await
            .expect("the gateway should serve");
        gateway
    }

    async fn serves(&self) -> bool {
        let mut call = Call::post("/look/", "ordinary", &[b'b'; 1024]);
        call.headers[0].1 = TIMEOUT_MS.to_string();
        let response = caller::send(self.callers, &call).await;
        response.is_ok_and(|response| response.status == 200 && response.is_complete)
    }

    /// Samples until the time is over or the process is over its limit.
    async fn sample(&self) -> Sample {
        let began = Instant::now();
        let mut most = Sample::default();
        while began.elapsed() < SAMPLING_TIME && most.total() < MEMORY {
            let sample = self.sample_once();
            if sample.total() > most.total() {
                most = sample;
            }
            time::sleep(SAMPLING_INTERVAL).await;
        }
        println!("{most:?}");
        most
    }

    fn sample_once(&self) -> Sample {
        let path = format!("/proc/{}", self.child.id());
        let status = std::fs::read_to_string(format!("{path}/status")).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let line = line.expect("the process should be alive");
        let resident: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
        let files = std::fs::read_dir(format!("{path}/fd")).unwrap();
        let sockets: BTreeSet<_> = files
            .filter_map(|file| std::fs::read_link(file.ok()?.path()).ok())
            .filter_map(|target| {
                let inode = target.to_str()?.strip_prefix("socket:[")?;
                Some(inode.strip_suffix(']')?.to_owned())
            })
            .collect();
        let mut sample = Sample {
            resident: resident << 10,
            ..Sample::default()
        };
        let callers = end(self.callers);
        let runner = end(self.engine.address());
        let desk = end(self.desk.address());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        for line in table.lines().skip(1) {
            let fields: Vec<_> = line.split_whitespace().collect();
            let is_listener = fields[3] == "0A";
            // Connections that wait to be accepted have no file yet.
            let is_waiting = fields[1] == callers && fields[9] == "0";
            if is_listener || !(is_waiting || sockets.contains(fields[9])) {
                continue;
            }
            let (unsent, unread) = fields[4].split_once(':').unwrap();
            let unread = usize::from_str_radix(unread, 16).unwrap();
            sample.unread += unread;
            let unsent = usize::from_str_radix(unsent, 16).unwrap();
            sample.unsent += unsent;
            if fields[2] == desk {
                sample.unsent_to_runner += unsent;
            }
            if fields[2] == runner {
                sample.unread_of_runner += unread;
            }
        }
        sample
    }
}

/// Memory at one moment, in bytes.
#[derive(Debug, Default)]
struct Sample {
    resident: usize,
    /// Received and not read.
    unread: usize,
    /// The part of it that a runner has sent.
    unread_of_runner: usize,
    /// Written and not acknowledged.
    unsent: usize,
    /// The part of it that a runner has not received.
    unsent_to_runner: usize,
}

impl Sample {
    fn total(&self) -> usize {
        self.resident + self.unread + self.unsent
    }
}

// An address as in the tables of the kernel.
fn end(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("an IPv4 address");
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

fn spawn(directory: &std::path::Path, host: Ipv4Addr, store: SocketAddr) -> Child {
    let settings = directory.join("entry.yaml");
    let text = format!(
        "instance: entry-1\ndata_centre: one\ncallers_listen: {host}:7001\n\
         ready_listen: {host}:7002\npeers_listen: {host}:7003\n\
         directory_listen: {host}:7004\nmetrics_listen: {host}:7005\nstore: {store}\n\
         seeds: []\nmax_files: {MAX_FILES}\nmemory_mb: {MEMORY_MB}\nchecks_fencing: true\n"
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

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(CROWD_BUFFER)?;
    socket.set_send_buffer_size(CROWD_BUFFER)?;
    socket.connect(address).await
}

// Writes the uploads and reads nothing, until the gateway closes the connection.
async fn pipeline(number: usize, address: SocketAddr) -> std::io::Result<()> {
    let mut stream = connect(address).await?;
    let body = vec![b'a'; UPLOAD_BYTES];
    for upload in 0..UPLOADS_PER_CALLER {
        let head = format!(
            "POST /look/ HTTP/1.1\r\nHost: {HOST}\r\n\
             Almondbank-Attempt-Id: crowd-{number}-{upload}\r\n\
             Almondbank-Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&body).await?;
    }
    // Holds the connection open.
    time::sleep(2 * SAMPLING_TIME).await;
    Ok(())
}

// Requests endless streams, and waits until each has begun or its connection was closed.
async fn unread(address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for number in 0..UNREAD_STREAMS {
        let attempt = format!("unread-{number}");
        let mut call = Call::post("/stream/once/", &attempt, b"p").with_model("m");
        call.headers[0].1 = TIMEOUT_MS.to_string();
        let mut stream = connect(address).await.unwrap();
        stream.write_all(&call.to_bytes()).await.unwrap();
        // Fails if the connection was closed.
        let _ = stream.read_u8().await;
        streams.push(stream);
    }
    streams
}

// Guards against what callers send while their earlier requests are served, which the kernel
// keeps for each connection.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_uploads_stay_within_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let gateway = Gateway::start(1).await;
    let mut crowd = JoinSet::new();
    for number in 0..UPLOADING {
        crowd.spawn(pipeline(number, gateway.callers));
    }
    let most = gateway.sample().await;
    assert!(most.total() < MEMORY, "{most:?}");
    crowd.shutdown().await;
}

// Guards against send buffers and buffers of connections to runners that grow to megabytes each.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_nobody_reads_stay_within_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let gateway = Gateway::start(2).await;
    gateway.engine.set_behaviour(Behaviour::EndlessEvents);
    let crowd = unread(gateway.callers).await;
    let most = gateway.sample().await;
    assert!(most.total() < MEMORY, "{most:?}");
    assert!(most.unsent <= UNREAD_STREAMS * MAX_UNSENT, "{most:?}");
    let unread = most.unread_of_runner;
    assert!(unread <= UNREAD_STREAMS * MAX_UNREAD_OF_RUNNER, "{most:?}");
    drop(crowd);
}

// Guards against bodies that are copied into the kernel as a whole while a runner does not read.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_a_runner_does_not_read_stay_within_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let gateway = Gateway::start(3).await;
    let behaviour = Behaviour::StopReading { bytes: 0 };
    gateway.desk.set_behaviour(behaviour);
    let mut crowd = JoinSet::new();
    for number in 0..UNREAD_UPLOADS {
        crowd.spawn(pipeline(number, gateway.callers));
    }
    let most = gateway.sample().await;
    assert!(most.total() < MEMORY, "{most:?}");
    let stalled = gateway.desk.record().stalled.len();
    assert!(stalled >= UNREAD_UPLOADS, "{stalled}");
    let unsent = most.unsent_to_runner;
    assert!(unsent <= stalled * MAX_UNSENT_TO_RUNNER, "{most:?}");
    crowd.shutdown().await;
}
