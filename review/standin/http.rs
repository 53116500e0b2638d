//! Reading and writing of HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head of a request or response, and the body of a request.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The three words of the first line.
    pub start: Vec<String>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header by its lower-case name, or the empty text.
    pub fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|(key, _)| key == name);
        header.map_or("", |(_, value)| value)
    }

    /// Path of a request without its query.
    pub fn path(&self) -> &str {
        self.start[1].split('?').next().unwrap_or_default()
    }

    /// Value of a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.start[1].split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(value.replace("%00", "\0"))
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start[1].parse().unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn more(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend(&bytes[..count]);
                Ok(())
            }
        }
    }

    fn fill(&mut self, length: usize) -> io::Result<()> {
        while self.buffer.len() < length {
            self.more()?;
        }
        Ok(())
    }

    fn until(&mut self, mark: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let found = self.buffer.windows(mark.len()).position(|bytes| bytes == mark);
            if let Some(at) = found {
                return Ok(self.buffer.drain(..at + mark.len()).collect());
            }
            self.more()?;
        }
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let head = self.until(b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default();
        let mut start: Vec<_> = first.splitn(3, ' ').map(str::to_owned).collect();
        start.resize(3, String::new());
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Message { start, headers: headers.collect(), body: Vec::new() })
    }

    /// Reads a request with its body.
    pub fn request(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        let length = message.header("content-length").parse().unwrap_or(0);
        self.fill(length)?;
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }

    /// Reads the next chunk of a body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.until(b"\r\n")?;
        let text = String::from_utf8_lossy(&line).trim().to_owned();
        let size = usize::from_str_radix(&text, 16).map_err(io::Error::other)?;
        self.fill(size + 2)?;
        let chunk = self.buffer.drain(..size).collect();
        self.buffer.drain(..2);
        Ok(chunk)
    }

    /// Reads a body with the announced length, or in chunks.
    pub fn body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if !head.header("transfer-encoding").contains("chunked") {
            let length = head.header("content-length").parse().unwrap_or(0);
            self.fill(length)?;
            return Ok(self.buffer.drain(..length).collect());
        }
        let mut body = Vec::new();
        loop {
            let chunk = self.chunk()?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Writes one chunk; an empty one ends the body.
pub fn write_chunk(stream: &mut TcpStream, body: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{body}\r\n", body.len()).as_bytes())
}

/// Sends a GET request and returns the status, if there is one in time.
pub fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let wait = Duration::from_millis(700);
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    Some(Reader::new(stream).head().ok()?.status())
}

/// Whether `stream` was closed by its peer within `time`.
pub fn is_closed_within(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let wait = left.max(Duration::from_millis(1));
        if stream.set_read_timeout(Some(wait)).is_err() {
            return true;
        }
        let result = stream.peek(&mut [0; 1]);
        let _ = stream.set_read_timeout(None);
        match result {
            Ok(0) => return true,
            Ok(_) => {
                std::thread::sleep(left);
                return false;
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return true,
        }
    }
}
