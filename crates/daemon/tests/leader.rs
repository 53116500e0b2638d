//! Failures of the leader and of runners, with the real binaries.

mod support;

use std::time::{Duration, Instant};

use almondbank_standin::fixture::Model;
use almondbank_standin::platform::Faults;
use almondbank_standin::runner::Behaviour;
use nix::sys::signal::Signal;
use serde_json::json;
use support::{Cluster, MIXED_RUNNERS, Spec, caller, eventually};

const LEASE: &str = "lease_ms: 2000\n";

fn models(count: usize) -> Vec<Model> {
    (0..count)
        .map(|index| {
            let mut model = Model::new(format!("model-{index}"), 300);
            model.adapters = vec![format!("adapter-{index}")];
            model
        })
        .collect()
}

fn other_than(leader: usize) -> usize {
    usize::from(leader == 0)
}

async fn leader_of(cluster: &Cluster) -> usize {
    cluster.leader().await.expect("there is a leader")
}

async fn assert_answered(cluster: &Cluster, index: usize, model: &str) {
    let answer = caller()
        .chat(cluster.entry(index), model, "hello", false)
        .await
        .expect("a complete response");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(answer.content().ends_with(" hello t2 t3"));
}

#[tokio::test]
async fn a_killed_leader_is_replaced() {
    let mut cluster = Cluster::start(3, &MIXED_RUNNERS, LEASE);
    cluster.apply(&models(3)).await;
    assert_answered(&cluster, 0, "model-0").await;
    let leader = leader_of(&cluster).await;
    let other = other_than(leader);
    cluster.daemons[leader].kill();
    let killed = Instant::now();
    // Requests for ready replicas do not need the leader.
    assert_answered(&cluster, other, "model-0").await;
    assert_answered(&cluster, other, "model-1").await;
    println!("cold start after the kill: {:?}", killed.elapsed());
    assert_eq!(cluster.loads().await, 2);
    cluster.assert_memory().await;
}

