//! Calls that may not be repeated, under failures, with the real binaries.

mod support;

use std::time::Duration;

use almondbank_standin::client::{Client, Response};
use almondbank_standin::fixture::Model;
use almondbank_standin::platform::Faults;
use almondbank_standin::service::Behaviour;
use nix::sys::signal::Signal;
use serde_json::json;
use support::{Cluster, MIXED_RUNNERS, booking, caller, eventually};

fn models() -> Vec<Model> {
    vec![Model::new("chatter", 100)]
}

async fn book(cluster: &Cluster, index: usize, key: &str) -> Response {
    caller()
        .call(cluster.entry(index), "floorbook/book", key, &booking())
        .await
        .expect("a complete response")
}

async fn book_within(cluster: &Cluster, index: usize, key: &str, deadline_ms: u64) -> Response {
    let deadline = deadline_ms.to_string();
    let headers = [("idempotency-key", key), ("x-deadline-ms", &deadline)];
    let path = "/v1/services/floorbook/book";
    caller()
        .post(cluster.entry(index), path, &headers, &booking())
        .await
        .expect("a complete response")
}

async fn slow_service(cluster: &Cluster, delay_ms: u64) {
    let slow = Behaviour {
        delay_ms,
        ..Behaviour::default()
    };
    cluster.service_behaviour(&slow).await;
}

