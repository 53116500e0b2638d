//! Authorization and malformed input, with the real binaries.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use almondbank_standin::client::Client;
use almondbank_standin::fixture::{self, Model};
use hyper::Method;
use serde_json::json;
use support::{Cluster, MIXED_RUNNERS, caller, operator};

fn models() -> Vec<Model> {
    vec![Model::new("chatter", 100)]
}

/// Sends `bytes` and returns the start of the response; empty if the connection
/// is closed without one.
fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the instance accepts");
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a timeout");
    let _ = stream.write_all(bytes);
    let mut answer = [0; 512];
    // A reset counts as a close; only a timeout is a failure.
    let read = match stream.read(&mut answer) {
        Ok(read) => read,
        Err(error) => {
            let timed_out = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
            assert!(!timed_out, "the connection stays open without a response");
            0
        }
    };
    String::from_utf8_lossy(&answer[..read]).into_owned()
}

#[tokio::test]
async fn only_operators_may_use_the_operator_api() {
    let cluster = Cluster::start(1, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    let entry = cluster.entry(0);
    let base = "/operator/v1";
    let document = json!({"base": 1, "document": cluster.document(&[])});
    let drain = json!({"runner": "runner-0", "draining": true});
    for key in [fixture::CALLER_KEY, "wrong", ""] {
        let client = Client::new(key);
        let posts = [
            (
                format!("{base}/environments/production/document"),
                &document,
            ),
            (format!("{base}/environments/production/drain"), &drain),
            (format!("{base}/leave"), &drain),
        ];
        for (path, body) in posts {
            let answer = client.post(entry, &path, &[], body).await;
            assert_eq!(answer.expect("a complete response").status, 401, "{path}");
        }
        for path in ["/status", "/where", "/environments/production/history"] {
            let answer = client.get(entry, &format!("{base}{path}")).await;
            assert_eq!(answer.expect("a complete response").status, 401, "{path}");
        }
    }
    // The key of an operator is not valid for the callers' API.
    let answer = operator().chat(entry, "chatter", "hello", false).await;
    assert_eq!(answer.expect("a complete response").status, 401);
}

#[tokio::test]
async fn peers_without_the_secret_are_rejected() {
    let cluster = Cluster::start(1, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    let seeds = format!(
        "peer_secret: another-secret-of-length\nseeds: [\"{}\"]\n",
        cluster.daemons[0].address("peers")
    );
    let text = fixture::settings("intruder", "trial", cluster.platform.address("address"), "")
        .replace(&format!("peer_secret: {}\n", fixture::PEER_SECRET), &seeds);
    let path = cluster.file("intruder.yaml", &text);
    let arguments = ["--settings".to_owned(), path];
    let binary = std::path::Path::new(env!("CARGO_BIN_EXE_almondbank"));
    let _intruder = support::Process::start(binary, &arguments);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let status = cluster.status(0).await;
    assert_eq!(status["peers"], json!([]), "{status}");
}

#[tokio::test]
async fn malformed_requests_get_a_problem_and_others_are_served() {
    let cluster = Cluster::start(1, &MIXED_RUNNERS, "max_body_bytes: 10000\n");
    cluster.apply(&models()).await;
    let entry = cluster.entry(0);
    let chat = "/v1/chat/completions";
    let good = json!({"model": "chatter", "messages": []});
    let bodies = [
        ("not JSON", b"{".to_vec(), 400),
        ("not an object", b"[]".to_vec(), 400),
        ("no model", b"{\"messages\": []}".to_vec(), 400),
        (
            "model is not a string",
            b"{\"model\": 1, \"messages\": []}".to_vec(),
            400,
        ),
        ("no messages", b"{\"model\": \"chatter\"}".to_vec(), 400),
        ("not UTF-8", vec![0xff, 0xfe], 400),
        ("too long", vec![b' '; 20_000], 413),
    ];
    for (case, body, status) in bodies {
        let answer = caller().send(entry, Method::POST, chat, &[], body).await;
        let answer = answer.expect("a complete response");
        assert_eq!(answer.status, status, "{case}: {}", answer.text());
        assert_eq!(answer.json()["run"], "not_run", "{case}");
    }
    for deadline in ["0", "-1", "x", "99999999999", ""] {
        let headers = [("x-deadline-ms", deadline)];
        let answer = caller().post(entry, chat, &headers, &good).await;
        assert_eq!(
            answer.expect("a complete response").status,
            400,
            "{deadline:?}"
        );
    }
    let long_key = "k".repeat(300);
    let answer = caller()
        .call(entry, "floorbook/lookup", &long_key, &json!({}))
        .await;
    assert_eq!(answer.expect("a complete response").status, 400);
    for path in ["/", "/v1", "/v2/models", "/v1/services/none/none"] {
        let answer = caller().send(entry, Method::POST, path, &[], "").await;
        let answer = answer.expect("a complete response");
        assert_eq!(answer.status, 404, "{path}: {}", answer.text());
        assert_eq!(answer.json()["code"], "not_found", "{path}");
    }

    let mut many = b"GET /v1/models HTTP/1.1\r\nhost: x\r\n".to_vec();
    for n in 0..200 {
        many.extend_from_slice(format!("x-{n}: y\r\n").as_bytes());
    }
    many.extend_from_slice(b"\r\n");
    assert!(raw(entry, &many).starts_with("HTTP/1.1 4"), "many headers");
    let _ = raw(entry, b"\x00\x01\x02garbage\r\n\r\n");
    let peers = cluster.daemons[0].address("peers");
    let _ = raw(peers, b"GET / HTTP/1.1\r\n\r\n");
    let answer = caller().get(entry, "/v1/models").await;
    assert_eq!(answer.expect("a complete response").status, 200);
}

#[tokio::test]
async fn an_incomplete_request_is_closed_and_others_are_served() {
    let cluster = Cluster::start(1, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    let entry = cluster.entry(0);
    let incomplete = tokio::task::spawn_blocking(move || {
        raw(entry, b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n")
    });
    let answer = caller().get(entry, "/v1/models").await;
    assert_eq!(answer.expect("a complete response").status, 200);
    // The slow client gets an error or no response, but its connection is closed.
    let response = incomplete.await.expect("the connection is closed");
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 4"),
        "{response}"
    );
}

#[tokio::test]
async fn keys_are_not_logged() {
    let cluster = Cluster::start(1, &MIXED_RUNNERS, "");
    let text = fixture::settings(
        "logger",
        "production",
        cluster.platform.address("address"),
        "log: trace\n",
    );
    let path = cluster.file("logger.yaml", &text);
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_almondbank"))
        .args(["--settings", &path])
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let mut output = std::io::BufReader::new(child.stdout.take().expect("piped"));
    let mut line = String::new();
    std::io::BufRead::read_line(&mut output, &mut line).expect("a line");
    let address = line
        .split_whitespace()
        .find_map(|part| part.strip_prefix("callers="))
        .and_then(|text| text.parse().ok())
        .expect("an address");
    let _ = caller().chat(address, "chatter", "hello", false).await;
    let _ = operator().get(address, "/operator/v1/status").await;
    child.kill().expect("the daemon ends");
    child.wait().expect("the daemon ends");
    let mut log = String::new();
    child
        .stderr
        .take()
        .expect("piped")
        .read_to_string(&mut log)
        .expect("a log");
    assert!(!log.is_empty());
    for secret in [
        fixture::CALLER_KEY,
        fixture::OPERATOR_KEY,
        fixture::PEER_SECRET,
    ] {
        assert!(!log.contains(secret));
    }
}
