//! Tests for the requests in flight on the runners, of this instance and its peers.

use std::sync::Arc;
use std::time::Duration;

use almondbank_gateway::call::Target;
use almondbank_gateway::in_flight::{self, Tracker};
use almondbank_wire::mesh;

const NOW: Duration = Duration::from_secs(1);

fn target(adapter: Option<&str>) -> Target {
    Target {
        model: "m".to_owned(),
        adapter: adapter.map(str::to_owned),
    }
}

#[test]
fn adapters_in_use_are_known_from_peers_and_count_for_their_model() {
    let peer: Arc<Tracker> = Arc::default();
    let adapted = target(Some("a1"));
    let _first = peer.track("r", Some(&adapted), 10, 20);
    let _second = peer.track("r", Some(&target(None)), 10, 20);
    let _other = peer.track("other", Some(&target(Some("a2"))), 10, 20);

    let own: Arc<Tracker> = Arc::default();
    own.set_peer("peer", peer.own(), NOW);
    let targets = own.targets("r", NOW);
    assert!(targets.contains(&adapted));
    assert!(!targets.contains(&target(Some("a2"))));
    let by_model = own.by_model(NOW);
    let work = by_model[&("r".to_owned(), "m".to_owned())];
    assert_eq!(work.pending, 2);
}

#[test]
fn an_adapter_is_free_after_its_last_request() {
    let tracker: Arc<Tracker> = Arc::default();
    let adapted = target(Some("a1"));
    let guard = tracker.track("r", Some(&adapted), 10, 20);
    assert!(tracker.targets("r", NOW).contains(&adapted));
    drop(guard);
    assert!(tracker.targets("r", NOW).is_empty());
}

// Guards against reports of instances that are gone, which would be kept for good.
#[test]
fn expired_reports_are_removed() {
    let tracker = Tracker::default();
    let load = |runner: &str| mesh::Load {
        runner: runner.to_owned(),
        model: "m".to_owned(),
        running: 1,
        pending: 0,
        pending_tokens: 0,
        tokens: 1,
    };
    tracker.set_peer("gone", vec![load("former")], Duration::ZERO);
    tracker.set_data_centre("lost", vec![load("former")], Duration::ZERO);
    let now = in_flight::REPORT_TTL + Duration::from_millis(1);
    tracker.set_peer("live", vec![load("present")], now);
    tracker.set_data_centre("other", vec![load("present")], now);
    let tracker = format!("{tracker:?}");
    assert!(!tracker.contains("former"), "{tracker}");
    assert!(tracker.contains("present"), "{tracker}");
}

#[test]
fn a_peer_knows_models_whose_names_have_slashes() {
    for (model, adapter) in [
        ("org/m", None),
        ("org/m", Some("a1")),
        ("a/b/c", None),
        ("/", None),
        ("/", Some("a1")),
        ("m/", None),
    ] {
        let target = Target {
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
        };
        let peer: Arc<Tracker> = Arc::default();
        let _guard = peer.track("r", Some(&target), 10, 20);
        let own: Arc<Tracker> = Arc::default();
        own.set_peer("peer", peer.own(), NOW);
        assert!(own.targets("r", NOW).contains(&target), "{target:?}");
        let key = ("r".to_owned(), model.to_owned());
        assert!(own.by_model(NOW).contains_key(&key), "{target:?}");
    }
}
