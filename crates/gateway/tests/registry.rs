//! Tests for the registry: which runners get new requests.

use std::time::Duration;

use almondbank_gateway::call::Target;
use almondbank_gateway::feed::Change;
use almondbank_gateway::registry::Registry;
use almondbank_wire::mesh;

const RECONCILE: Duration = Duration::from_secs(2);

fn entry(runner: &str, revision: u64) -> mesh::Registration {
    mesh::Registration {
        runner: runner.to_owned(),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "one".to_owned(),
        slots: 4,
        draining: false,
        leaves_in_ms: None,
        beat: revision,
        born_ms: 1,
        models: Vec::new(),
        software: None,
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        revision,
    }
}

fn put(registration: mesh::Registration) -> Change {
    Change::Put(Box::new(registration))
}

fn second(second: u64) -> Duration {
    Duration::from_secs(second)
}

fn usable(registry: &Registry, now: Duration) -> usize {
    registry.usable("s", now).len()
}

#[test]
fn a_list_without_runners_is_handed_on() {
    let registry = Registry::new(RECONCILE);
    registry.replace(Vec::new(), 7, second(0));
    let list = mesh::Registry {
        after: None,
        revision: registry.newest_revision(),
        registrations: registry.registrations(),
        removed: Vec::new(),
    };
    let starting = Registry::new(RECONCILE);
    assert!(starting.merge(list, second(1)));
    assert!(starting.is_loaded());
}

#[test]
fn a_draining_runner_gets_no_new_requests() {
    let registry = Registry::new(RECONCILE);
    registry.apply(vec![put(entry("r", 1))], second(0));
    assert_eq!(usable(&registry, second(0)), 1);
    let mut draining = entry("r", 2);
    draining.draining = true;
    registry.apply(vec![put(draining)], second(1));
    assert_eq!(usable(&registry, second(1)), 0);
}

#[test]
fn a_removed_runner_is_unusable_at_once_without_an_outage() {
    let registry = Registry::new(RECONCILE);
    registry.apply(vec![put(entry("r", 1))], second(0));
    registry.apply(vec![Change::Removed("r".to_owned(), 2)], second(5));
    assert_eq!(usable(&registry, second(5)), 0);
}

#[test]
fn a_runner_removed_after_an_outage_stays_usable_for_two_seconds() {
    let registry = Registry::new(RECONCILE);
    registry.apply(vec![put(entry("r", 1))], second(0));
    registry.record_outage(second(4));
    registry.replace(Vec::new(), 9, second(5));
    assert_eq!(usable(&registry, second(6)), 1);
    assert_eq!(usable(&registry, second(7)), 0);
}

// Guards against requests to a runner that leaves shortly after the store is back: the time
// for which it stayed usable began anew with its removal.
#[test]
fn a_runner_removed_later_is_usable_only_until_live_ones_are_back() {
    let registry = Registry::new(RECONCILE);
    registry.apply(vec![put(entry("r", 1))], second(0));
    registry.record_outage(second(4));
    registry.record_read(second(5));
    registry.apply(
        vec![Change::Removed("r".to_owned(), 2)],
        second(5) + RECONCILE / 4,
    );
    registry.record_read(second(6));
    assert_eq!(usable(&registry, second(6)), 1);
    assert_eq!(usable(&registry, second(7)), 0);
}

#[test]
fn a_second_outage_keeps_removed_runners_usable_again() {
    let registry = Registry::new(RECONCILE);
    registry.apply(vec![put(entry("r", 1))], second(0));
    registry.record_outage(second(4));
    registry.record_read(second(5));
    registry.record_outage(second(8));
    registry.record_read(second(9));
    registry.replace(Vec::new(), 9, second(9));
    assert_eq!(usable(&registry, second(10)), 1);
    assert_eq!(usable(&registry, second(11)), 0);
}

// Guards against runners that count as gone because the store is away again before they could
// register.
#[test]
fn runners_removed_between_two_outages_stay_usable_until_two_seconds_after_the_second() {
    let registry = Registry::new(RECONCILE);
    registry.apply(vec![put(entry("r", 1))], second(0));
    registry.record_outage(second(7));
    registry.record_read(second(8));
    registry.replace(Vec::new(), 9, second(8));
    registry.record_outage(second(9));
    assert_eq!(usable(&registry, second(12)), 1);
    registry.record_read(second(13));
    assert_eq!(usable(&registry, second(14)), 1);
    assert_eq!(usable(&registry, second(15)), 0);
    registry.record_outage(second(16));
    assert_eq!(usable(&registry, second(16)), 0);
}

