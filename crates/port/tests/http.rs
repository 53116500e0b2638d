//! Servers that send bytes without end to an HTTP client.

use std::time::{Duration, Instant};

use almondbank_port::http::Client;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RESPONSE: usize = 100_000;

// Sends `head`, and then `filler` until the client closes the connection.
async fn serve(listener: TcpListener, head: String, filler: &'static [u8]) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let head = head.clone();
        tokio::spawn(async move {
            let mut request = [0; 1024];
            if stream.read(&mut request).await.is_ok() {
                let mut sent = stream.write_all(head.as_bytes()).await;
                while sent.is_ok() {
                    sent = stream.write_all(filler).await;
                }
            }
        });
    }
}

// Guards against a client that reads interim responses until its timeout, in answers to
// orders, queries and liveness checks.
#[tokio::test]
async fn bytes_without_end_end_a_call_before_its_timeout() {
    let kinds: [(&str, &'static [u8]); 5] = [
        ("", b"HTTP/1.1 103 E\r\n\r\n"),
        ("", b"HTTP/1.1 100 C\r\na: b\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n", b"x-filler: 0123456789\r\n"),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"1;e=0123456789\r\nx\r\n",
        ),
        ("HTTP/1.1 200 OK\r\n\r\n", b"0123456789"),
    ];
    for (head, filler) in kinds {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, head.to_owned(), filler));
        let client = Client::new().with_max_response(MAX_RESPONSE);
        let request = Request::get(format!("http://{address}/"));
        let request = request.body(Full::<Bytes>::default()).unwrap();
        let started = Instant::now();
        let response = client.call(request, TIMEOUT).await;
        assert!(response.is_err(), "{filler:?}");
        let elapsed = started.elapsed();
        assert!(elapsed < TIMEOUT / 2, "{filler:?}: {elapsed:?}");
    }
}

#[tokio::test]
async fn responses_within_the_limit_are_read_on_one_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {MAX_RESPONSE}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&vec![b'x'; MAX_RESPONSE]).await.unwrap();
        }
    });
    let client = Client::new().with_max_response(MAX_RESPONSE);
    for _ in 0..5 {
        let request = Request::get(format!("http://{address}/"));
        let request = request.body(Full::<Bytes>::default()).unwrap();
        let response = client.call(request, TIMEOUT).await.unwrap();
        assert_eq!(response.body().len(), MAX_RESPONSE);
    }
}
