//! End-to-end requests through the real binaries as separate processes.

mod support;

use almondbank_standin::client::Client;
use almondbank_standin::fixture::{self, Model};
use serde_json::{Value, json};
use support::{Cluster, MIXED_RUNNERS, booking, caller};

fn models() -> Vec<Model> {
    let mut matcher = Model::new("matcher", 300);
    matcher.adapters = vec!["tango".to_owned()];
    vec![matcher, Model::new("chatter", 300)]
}

fn problem(code: &str, title: &str, status: u16, run: &str, detail: &str) -> Value {
    json!({
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
        "code": code,
        "run": run,
    })
}

#[tokio::test]
async fn every_kind_of_chat_request_gets_a_complete_response() {
    let cluster = Cluster::start(3, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;

    // A cold start, a warm request, and a stream from another instance.
    for (index, stream) in [(0, false), (0, false), (1, true)] {
        let answer = caller()
            .chat(cluster.entry(index), "chatter", "hello", stream)
            .await
            .expect("a complete response");
        assert_eq!(answer.status, 200, "{}", answer.text());
        let (runner, rest) = answer.content().split_once(':').map_or_else(
            || panic!("no runner in {}", answer.text()),
            |(runner, rest)| (runner.to_owned(), rest.to_owned()),
        );
        assert!(runner.starts_with("runner-"), "{runner}");
        assert_eq!(rest, " hello t2 t3");
        assert_eq!(stream, answer.text().trim_end().ends_with("data: [DONE]"));
    }
    assert_eq!(cluster.loads().await, 1);

    let adapted = caller()
        .chat(cluster.entry(2), "tango", "step", false)
        .await
        .expect("a complete response");
    assert_eq!(adapted.status, 200, "{}", adapted.text());
    assert_eq!(adapted.json()["model"], "tango@v1");

    let pinned = caller()
        .chat(cluster.entry(2), "chatter@v2", "pinned", false)
        .await
        .expect("a complete response");
    assert_eq!(pinned.json()["model"], "chatter@v2");
    cluster.assert_memory().await;
}

#[tokio::test]
async fn a_booking_runs_once_and_every_retry_gets_its_answer() {
    let cluster = Cluster::start(3, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    let key = format!("{}/booking-1", cluster.ticket(0).await);
    let expected = json!({
        "path": "/floorbook/book",
        "key": key,
        "run": 1,
        "body": booking().to_string(),
    });
    for index in [0, 1, 2] {
        let answer = caller()
            .call(cluster.entry(index), "floorbook/book", &key, &booking())
            .await
            .expect("a complete response");
        assert_eq!((answer.status, answer.json()), (200, expected.clone()));
    }
    assert_eq!(cluster.runs(&key).await, 1);

    // A key without a ticket is claimed in the table.
    for index in [0, 1, 2] {
        let answer = caller()
            .call(
                cluster.entry(index),
                "floorbook/book",
                "own-key",
                &booking(),
            )
            .await
            .expect("a complete response");
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.json()["run"], 1);
    }
    assert_eq!(cluster.runs("own-key").await, 1);

    let other = caller()
        .call(
            cluster.entry(0),
            "floorbook/book",
            &key,
            &json!({"slot": "19:00"}),
        )
        .await
        .expect("a complete response");
    assert_eq!(
        other.json(),
        problem(
            "key_reused",
            "key reused",
            422,
            "not_run",
            "the key was used with another body",
        )
    );
    let missing = caller()
        .call(cluster.entry(0), "floorbook/book", "", &booking())
        .await
        .expect("a complete response");
    assert_eq!(missing.json()["code"], "key_missing");
}

#[tokio::test]
async fn refusals_carry_a_code_and_detail() {
    let cluster = Cluster::start(1, &MIXED_RUNNERS, "");
    let entry = cluster.entry(0);
    let early = caller()
        .chat(entry, "chatter", "hello", false)
        .await
        .expect("a complete response");
    assert_eq!(
        (early.status, early.json()["code"].clone()),
        (503, json!("no_document"))
    );
    cluster.apply(&models()).await;

    let wrong_key = Client::new("wrong")
        .chat(entry, "chatter", "hello", false)
        .await
        .expect("a complete response");
    assert_eq!(
        (wrong_key.status, wrong_key.json()),
        (
            401,
            problem(
                "unknown_key",
                "unknown key",
                401,
                "not_run",
                "the bearer key is not known",
            )
        )
    );
    let unknown = caller()
        .chat(entry, "missing", "hello", false)
        .await
        .expect("a complete response");
    assert_eq!(
        (unknown.status, unknown.json()),
        (
            404,
            problem(
                "not_found",
                "not found",
                404,
                "not_run",
                "/model: no model \"missing\" is served",
            )
        )
    );
    let ungranted = Client::new(fixture::UNGRANTED_KEY)
        .chat(entry, "chatter", "hello", false)
        .await
        .expect("a complete response");
    assert_eq!(ungranted.json()["code"], "not_granted");
}

#[tokio::test]
async fn operators_change_and_read_documents_with_the_command_line() {
    let cluster = Cluster::start(2, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    let text = cluster.document(&models());
    let same = cluster.file("same.yaml", &text);
    let code = |arguments: &[&str]| cluster.ctl(1, arguments).status.code();
    assert_eq!(code(&["diff", &same]), Some(0));
    assert_eq!(code(&["check", &same]), Some(0));

    let changed = cluster.file("changed.yaml", &cluster.document(&models()[1..]));
    assert_eq!(code(&["diff", &changed]), Some(6));
    assert_eq!(code(&["apply", &changed, "--base", "0"]), Some(4));
    assert_eq!(code(&["apply", &changed, "--base", "1"]), Some(0));
    assert_eq!(code(&["apply", &changed, "--base", "1"]), Some(0));
    assert_eq!(code(&["apply", &same, "--base", "1"]), Some(4));

    let broken = cluster.file("broken.yaml", "environment: production\nmodles: []\n");
    assert_eq!(code(&["check", &broken]), Some(3));
    assert_eq!(code(&["apply", &broken, "--base", "2"]), Some(3));
    assert_eq!(code(&["frobnicate"]), Some(2));
    assert_eq!(code(&["get"]), Some(2));

    let history = cluster.ctl(0, &["history", "--environment", "production", "--json"]);
    let entries: Vec<Value> = serde_json::from_slice(&history.stdout).expect("JSON");
    let applied: Vec<_> = entries
        .iter()
        .filter(|entry| entry["action"] == "apply")
        .map(|entry| {
            (
                entry["actor"].clone(),
                entry["from"].clone(),
                entry["to"].clone(),
            )
        })
        .collect();
    assert_eq!(
        applied,
        [
            (json!("olga"), json!(0), json!(1)),
            (json!("olga"), json!(1), json!(2)),
        ]
    );

    let promoted = cluster.ctl(
        0,
        &[
            "promote",
            "--from",
            "production",
            "--revision",
            "2",
            "--base",
            "0",
            "--environment",
            "trial",
        ],
    );
    assert!(promoted.status.success(), "{promoted:?}");
    let got = cluster.ctl(0, &["get", "--environment", "trial"]);
    let text = String::from_utf8_lossy(&got.stdout).into_owned();
    assert!(text.contains("environment: trial"), "{text}");

    for command in ["status", "where"] {
        assert_eq!(code(&[command]), Some(0));
    }
}
