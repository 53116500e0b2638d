//! When an instance that has just started may serve.

use std::time::Duration;

use almondbank_gateway::join::Join;

fn at(millis: u64) -> Duration {
    Duration::from_millis(10_000 + millis)
}

#[test]
fn an_instance_serves_once_it_has_the_newest_environment_of_its_peers() {
    let join = Join::default();
    assert!(!join.may_serve(1, at(0)));
    join.record_newest(2);
    join.record_newest(1);
    assert!(!join.may_serve(1, at(1_500)));
    assert!(join.may_serve(2, at(1_501)));
    join.record_newest(3);
    assert!(join.may_serve(2, at(1_502)));
}

#[test]
fn an_instance_without_peers_serves_soon() {
    let join = Join::default();
    assert!(!join.may_serve(1, at(0)));
    assert!(!join.may_serve(1, at(200)));
    assert!(join.may_serve(1, at(300)));
}

#[test]
fn an_instance_waits_for_a_record_that_is_read_late() {
    let join = Join::default();
    join.set_reads_record(true);
    assert!(!join.may_serve(1, at(0)));
    assert!(!join.may_serve(1, at(1_900)));
    join.record_newest(2);
    join.set_reads_record(false);
    assert!(!join.may_serve(1, at(1_950)));
    assert!(join.may_serve(2, at(1_960)));
}

#[test]
fn a_record_that_is_never_read_does_not_keep_an_instance_from_serving() {
    let join = Join::default();
    join.set_reads_record(true);
    assert!(!join.may_serve(1, at(0)));
    assert!(join.may_serve(1, at(2_100)));
}

#[test]
fn an_instance_serves_at_once_if_the_store_came_back_long_ago() {
    let join = Join::default();
    join.record_settled();
    assert!(join.may_serve(1, at(0)));
    let join = Join::default();
    join.record_settled();
    join.record_newest(2);
    assert!(!join.may_serve(1, at(0)));
}

#[test]
fn an_environment_that_never_arrives_does_not_keep_an_instance_from_serving() {
    let join = Join::default();
    assert!(!join.may_serve(1, at(0)));
    join.record_newest(u64::MAX);
    assert!(!join.may_serve(1, at(1_900)));
    assert!(join.may_serve(1, at(2_100)));
}