#[tokio::test]
async fn concurrent_retries_at_all_instances_run_once() {
    let cluster = Cluster::start(3, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    slow_service(&cluster, 300).await;
    let ticketed = format!("{}/k", cluster.ticket(1).await);
    for key in [ticketed.as_str(), "plain"] {
        let (a, b, c) = tokio::join!(
            book(&cluster, 0, key),
            book(&cluster, 1, key),
            book(&cluster, 2, key)
        );
        for answer in [a, b, c] {
            assert_eq!(answer.status, 200, "{key}: {}", answer.text());
            assert_eq!(answer.json()["run"], 1);
        }
        assert_eq!(cluster.runs(key).await, 1);
    }
}

#[tokio::test]
async fn an_instance_killed_during_a_call_leaves_its_outcome_unknown() {
    for plain in [false, true] {
        let mut cluster = Cluster::start(3, &MIXED_RUNNERS, "");
        cluster.apply(&models()).await;
        slow_service(&cluster, 1000).await;
        let key = if plain {
            "plain".to_owned()
        } else {
            format!("{}/k", cluster.ticket(1).await)
        };
        let entry = cluster.entry(1);
        let sent = key.clone();
        let call = tokio::spawn(async move {
            caller()
                .call(entry, "floorbook/book", &sent, &booking())
                .await
        });
        eventually("the call runs", async || cluster.runs(&key).await == 1).await;
        cluster.daemons[1].kill();
        assert!(call.await.expect("the task ends").is_err());
        for index in [0, 2] {
            let answer = book_within(&cluster, index, &key, 1500).await;
            assert_eq!(answer.json()["run"], "unknown", "{}", answer.text());
        }
        // A new process of the same instance does not run the call either.
        cluster.daemons[1] = cluster.start_daemon(1, "");
        eventually("the instance serves again", async || {
            let answer = caller().get(cluster.entry(1), "/v1/models").await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
        let answer = book_within(&cluster, 1, &key, 1500).await;
        assert_eq!(answer.json()["run"], "unknown", "{}", answer.text());
        assert_eq!(cluster.runs(&key).await, 1);
    }
}

#[tokio::test]
async fn a_call_is_not_run_elsewhere_after_its_instance_was_killed() {
    let mut cluster = Cluster::start(3, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    let before = format!("{}/before", cluster.ticket(1).await);
    let after = format!("{}/after", cluster.ticket(1).await);
    assert_eq!(book(&cluster, 1, &after).await.status, 200);
    assert_eq!(book(&cluster, 1, "plain").await.status, 200);
    cluster.daemons[1].kill();
    for index in [0, 2] {
        for key in [&before, &after] {
            let answer = book(&cluster, index, key).await;
            assert_eq!(answer.json()["run"], "unknown", "{}", answer.text());
        }
        // The claim row holds the answer.
        let stored = book(&cluster, index, "plain").await;
        assert_eq!(
            (stored.status, stored.json()["run"].clone()),
            (200, json!(1))
        );
    }
    assert_eq!(cluster.runs(&before).await, 0);
    assert_eq!(cluster.runs(&after).await, 1);
    assert_eq!(cluster.runs("plain").await, 1);
}

#[tokio::test]
async fn a_service_that_does_not_answer_leaves_the_outcome_unknown() {
    let cluster = Cluster::start(2, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    for (name, behaviour) in [
        (
            "silent",
            Behaviour {
                silent: true,
                ..Behaviour::default()
            },
        ),
        (
            "cut",
            Behaviour {
                cut: true,
                ..Behaviour::default()
            },
        ),
    ] {
        cluster.service_behaviour(&behaviour).await;
        let key = format!("{}/{name}", cluster.ticket(0).await);
        for index in [0, 1] {
            let answer = book_within(&cluster, index, &key, 800).await;
            assert_eq!(answer.json()["run"], "unknown", "{}", answer.text());
        }
        assert_eq!(cluster.runs(&key).await, 1);
    }
}

// With two back ends, a retry after the connection was cut would run the call a
// second time.
#[tokio::test]
async fn a_call_that_was_sent_is_not_retried_at_another_back_end() {
    let cluster = Cluster::start(1, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    let second = support::Process::start(&support::example("standin"), &["service".to_owned()]);
    let addresses = [
        cluster.service.address("address"),
        second.address("address"),
    ];
    let one = format!("[\"{}\"]", addresses[0]);
    let both = format!("[\"{}\", \"{}\"]", addresses[0], addresses[1]);
    let document = cluster.document(&models()).replace(&one, &both);
    let path = cluster.file("both.yaml", &document);
    assert!(
        cluster
            .ctl(0, &["apply", &path, "--base", "1"])
            .status
            .success()
    );
    let cut = Behaviour {
        cut: true,
        ..Behaviour::default()
    };
    for address in addresses {
        support::control(address, "/behaviour", &cut).await;
    }
    let ticket = cluster.ticket(0).await;
    for n in 0..8 {
        let key = format!("{ticket}/{n}");
        let answer = book(&cluster, 0, &key).await;
        assert_eq!(answer.json()["run"], "unknown", "{}", answer.text());
        let mut runs = 0;
        for address in addresses {
            let counted = caller().get(address, "/runs").await;
            let counted = counted.expect("the service returns its counters").json();
            runs += counted[&key].as_u64().unwrap_or(0);
        }
        assert_eq!(runs, 1, "{key}");
    }
}

#[tokio::test]
async fn a_late_answer_is_returned_to_a_retry() {
    let cluster = Cluster::start(2, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    slow_service(&cluster, 1000).await;
    let key = format!("{}/late", cluster.ticket(0).await);
    let early = book_within(&cluster, 0, &key, 200).await;
    assert_eq!(early.json()["run"], "unknown");
    let late = book(&cluster, 1, &key).await;
    assert_eq!((late.status, late.json()["run"].clone()), (200, json!(1)));
    assert_eq!(cluster.runs(&key).await, 1);
}

#[tokio::test]
async fn a_call_is_not_run_when_no_back_end_can_be_reached() {
    let mut cluster = Cluster::start(2, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    let ticketed = format!("{}/k", cluster.ticket(0).await);
    cluster.service.kill();
    for key in [ticketed.as_str(), "plain"] {
        let answer = book(&cluster, 0, key).await;
        assert_eq!(answer.json()["code"], "unreachable", "{}", answer.text());
        assert_eq!(answer.json()["run"], "not_run");
    }
}

#[tokio::test]
async fn calls_with_a_ticket_succeed_while_the_table_is_down() {
    let cluster = Cluster::start(2, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    cluster.faults(&down).await;
    let key = format!("{}/k", cluster.ticket(0).await);
    for index in [0, 1] {
        assert_eq!(book(&cluster, index, &key).await.status, 200);
    }
    let refused = book_within(&cluster, 0, "plain", 500).await;
    assert_eq!(refused.json()["code"], "table_down");
    assert_eq!(refused.json()["run"], "not_run");
    assert_eq!(cluster.runs("plain").await, 0);
    cluster.faults(&Faults::default()).await;
    assert_eq!(book(&cluster, 0, "plain").await.status, 200);
    assert_eq!(cluster.runs("plain").await, 1);
}

#[tokio::test]
async fn a_call_runs_once_when_the_response_to_its_claim_is_lost() {
    let cluster = Cluster::start(2, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    for index in 0..6 {
        let lossy = Faults {
            lose_answers: 1,
            ..Faults::default()
        };
        cluster.faults(&lossy).await;
        let key = format!("plain-{index}");
        for instance in [0, 1] {
            let answer = book(&cluster, instance, &key).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        assert_eq!(cluster.runs(&key).await, 1);
    }
}

#[tokio::test]
async fn an_instance_that_resumes_does_not_run_a_call_twice() {
    let cluster = Cluster::start(2, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    let key = format!("{}/k", cluster.ticket(0).await);
    cluster.daemons[0].signal(Signal::SIGSTOP);
    let answer = book_within(&cluster, 1, &key, 1000).await;
    assert_eq!(answer.json()["run"], "unknown", "{}", answer.text());
    cluster.daemons[0].signal(Signal::SIGCONT);
    eventually("the instance answers again", async || {
        book(&cluster, 1, &key).await.status == 200
    })
    .await;
    assert_eq!(cluster.runs(&key).await, 1);
}

#[tokio::test]
async fn an_expired_ticket_is_refused_as_not_run() {
    let cluster = Cluster::start(1, &MIXED_RUNNERS, "key_ttl_ms: 300\n");
    cluster.apply(&models()).await;
    let key = format!("{}/k", cluster.ticket(0).await);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let answer = book(&cluster, 0, &key).await;
    assert_eq!(answer.json()["code"], "ticket_expired");
    assert_eq!(answer.json()["run"], "not_run");
    assert_eq!(cluster.runs(&key).await, 0);
}

#[tokio::test]
async fn sigterm_cuts_no_stream_and_no_booking() {
    let mut cluster = Cluster::start(3, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    let warm = caller()
        .chat(cluster.entry(0), "chatter", "warm", false)
        .await;
    assert_eq!(warm.expect("a complete response").status, 200);
    let slow = almondbank_standin::runner::Behaviour {
        tokens: 30,
        token_ms: 200,
        ..Default::default()
    };
    cluster.runner_behaviour(0, &slow).await;
    cluster.runner_behaviour(1, &slow).await;
    slow_service(&cluster, 5000).await;
    let leader = cluster.leader().await.expect("there is a leader");
    let entry = cluster.entry(leader);
    let key = format!("{}/k", cluster.ticket(leader).await);
    let stream = tokio::spawn(async move { caller().chat(entry, "chatter", "long", true).await });
    let booked = {
        let key = key.clone();
        tokio::spawn(async move {
            caller()
                .call(entry, "floorbook/book", &key, &booking())
                .await
        })
    };
    eventually("the booking runs", async || cluster.runs(&key).await == 1).await;
    cluster.daemons[leader].signal(Signal::SIGTERM);
    eventually("another instance is the leader", async || {
        cluster.leader().await.is_some_and(|now| now != leader)
    })
    .await;
    let stream = stream
        .await
        .expect("the task ends")
        .expect("a complete response");
    assert!(stream.text().trim_end().ends_with("data: [DONE]"));
    assert!(stream.content().ends_with("t28 t29"));
    let booked = booked
        .await
        .expect("the task ends")
        .expect("a complete response");
    assert_eq!(
        (booked.status, booked.json()["run"].clone()),
        (200, json!(1))
    );
    assert!(cluster.daemons[leader].wait());
}

#[tokio::test]
async fn repeatable_calls_need_a_grant_but_no_key() {
    let cluster = Cluster::start(1, &MIXED_RUNNERS, "");
    cluster.apply(&models()).await;
    let answer = caller()
        .call(
            cluster.entry(0),
            "floorbook/lookup",
            "",
            &json!({"dancer": 7}),
        )
        .await
        .expect("a complete response");
    assert_eq!(answer.status, 200, "{}", answer.text());
    let ungranted = Client::new(almondbank_standin::fixture::UNGRANTED_KEY)
        .call(cluster.entry(0), "floorbook/lookup", "", &json!({}))
        .await
        .expect("a complete response");
    assert_eq!(ungranted.json()["code"], "not_granted");
}
