//! Whole answers, in time, to the right caller, although runners fail.

mod support;

use std::time::{Duration, Instant};

use almondbank_standin::fixture::Model;
use almondbank_standin::runner::Behaviour;
use nix::sys::signal::Signal;
use serde_json::json;
use support::{BOTH_KINDS, Cluster, caller};

const QUICK_IDLE: &str = "idle_ms: 500\n";

fn model() -> Vec<Model> {
    let mut model = Model::new("chatter", 100);
    model.max_replicas = 2;
    vec![model]
}

async fn warm(cluster: &Cluster) {
    let answer = caller()
        .chat(cluster.entry(0), "chatter", "warm", false)
        .await;
    assert_eq!(answer.expect("a whole answer").status, 200);
}

fn misbehaving() -> [(&'static str, Behaviour); 3] {
    let well = Behaviour::default;
    [
        (
            "silent",
            Behaviour {
                silent: true,
                ..well()
            },
        ),
        (
            "cut",
            Behaviour {
                cut_after: Some(2),
                ..well()
            },
        ),
        (
            "crossed",
            Behaviour {
                crossed: true,
                ..well()
            },
        ),
    ]
}

#[tokio::test]
async fn a_misbehaving_runner_gives_a_problem_and_never_a_part() {
    for (name, behaviour) in misbehaving() {
        let cluster = Cluster::start(1, &BOTH_KINDS[..1], QUICK_IDLE);
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
            .expect("a whole answer");
        assert!(answer.status >= 500, "{name}: {}", answer.text());
        assert_eq!(answer.json()["run"], "unknown", "{name}: {}", answer.text());
        assert!(start.elapsed() < Duration::from_secs(10), "{name}");
        // The runner does well again.
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
async fn a_stream_cut_midway_is_seen_as_cut() {
    let cluster = Cluster::start(1, &BOTH_KINDS[..1], QUICK_IDLE);
    cluster.apply(&model()).await;
    warm(&cluster).await;
    let well = Behaviour {
        tokens: 6,
        token_ms: 50,
        ..Behaviour::default()
    };
    let cut = Behaviour {
        cut_after: Some(2),
        ..well.clone()
    };
    // Ends like a whole stream, but without its last event.
    let ended = Behaviour {
        end_after: Some(2),
        ..well
    };
    for behaviour in [cut, ended] {
        cluster.runner_behaviour(0, &behaviour).await;
        let answer = caller()
            .chat(cluster.entry(0), "chatter", "hello", true)
            .await;
        assert!(answer.is_err(), "{answer:?}");
    }
}

#[tokio::test]
async fn many_callers_each_get_their_own_answer() {
    let cluster = Cluster::start(3, &BOTH_KINDS, "");
    cluster.apply(&model()).await;
    let paced = Behaviour {
        token_ms: 2,
        slots: 4,
        ..Behaviour::default()
    };
    for at in 0..2 {
        cluster.runner_behaviour(at, &paced).await;
    }
    let mut tasks = Vec::new();
    for n in 0..200 {
        let entry = cluster.entry(n % 3);
        tasks.push(tokio::spawn(async move {
            let question = format!("question {n}");
            let answer = caller().chat(entry, "chatter", &question, n % 2 == 0).await;
            (question, answer.expect("a whole answer"))
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
async fn the_loss_of_the_only_runner_is_refused_in_time() {
    let mut cluster = Cluster::start(2, &BOTH_KINDS[..1], "");
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
        .expect("a whole answer");
    assert_eq!(refused.json()["run"], "not_run", "{}", refused.text());
    assert!(start.elapsed() < Duration::from_secs(10));
}

// A frozen runner keeps its connections open and its kernel goes on to
// acknowledge what is sent to it.
#[tokio::test]
async fn requests_at_a_frozen_runner_are_answered_by_another() {
    let cluster = Cluster::start(2, &BOTH_KINDS, "");
    let mut model = Model::new("chatter", 100);
    model.rank = 2;
    cluster.apply(&[model]).await;
    warm(&cluster).await;
    let on = usize::from(cluster.count(0).await.loads == 0);
    cluster.runners[on].signal(Signal::SIGSTOP);
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
        .expect("a whole answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(answer.content().starts_with(&format!("runner-{}:", 1 - on)));
    assert!(start.elapsed() < Duration::from_secs(15));
    cluster.runners[on].signal(Signal::SIGCONT);
    cluster.assert_memory().await;
}

#[tokio::test]
async fn a_flood_is_served_or_refused_in_time() {
    let cluster = Cluster::start(2, &BOTH_KINDS[..1], "max_queue: 50\n");
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
                .expect("a whole answer");
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
