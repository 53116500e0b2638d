//! Chat requests under runner failures: every response is complete, in time and
//! sent to the right caller.

mod support;

use std::time::{Duration, Instant};

use almondbank_standin::fixture::Model;
use almondbank_standin::runner::Behaviour;
use nix::sys::signal::Signal;
use serde_json::json;
use support::{Cluster, MIXED_RUNNERS, caller};

/// Settings with a short idle timeout of streams.
const SHORT_IDLE: &str = "idle_ms: 500\n";

fn model() -> Vec<Model> {
    let mut model = Model::new("chatter", 100);
    model.max_replicas = 2;
    vec![model]
}

/// Loads the model, so that a test begins with a ready replica.
async fn warm(cluster: &Cluster) {
    let answer = caller()
        .chat(cluster.entry(0), "chatter", "warm", false)
        .await;
    assert_eq!(answer.expect("a complete response").status, 200);
}

fn faulty() -> [(&'static str, Behaviour); 3] {
    let normal = Behaviour::default;
    [
        (
            "silent",
            Behaviour {
                silent: true,
                ..normal()
            },
        ),
        (
            "cut",
            Behaviour {
                cut_after: Some(2),
                ..normal()
            },
        ),
        (
            "crossed",
            Behaviour {
                crossed: true,
                ..normal()
            },
        ),
    ]
}

#[tokio::test]
async fn a_faulty_runner_yields_a_problem_and_no_partial_response() {
    for (name, behaviour) in faulty() {
        let cluster = Cluster::start(1, &MIXED_RUNNERS[..1], SHORT_IDLE);
        cluster.apply(&model()).await;
        warm(&cluster).await;
        cluster.runner_behaviour(0, &behaviour).await;
        let body = json!({"model": "chatter", "messages": [{"role": "user", "content": "x"}]});
        let start = Instant::now();
        let answer = caller()
            .post(
                cluster.entry(0),
                "/v1/chat/completions",
                &[("x-deadline-ms", "1000")],
                &body,
            )
            .await
            .expect("a complete response");
        assert!(answer.status >= 500, "{name}: {}", answer.text());
        assert_eq!(answer.json()["run"], "unknown", "{name}: {}", answer.text());
        assert!(start.elapsed() < Duration::from_secs(10), "{name}");
        // The runner recovers.
        cluster.runner_behaviour(0, &Behaviour::default()).await;
        support::eventually("the runner is used again", async || {
            let answer = caller()
                .chat(cluster.entry(0), "chatter", "again", false)
                .await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }
}

#[tokio::test]
async fn a_truncated_stream_is_an_error_for_the_caller() {
    let cluster = Cluster::start(1, &MIXED_RUNNERS[..1], SHORT_IDLE);
    cluster.apply(&model()).await;
    warm(&cluster).await;
    let normal = Behaviour {
        tokens: 6,
        token_ms: 50,
        ..Behaviour::default()
    };
    let cut = Behaviour {
        cut_after: Some(2),
        ..normal.clone()
    };
    // Closes the body cleanly, but without the last event.
    let unfinished = Behaviour {
        end_after: Some(2),
        ..normal
    };
    for behaviour in [cut, unfinished] {
        cluster.runner_behaviour(0, &behaviour).await;
        let answer = caller()
            .chat(cluster.entry(0), "chatter", "hello", true)
            .await;
        assert!(answer.is_err(), "{answer:?}");
    }
}

#[tokio::test]
async fn concurrent_callers_each_get_their_own_response() {
    let cluster = Cluster::start(3, &MIXED_RUNNERS, "");
    cluster.apply(&model()).await;
    let slowed = Behaviour {
        token_ms: 2,
        slots: 4,
        ..Behaviour::default()
    };
    for index in 0..2 {
        cluster.runner_behaviour(index, &slowed).await;
    }
    let mut tasks = Vec::new();
    for n in 0..200 {
        let entry = cluster.entry(n % 3);
        tasks.push(tokio::spawn(async move {
            let question = format!("question {n}");
            let answer = caller().chat(entry, "chatter", &question, n % 2 == 0).await;
            (question, answer.expect("a complete response"))
        }));
    }
    for task in tasks {
        let (question, answer) = task.await.expect("the task ends");
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert!(answer.content().ends_with(&format!(" {question} t2 t3")));
    }
    let loads = cluster.loads().await;
    assert!((1..=2).contains(&loads), "{loads}");
}

#[tokio::test]
async fn a_request_is_refused_in_time_when_the_only_runner_is_lost() {
    let mut cluster = Cluster::start(2, &MIXED_RUNNERS[..1], "");
    cluster.apply(&model()).await;
    warm(&cluster).await;
    cluster.runners[0].kill();
    let body = json!({"model": "chatter", "messages": [{"role": "user", "content": "x"}]});
    let start = Instant::now();
    let refused = caller()
        .post(
            cluster.entry(1),
            "/v1/chat/completions",
            &[("x-deadline-ms", "2000")],
            &body,
        )
        .await
        .expect("a complete response");
    assert_eq!(refused.json()["run"], "not_run", "{}", refused.text());
    assert!(start.elapsed() < Duration::from_secs(10));
}

// The connections of a frozen runner stay open and its kernel still acknowledges
// data, so only the missing response shows the failure.
#[tokio::test]
async fn requests_at_a_frozen_runner_are_answered_by_another() {
    let cluster = Cluster::start(2, &MIXED_RUNNERS, "");
    let mut model = Model::new("chatter", 100);
    model.rank = 2;
    cluster.apply(&[model]).await;
    warm(&cluster).await;
    let frozen = usize::from(cluster.count(0).await.loads == 0);
    cluster.runners[frozen].signal(Signal::SIGSTOP);
    let body = json!({"model": "chatter", "messages": [{"role": "user", "content": "hello"}]});
    let start = Instant::now();
    let answer = caller()
        .post(
            cluster.entry(0),
            "/v1/chat/completions",
            &[("x-deadline-ms", "15000")],
            &body,
        )
        .await
        .expect("a complete response");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(
        answer
            .content()
            .starts_with(&format!("runner-{}:", 1 - frozen))
    );
    assert!(start.elapsed() < Duration::from_secs(15));
    cluster.runners[frozen].signal(Signal::SIGCONT);
    cluster.assert_memory().await;
}

#[tokio::test]
async fn every_request_of_an_overload_is_served_or_refused_in_time() {
    let cluster = Cluster::start(2, &MIXED_RUNNERS[..1], "max_queue: 50\n");
    cluster.apply(&model()).await;
    warm(&cluster).await;
    let slow = Behaviour {
        tokens: 4,
        token_ms: 100,
        slots: 16,
        ..Behaviour::default()
    };
    cluster.runner_behaviour(0, &slow).await;
    let body = json!({"model": "chatter", "messages": [{"role": "user", "content": "x"}]});
    let mut tasks = Vec::new();
    for n in 0..300 {
        let entry = cluster.entry(n % 2);
        let body = body.clone();
        tasks.push(tokio::spawn(async move {
            let start = Instant::now();
            let answer = caller()
                .post(
                    entry,
                    "/v1/chat/completions",
                    &[("x-deadline-ms", "2000")],
                    &body,
                )
                .await
                .expect("a complete response");
            (start.elapsed(), answer)
        }));
    }
    let mut served = 0;
    for task in tasks {
        let (elapsed, answer) = task.await.expect("the task ends");
        assert!(elapsed < Duration::from_secs(20), "{elapsed:?}");
        match answer.status {
            200 => served += 1,
            429 | 504 => assert_eq!(answer.json()["run"], "not_run", "{}", answer.text()),
            other => panic!("status {other}: {}", answer.text()),
        }
    }
    assert!(served >= 32, "{served}");
}