// Guards against a runner that leaves while the store turns calls away by turns.
#[test]
fn a_short_outage_extends_the_time_of_removed_runners_by_little() {
    let registry = Registry::new(RECONCILE);
    let tenth = |count: u32| second(8) + Duration::from_millis(100) * count;
    registry.apply(vec![put(entry("r", 1))], second(0));
    registry.record_outage(second(7));
    registry.record_read(second(8));
    registry.replace(Vec::new(), 9, second(8));
    for count in [2, 6, 10, 14] {
        registry.record_outage(tenth(count));
        registry.record_read(tenth(count + 1));
    }
    assert_eq!(usable(&registry, tenth(27)), 1);
    assert_eq!(usable(&registry, tenth(28)), 0);
}

#[test]
fn an_older_entry_does_not_replace_a_newer_one() {
    let registry = Registry::new(RECONCILE);
    let mut draining = entry("r", 5);
    draining.draining = true;
    registry.apply(vec![put(draining)], second(0));
    // A copy from a peer, a late heartbeat of the same run under a newer revision,
    // and a heartbeat of an earlier run.
    registry.apply(vec![put(entry("r", 4))], second(1));
    let mut late_heartbeat = entry("r", 6);
    late_heartbeat.beat = 3;
    registry.apply(vec![put(late_heartbeat)], second(1));
    let mut former_run = entry("r", 7);
    former_run.born_ms = 0;
    registry.apply(vec![put(former_run)], second(1));
    assert_eq!(usable(&registry, second(1)), 0);
}

#[test]
fn a_new_run_under_the_same_id_replaces_the_entry() {
    let registry = Registry::new(RECONCILE);
    registry.apply(vec![put(entry("r", 5))], second(0));
    let mut new_run = entry("r", 6);
    new_run.born_ms = 2;
    new_run.beat = 1;
    new_run.slots = 9;
    registry.apply(vec![put(new_run)], second(1));
    assert_eq!(registry.usable("s", second(1))[0].registration.slots, 9);
}

#[test]
fn changes_after_a_gap_are_not_merged() {
    let registry = Registry::new(RECONCILE);
    registry.apply(vec![put(entry("r", 5))], second(0));
    let changes = |after, revision| mesh::Registry {
        after,
        revision,
        registrations: vec![entry("t", revision)],
        removed: Vec::new(),
    };
    assert!(!registry.merge(changes(Some(6), 7), second(1)));
    assert_eq!(registry.newest_revision(), 5);
    assert!(registry.merge(changes(Some(5), 7), second(1)));
    assert_eq!(usable(&registry, second(1)), 2);
    // The complete list lacks the first runner.
    assert!(registry.merge(changes(None, 8), second(1)));
    assert_eq!(usable(&registry, second(1)), 1);
}

// Guards against an instance that is never ready: a later list of a peer would not be newer.
#[test]
fn changes_before_the_first_list_are_not_merged() {
    let registry = Registry::new(RECONCILE);
    let registrations = |after| mesh::Registry {
        after,
        revision: 7,
        registrations: vec![entry("t", 7)],
        removed: Vec::new(),
    };
    registry.merge(registrations(Some(0)), second(1));
    assert!(registry.merge(registrations(None), second(1)));
    assert!(registry.is_loaded());
}

#[test]
fn a_runner_that_lacks_a_model_gets_no_requests_for_it_for_a_while() {
    let registry = Registry::new(RECONCILE);
    let mut holding = entry("r", 1);
    holding.models.push(mesh::Model {
        name: "m".to_owned(),
        version: 1,
        adapters: Vec::new(),
    });
    registry.apply(vec![put(holding)], second(0));
    let target = Target {
        model: "m".to_owned(),
        adapter: None,
    };
    let holds = |now| registry.usable("s", now)[0].holds_model("m", now);
    assert!(holds(second(0)));
    registry.mark_missing("r", &target, second(0));
    assert!(!holds(second(1)));
    assert!(holds(second(3)));
}

