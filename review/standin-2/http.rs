//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub type Headers = Vec<(String, String)>;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode(value))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a Headers, name: &str) -> &'a str {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value)
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let hex: Vec<u8> = rest.by_ref().take(2).collect();
        let hex = String::from_utf8(hex).unwrap_or_default();
        bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
    }
    String::from_utf8(bytes).unwrap_or_default()
}

fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    if reader.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(None);
    }
    if bytes.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8(bytes).map_err(|_| io::ErrorKind::InvalidData)?;
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

fn headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

// Reads a body; the flag tells whether it is complete.
fn body(reader: &mut impl BufRead, headers: &Headers, until_end: bool) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    if find(headers, "transfer-encoding").contains("chunked") {
        loop {
            let Ok(Some(size)) = line(reader) else {
                return (bytes, false);
            };
            let size = size.split(';').next().unwrap_or_default().trim();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return (bytes, false);
            };
            let mut chunk = vec![0; size];
            if reader.read_exact(&mut chunk).is_err() || line(reader).is_err() {
                return (bytes, false);
            }
            if size == 0 {
                return (bytes, true);
            }
            bytes.extend(chunk);
        }
    }
    match find(headers, "content-length").parse::<usize>() {
        Ok(length) => {
            bytes = vec![0; length];
            let is_complete = reader.read_exact(&mut bytes).is_ok();
            (bytes, is_complete)
        }
        Err(_) if until_end => {
            let is_complete = reader.read_to_end(&mut bytes).is_ok();
            (bytes, is_complete)
        }
        Err(_) => (bytes, true),
    }
}

/// Reads a request; `None` if the connection ends before it.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(first) = line(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = headers(reader)?;
    let (body, is_complete) = body(reader, &headers, false);
    if !is_complete {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// A client's connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
    /// Number of responses that were read.
    pub answered: usize,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self {
            reader: BufReader::new(stream),
            answered: 0,
        })
    }

    pub fn send(&mut self, request: &Request) -> io::Result<()> {
        let mut bytes = format!("{} {} HTTP/1.1\r\n", request.method, request.target).into_bytes();
        for (name, value) in &request.headers {
            bytes.extend(format!("{name}: {value}\r\n").bytes());
        }
        bytes.extend(format!("Content-Length: {}\r\n\r\n", request.body.len()).bytes());
        bytes.extend(&request.body);
        self.reader.get_mut().write_all(&bytes)
    }

    pub fn receive(&mut self) -> io::Result<Response> {
        let first = line(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let headers = headers(&mut self.reader)?;
        let (_, is_complete) = body(&mut self.reader, &headers, true);
        self.answered += 1;
        Ok(Response {
            status: status.unwrap_or(0),
            headers,
            is_complete,
        })
    }
}
