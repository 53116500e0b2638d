//! A consumer's request for a stream.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::system::HOST;

/// A request, with what it resumes.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub path: String,
    pub attempt: String,
    pub model: String,
    /// Parts of the prompt, the last of which belongs to the request itself.
    pub parts: String,
    pub deadline: Duration,
    /// Last event that the consumer has, and the attempt that brought its first one.
    pub resumes: Option<(u64, String)>,
}

/// What a consumer got of a stream.
#[derive(Debug, Default)]
pub struct Got {
    pub status: u16,
    /// Whole events: the id and the text.
    pub events: Vec<(u64, String)>,
    /// Whether the body ended as complete.
    pub is_complete: bool,
    /// Time after which the consumer is asked to come back.
    pub retry_after: Option<Duration>,
}

/// Sends `call` and returns the connection.
pub fn open(address: SocketAddr, call: &Call) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let mut head = format!(
        "POST {} HTTP/1.1\r\nHost: {HOST}\r\nAlmondbank-Attempt-Id: {}\r\n\
         Almondbank-Deadline-Ms: {}\r\n",
        call.path, call.attempt, call.deadline.as_millis()
    );
    if !call.model.is_empty() {
        head.push_str(&format!(
            "Almondbank-Model: {}\r\nAlmondbank-Token-Usage: 100,60\r\n\
             Almondbank-Prompt-Prefix: {}\r\n",
            call.model, call.parts
        ));
    }
    if let Some((event, first)) = &call.resumes {
        head.push_str(&format!("Last-Event-Id: {event}\r\nResumes: {first}\r\n"));
    }
    let body = format!("prompt of {}", call.attempt);
    head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes())?;
    Ok(stream)
}

/// Sends `call` and reads the stream until it ends or the consumer's time is over.
pub fn send(address: SocketAddr, call: &Call) -> Got {
    let mut got = Got::default();
    let end = Instant::now() + call.deadline;
    if let Ok(stream) = open(address, call) {
        let _ = stream.set_read_timeout(Some(call.deadline));
        // Fails if the stream breaks off; what came before counts.
        let _ = read(stream, end, &mut got);
    }
    got
}

fn read(stream: TcpStream, end: Instant, got: &mut Got) -> io::Result<()> {
    let mut reader = Reader::new(stream);
    let head = reader.head()?;
    got.status = head.status();
    let seconds = head.header("retry-after").parse().ok();
    got.retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    if got.status != 200 {
        reader.body(&head)?;
        got.is_complete = true;
        return Ok(());
    }
    let mut text = String::new();
    while Instant::now() < end {
        let chunk = reader.chunk()?;
        if chunk.is_empty() {
            got.is_complete = true;
            return Ok(());
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(at) = text.find("\n\n") {
            let event: String = text.drain(..at + 2).collect();
            got.events.extend(event_of(&event));
        }
    }
    Ok(())
}

fn event_of(event: &str) -> Option<(u64, String)> {
    let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
    let id = field("id: ")?.parse().ok()?;
    Some((id, field("data: ")?.to_owned()))
}
