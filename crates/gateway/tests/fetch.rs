//! When an instance requests newer versions from its peers.

use std::time::Duration;

use almondbank_gateway::fetch::{Pacer, Versions};
use quickcheck::quickcheck;

const STEP: Duration = Duration::from_millis(10);

fn versions(environment: u64, registry: u64) -> Versions {
    Versions {
        environment,
        registry,
    }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn one_request_is_outstanding_while_all_peers_report_a_newer_version() {
    let pacer = Pacer::default();
    let known = versions(1, 1);
    assert!(pacer.start("peer", known, versions(2, 1), at(0)).is_none());
    assert!(
        pacer
            .start("peer", known, versions(2, 1), at(250))
            .is_some()
    );
    for millis in [251, 400, 700] {
        assert!(
            pacer
                .start("peer", known, versions(3, 1), at(millis))
                .is_none()
        );
    }
}

#[test]
fn another_peer_is_asked_after_a_request_without_an_answer() {
    let pacer = Pacer::default();
    let (known, newer) = (versions(1, 1), versions(2, 1));
    assert!(pacer.start("first", known, newer, at(0)).is_none());
    assert!(pacer.start("first", known, newer, at(200)).is_some());
    // The peer whose report comes first again makes way for another one.
    assert!(pacer.start("first", known, newer, at(700)).is_none());
    assert!(pacer.start("second", known, newer, at(701)).is_some());
    assert!(pacer.start("third", known, newer, at(1_300)).is_none());
    assert!(pacer.start("third", known, newer, at(1_701)).is_some());
    assert!(pacer.start("first", known, newer, at(3_701)).is_some());
}

#[test]
fn an_answer_allows_the_next_request() {
    let pacer = Pacer::default();
    pacer.start("peer", versions(1, 1), versions(2, 1), at(0));
    assert!(
        pacer
            .start("peer", versions(1, 1), versions(2, 1), at(200))
            .is_some()
    );
    assert!(
        pacer
            .start("peer", versions(2, 1), versions(3, 1), at(220))
            .is_none()
    );
    assert!(
        pacer
            .start("peer", versions(2, 1), versions(3, 1), at(420))
            .is_some()
    );
}

#[test]
fn an_instance_without_any_version_asks_at_once() {
    let pacer = Pacer::default();
    assert!(
        pacer
            .start("peer", versions(0, 0), versions(2, 1), at(0))
            .is_some()
    );
    assert!(
        pacer
            .start("peer", versions(0, 0), versions(2, 1), at(1))
            .is_none()
    );
}

quickcheck! {
    // However many peers report, the requests without an answer stay at two a second.
    fn requests_without_an_answer_are_bounded(reports: Vec<(u8, u8)>) -> bool {
        let pacer = Pacer::default();
        let known = versions(1, 1);
        let mut now = Duration::ZERO;
        let mut requests = 0;
        for (newer, steps) in reports {
            now += STEP * u32::from(steps);
            let reported = versions(1 + u64::from(newer), 1);
            requests += u128::from(pacer.start("peer", known, reported, now).is_some());
        }
        requests <= 1 + now.as_millis() / 500
    }
}