// Guards against a removed runner that stays usable.
// A batch from a peer held the last change and the removal of a runner, and the
// change was applied after the removal.
#[test]
fn a_removal_is_not_undone_by_an_older_entry() {
    let registry = Registry::new(RECONCILE);
    registry.apply(vec![put(entry("r", 5))], second(0));
    let batch = mesh::Registry {
        after: Some(5),
        revision: 7,
        registrations: vec![entry("r", 6)],
        removed: vec![mesh::Removed {
            runner: "r".to_owned(),
            revision: 7,
        }],
    };
    assert!(registry.merge(batch, second(1)));
    assert_eq!(usable(&registry, second(1)), 0);
    // A copy of the last registration from a peer that has not received the removal.
    registry.apply(vec![put(entry("r", 6))], second(2));
    assert_eq!(usable(&registry, second(2)), 0);
    registry.apply(vec![put(entry("r", 8))], second(3));
    assert_eq!(usable(&registry, second(3)), 1);
}

#[test]
fn an_older_copy_of_the_store_neither_revives_nor_undrains_a_runner() {
    let registry = Registry::new(RECONCILE);
    let with_beat = |revision, beat| mesh::Registration {
        beat,
        ..entry("r", revision)
    };
    registry.apply(vec![put(with_beat(1, 7))], second(0));
    let copy = with_beat(100, 7);
    registry.apply(vec![Change::Removed("r".to_owned(), 2)], second(1));
    registry.replace(vec![copy.clone()], 100, second(2));
    assert_eq!(usable(&registry, second(2)), 0);
    let mut draining = with_beat(101, 8);
    draining.draining = true;
    registry.apply(vec![put(draining)], second(3));
    registry.replace(vec![with_beat(200, 7)], 200, second(4));
    assert_eq!(usable(&registry, second(4)), 0);
    registry.apply(vec![put(with_beat(201, 9))], second(5));
    assert_eq!(usable(&registry, second(5)), 1);
}

// Guards against live runners that are ignored for a minute, since their registrations lapsed in
// an outage and the copy that the store came back from lists them unchanged.
#[test]
fn a_runner_that_a_copy_of_the_store_lists_again_is_usable_if_it_does_not_lapse() {
    let copy = |revision| mesh::Registration {
        beat: 7,
        ..entry("r", revision)
    };
    for lapses in [true, false] {
        let registry = Registry::new(RECONCILE);
        registry.apply(vec![put(entry("r", 7))], second(0));
        registry.apply(vec![Change::Removed("r".to_owned(), 9)], second(1));
        registry.replace(vec![copy(100)], 100, second(2));
        registry.readmit(second(6));
        assert_eq!(usable(&registry, second(6)), 0);
        if lapses {
            registry.apply(vec![Change::Removed("r".to_owned(), 101)], second(6));
        }
        registry.readmit(second(8));
        assert_eq!(usable(&registry, second(8)), usize::from(!lapses));
    }
}

#[test]
fn a_removal_during_the_read_of_a_list_reaches_an_instance_that_got_the_list_from_a_peer() {
    // The list is complete as of 3; its last page, read later, holds a newer registration.
    let follower = Registry::new(RECONCILE);
    follower.replace(vec![entry("a", 1), entry("z", 5)], 3, second(0));
    let list = |registry: &Registry| mesh::Registry {
        after: None,
        revision: registry.newest_revision(),
        registrations: registry.registrations(),
        removed: Vec::new(),
    };
    let other = Registry::new(RECONCILE);
    other.merge(list(&follower), second(0));
    let changes = mesh::Registry {
        after: Some(follower.newest_revision()),
        revision: 5,
        registrations: vec![entry("z", 5)],
        removed: vec![mesh::Removed {
            runner: "a".to_owned(),
            revision: 4,
        }],
    };
    other.merge(changes, second(1));
    assert_eq!(usable(&other, second(1)), 1);
}

#[test]
fn a_list_that_was_read_over_a_long_time_yields_to_a_newer_one_of_a_peer() {
    let registry = Registry::new(RECONCILE);
    registry.replace(vec![entry("a", 1), entry("z", 5)], 3, second(0));
    let newer = mesh::Registry {
        after: None,
        revision: 5,
        registrations: vec![entry("z", 5)],
        removed: Vec::new(),
    };
    registry.merge(newer, second(1));
    assert_eq!(usable(&registry, second(1)), 1);
}

#[test]
fn an_old_list_does_not_bring_runners_back_that_were_removed_long_ago() {
    let registry = Registry::new(RECONCILE);
    registry.replace(vec![entry("a", 1), entry("z", 2)], 3, second(0));
    registry.apply(vec![Change::Removed("a".to_owned(), 4)], second(1));
    // Later changes purge what is known of the removed one.
    registry.apply(vec![put(entry("z", 5))], second(100));
    registry.replace(vec![entry("a", 1), entry("z", 5)], 3, second(101));
    assert_eq!(usable(&registry, second(101)), 1);
}