#[tokio::test]
async fn a_leader_frozen_past_its_lease_steps_down() {
    let cluster = Cluster::start(3, &MIXED_RUNNERS, LEASE);
    cluster.apply(&models(4)).await;
    let leader = leader_of(&cluster).await;
    let other = other_than(leader);
    // The leader is frozen while a load is in progress.
    let entry = cluster.entry(other);
    let first = tokio::spawn(async move { caller().chat(entry, "model-0", "hello", false).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    cluster.daemons[leader].signal(Signal::SIGSTOP);
    assert_answered(&cluster, other, "model-1").await;
    let first = first
        .await
        .expect("the task ends")
        .expect("a complete response");
    assert_eq!(first.status, 200, "{}", first.text());
    cluster.daemons[leader].signal(Signal::SIGCONT);
    eventually("the frozen leader has stepped down", async || {
        cluster.status(leader).await["fencing"] == json!(0)
    })
    .await;
    assert_answered(&cluster, leader, "model-2").await;
    assert_eq!(cluster.loads().await, 3);
    cluster.assert_memory().await;
}

#[tokio::test]
async fn memory_pressure_evicts_and_never_overcommits() {
    let spec = Spec {
        checks_fencing: false,
        memory_bytes: 45,
        load_ms: 50,
    };
    let mut cluster = Cluster::start(3, &[spec, spec], LEASE);
    cluster.apply(&models(6)).await;
    for round in 0..3 {
        for index in 0..6 {
            assert_answered(&cluster, (index + round) % 3, &format!("model-{index}")).await;
        }
    }
    cluster.assert_memory().await;
    // The successor of a killed leader takes over its rows. It must not evict while
    // an order of the killed leader may still be in progress, so the roster has to
    // report that the VM is gone.
    let leader = leader_of(&cluster).await;
    let other = other_than(leader);
    cluster.daemons[leader].kill();
    let faults = Faults {
        gone: vec![support::instance_name(leader)],
        ..Faults::default()
    };
    cluster.faults(&faults).await;
    for index in 0..6 {
        assert_answered(&cluster, other, &format!("model-{index}")).await;
    }
    cluster.assert_memory().await;
}

#[tokio::test]
async fn adapters_survive_a_takeover_within_their_pools() {
    let mut cluster = Cluster::start(3, &MIXED_RUNNERS, LEASE);
    let mut model = Model::new("matcher", 200);
    model.pool_bytes = 3;
    model.adapters = (0..8).map(|index| format!("style-{index}")).collect();
    cluster.apply(&[model]).await;
    for index in 0..4 {
        assert_answered(&cluster, index % 3, &format!("style-{index}")).await;
    }
    let leader = leader_of(&cluster).await;
    let other = other_than(leader);
    cluster.daemons[leader].kill();
    cluster.daemons[leader] = cluster.start_daemon(leader, "");
    for index in 0..8 {
        assert_answered(&cluster, other, &format!("style-{index}")).await;
    }
    assert_eq!(cluster.loads().await, 1);
    cluster.assert_memory().await;
}

#[tokio::test]
async fn a_load_on_a_killed_runner_is_repeated_on_another() {
    let spec = Spec {
        load_ms: 600,
        ..MIXED_RUNNERS[0]
    };
    let mut cluster = Cluster::start(2, &[spec, spec], LEASE);
    cluster.apply(&models(1)).await;
    let entry = cluster.entry(0);
    let answer = tokio::spawn(async move { caller().chat(entry, "model-0", "hello", false).await });
    let mut loading = None;
    eventually("a load has begun", async || {
        for index in 0..2 {
            if cluster.count(index).await.loads > 0 {
                loading = Some(index);
            }
        }
        loading.is_some()
    })
    .await;
    let loading = loading.expect("a load has begun");
    cluster.runners[loading].kill();
    let answer = answer
        .await
        .expect("the task ends")
        .expect("a complete response");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(cluster.count(1 - loading).await.loads, 1);
}

/// How the leader learns that a runner is leaving.
enum Notice {
    Report,
    Roster,
    Drain,
}

async fn leave(cluster: &Cluster, runner: usize, notice: &Notice) {
    let name = cluster.runner_specs[runner].name.clone();
    match notice {
        Notice::Report => {
            let leaving = Behaviour {
                leaving: true,
                ..Behaviour::default()
            };
            cluster.runner_behaviour(runner, &leaving).await;
        }
        Notice::Roster => {
            let faults = Faults {
                leaving: vec![name],
                ..Faults::default()
            };
            cluster.faults(&faults).await;
        }
        Notice::Drain => {
            let arguments = ["drain", name.as_str(), "--environment", "production"];
            assert!(cluster.ctl(0, &arguments).status.success());
        }
    }
}

#[tokio::test]
async fn a_leaving_runner_gets_no_new_work() {
    for notice in [Notice::Report, Notice::Roster, Notice::Drain] {
        let cluster = Cluster::start(2, &MIXED_RUNNERS, LEASE);
        cluster.apply(&models(1)).await;
        assert_answered(&cluster, 0, "model-0").await;
        let leaving = usize::from(cluster.count(0).await.loads == 0);
        leave(&cluster, leaving, &notice).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = cluster.count(leaving).await.runs.len();
        for index in 0..6 {
            assert_answered(&cluster, index % 2, "model-0").await;
        }
        assert_eq!(cluster.count(leaving).await.runs.len(), before);
        assert_eq!(cluster.count(1 - leaving).await.loads, 1);
    }
}

#[tokio::test]
async fn ready_replicas_serve_during_an_outage_of_the_table() {
    let cluster = Cluster::start(3, &MIXED_RUNNERS, LEASE);
    cluster.apply(&models(2)).await;
    assert_answered(&cluster, 0, "model-0").await;
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    cluster.faults(&down).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    for index in 0..3 {
        assert_answered(&cluster, index, "model-0").await;
    }
    // The lease has expired, so nothing is loaded; the request is refused in time.
    let body = json!({"model": "model-1", "messages": [{"role": "user", "content": "x"}]});
    let start = Instant::now();
    let refused = caller()
        .post(
            cluster.entry(0),
            "/v1/chat/completions",
            &[("x-deadline-ms", "700")],
            &body,
        )
        .await
        .expect("a complete response");
    assert_eq!(refused.json()["code"], "deadline");
    assert_eq!(refused.json()["run"], "not_run");
    assert!(start.elapsed() < Duration::from_secs(5));
    cluster.faults(&Faults::default()).await;
    assert_answered(&cluster, 1, "model-1").await;
    assert_eq!(cluster.loads().await, 2);
}

#[tokio::test]
async fn lost_responses_of_the_table_cause_no_extra_loads() {
    let cluster = Cluster::start(2, &MIXED_RUNNERS, LEASE);
    cluster.apply(&models(4)).await;
    for index in 0..4 {
        let lossy = Faults {
            lose_answers: 2,
            ..Faults::default()
        };
        cluster.faults(&lossy).await;
        assert_answered(&cluster, index % 2, &format!("model-{index}")).await;
    }
    assert_eq!(cluster.loads().await, 4);
    cluster.assert_memory().await;
}
