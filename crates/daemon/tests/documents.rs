//! Distribution of documents under failures, with the real binaries.

mod support;

use std::time::{Duration, Instant};

use almondbank_standin::fixture::Model;
use almondbank_standin::platform::Faults;
use serde_json::json;
use support::{Cluster, MIXED_RUNNERS, eventually, operator};

/// Longest time until an accepted document is applied at every instance.
const MAX_PROPAGATION: Duration = Duration::from_secs(5);

fn models(count: usize) -> Vec<Model> {
    (0..count)
        .map(|index| Model::new(format!("model-{index}"), 100))
        .collect()
}

async fn revision(cluster: &Cluster, index: usize) -> u64 {
    cluster.status(index).await["revision"]
        .as_u64()
        .unwrap_or(0)
}

async fn apply(cluster: &Cluster, index: usize, base: u64, text: &str) -> u16 {
    let path = "/operator/v1/environments/production/document";
    let body = json!({"base": base, "document": text});
    let answer = operator()
        .post(cluster.entry(index), path, &[], &body)
        .await;
    answer.expect("a complete response").status
}

async fn wait_for_revision(cluster: &Cluster, index: usize, wanted: u64) {
    eventually("the revision is applied", async || {
        revision(cluster, index).await >= wanted
    })
    .await;
}

#[tokio::test]
async fn a_document_reaches_all_instances_although_the_table_fails_after_it_was_accepted() {
    let mut cluster = Cluster::start(7, &MIXED_RUNNERS, "");
    cluster.apply(&models(1)).await;
    cluster.daemons[6].kill();
    let start = Instant::now();
    assert_eq!(
        apply(&cluster, 0, 1, &cluster.document(&models(2))).await,
        200
    );
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    cluster.faults(&down).await;
    for index in 0..6 {
        wait_for_revision(&cluster, index, 2).await;
    }
    let elapsed = start.elapsed();
    assert!(elapsed < MAX_PROPAGATION, "{elapsed:?}");
}

#[tokio::test]
async fn an_instance_restarted_during_an_outage_takes_the_document_of_its_peers() {
    let mut cluster = Cluster::start(3, &MIXED_RUNNERS, "");
    cluster.apply(&models(1)).await;
    assert_eq!(
        apply(&cluster, 0, 1, &cluster.document(&models(2))).await,
        200
    );
    for index in 0..3 {
        wait_for_revision(&cluster, index, 2).await;
    }
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    cluster.faults(&down).await;
    cluster.daemons[2].kill();
    let seeds = format!(
        "seeds: [\"{}\", \"{}\"]\n",
        cluster.daemons[0].address("peers"),
        cluster.daemons[1].address("peers"),
    );
    cluster.daemons[2] = cluster.start_daemon(2, &seeds);
    let entry = cluster.entry(2);
    eventually("the instance serves", async || {
        let answer = support::caller().get(entry, "/v1/models").await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    assert_eq!(revision(&cluster, 2).await, 2);
}

#[tokio::test]
async fn of_concurrent_applies_one_wins_and_the_others_get_its_revision() {
    let cluster = Cluster::start(3, &MIXED_RUNNERS, "");
    cluster.apply(&models(1)).await;
    for base in 1..5 {
        let lossy = Faults {
            lose_answers: 1,
            ..Faults::default()
        };
        cluster.faults(&lossy).await;
        let texts: Vec<_> = (2..5).map(|n| cluster.document(&models(n))).collect();
        let (a, b, c) = tokio::join!(
            apply(&cluster, 0, base, &texts[0]),
            apply(&cluster, 1, base, &texts[1]),
            apply(&cluster, 2, base, &texts[2]),
        );
        let mut statuses = [a, b, c];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409, 409]);
    }
    let path = "/operator/v1/environments/production/document";
    let body = json!({"base": 1, "document": cluster.document(&models(2))});
    let answer = operator().post(cluster.entry(0), path, &[], &body).await;
    assert_eq!(answer.expect("a complete response").json()["winner"], 5);

    // The history has one entry for each accepted change and no others.
    let path = "/operator/v1/environments/production/history";
    let history = operator().get(cluster.entry(0), path).await;
    let entries = history.expect("a complete response").json();
    let applied: Vec<_> = entries
        .as_array()
        .expect("a list")
        .iter()
        .filter(|entry| entry["action"] == "apply")
        .map(|entry| entry["to"].as_u64())
        .collect();
    assert_eq!(applied, (1..6).map(Some).collect::<Vec<_>>());
}

#[tokio::test]
async fn the_revision_of_an_instance_never_decreases() {
    let cluster = Cluster::start(3, &MIXED_RUNNERS, "");
    cluster.apply(&models(1)).await;
    let mut highest = [0; 3];
    for base in 1..10 {
        let index = usize::try_from(base % 3).unwrap_or(0);
        let text = cluster.document(&models(usize::try_from(base).unwrap_or(1)));
        assert_eq!(apply(&cluster, index, base, &text).await, 200);
        for (index, highest) in highest.iter_mut().enumerate() {
            let now = revision(&cluster, index).await;
            assert!(now >= *highest, "instance {index}: {now} after {highest}");
            *highest = now;
        }
    }
}
