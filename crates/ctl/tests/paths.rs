//! Paths of the requests that commands send.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::Command;
use std::thread;

// Runs a command against a server that reads one request line, and returns the line.
fn request_line(arguments: &[&str]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let entry = listener.local_addr().expect("an address").to_string();
    let server = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        let mut line = String::new();
        let read = BufReader::new(stream).read_line(&mut line);
        read.expect("a request line");
        line
    });
    let mut command = Command::new(env!("CARGO_BIN_EXE_almondbankctl"));
    let command = command.args(arguments).args(["--entry", &entry]);
    let output = command.output().expect("almondbankctl can be started");
    assert_ne!(output.status.code(), Some(2), "{arguments:?}: {output:?}");
    server.join().expect("the server ends")
}

#[test]
fn names_of_environments_do_not_change_the_path() {
    for (name, segment) in [
        ("main", "main"),
        ("a-b_c.d~1", "a-b_c.d~1"),
        ("a/b", "a%2Fb"),
        ("a?b=c&d", "a%3Fb%3Dc%26d"),
        ("a#b", "a%23b"),
        ("a b", "a%20b"),
        ("a%41", "a%2541"),
        ("ü\n", "%C3%BC%0A"),
    ] {
        let option = ["--environment", name];
        for (arguments, rest) in [
            (&["history"][..], "history"),
            (&["drain", "r"], "drain"),
            (&["get", "--revision", "3"], "document?revision=3"),
        ] {
            let line = request_line(&[arguments, &option].concat());
            let path = format!(" /operator/v1/environments/{segment}/{rest} HTTP/1.1\r\n");
            assert!(line.ends_with(&path), "{name:?}: {line}");
        }
    }
}
