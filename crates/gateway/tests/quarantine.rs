//! Which prompt parts are quarantined after crashes of runners, and for how long.

use std::time::Duration;

use almondbank_gateway::call::{Call, Part};
use almondbank_gateway::quarantine::Tracker;
use almondbank_wire::mesh;
use quickcheck::quickcheck;

const PARTS: [&str; 2] = ["first", "second"];

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn crash(tracker: &Tracker, parts: &[&str], runner: &str, millis: u64) {
    let _ = tracker.record_crash(parts, runner, 1, at(millis));
}

fn is_quarantined(tracker: &Tracker, part: &str, millis: u64) -> bool {
    tracker.remaining(&[part], at(millis)).is_some()
}

#[test]
fn a_part_is_quarantined_after_three_crashes_and_no_other_part_with_it() {
    let tracker = Tracker::default();
    crash(&tracker, &PARTS, "a", 0);
    crash(&tracker, &PARTS, "b", 1_000);
    assert!(!is_quarantined(&tracker, "second", 1_000));
    let change = tracker.record_crash(&PARTS, "c", 1, at(2_000));
    assert_eq!(change.quarantined, ["second"]);
    assert!(is_quarantined(&tracker, "second", 2_000));
    assert!(!is_quarantined(&tracker, "first", 2_000));
}

#[test]
fn runs_that_end_at_the_same_time_do_not_blame_a_part() {
    let tracker = Tracker::default();
    for (index, runner) in ["a", "b", "c", "d", "e"].iter().enumerate() {
        crash(&tracker, &PARTS, runner, 20 * index as u64);
    }
    assert!(!is_quarantined(&tracker, "second", 100));
}

#[test]
fn one_run_of_a_runner_counts_once() {
    let tracker = Tracker::default();
    for second in 0..10 {
        crash(&tracker, &PARTS, "a", 1_000 * second);
    }
    assert!(!is_quarantined(&tracker, "second", 10_000));
}

#[test]
fn a_part_that_runners_respond_to_is_not_blamed() {
    let tracker = Tracker::default();
    for (second, runner) in ["a", "b", "c", "d", "e"].iter().enumerate() {
        crash(&tracker, &PARTS, runner, 1_000 * second as u64);
        let _ = tracker.record_response(&PARTS[..1], at(1_000 * second as u64 + 500));
    }
    assert!(is_quarantined(&tracker, "second", 5_000));
    assert!(!is_quarantined(&tracker, "first", 5_000));
    for (second, runner) in ["f", "g", "h"].iter().enumerate() {
        crash(&tracker, &["first"], runner, 5_000 + 100 * second as u64);
    }
    assert!(!is_quarantined(&tracker, "first", 5_500));
}

#[test]
fn a_response_ends_a_quarantine_and_the_other_instances_learn_of_it() {
    let (blaming, other) = (Tracker::default(), Tracker::default());
    for (second, runner) in ["a", "b", "c"].iter().enumerate() {
        crash(&blaming, &PARTS, runner, 1_000 * second as u64);
    }
    let snapshot = blaming.snapshot(at(2_000)).unwrap();
    let _ = other.record_response(&PARTS, at(1_900));
    let change = other.merge(&snapshot, at(2_000));
    assert_eq!(change.sound, ["second"]);
    let sound = mesh::Quarantine {
        crashes: Vec::new(),
        crashing: Vec::new(),
        sound: change.sound,
    };
    assert!(blaming.merge(&sound, at(2_100)).is_new);
    assert!(!is_quarantined(&blaming, "second", 2_100));
}

#[test]
fn crashes_that_different_instances_saw_add_up() {
    let (first, second) = (Tracker::default(), Tracker::default());
    crash(&first, &PARTS, "a", 0);
    crash(&second, &PARTS, "b", 1_000);
    let change = first.merge(&second.snapshot(at(1_000)).unwrap(), at(1_000));
    assert!(change.is_new);
    let again = first.merge(&second.snapshot(at(1_000)).unwrap(), at(1_000));
    assert!(!again.is_new);
    crash(&first, &PARTS, "c", 2_000);
    assert!(is_quarantined(&first, "second", 2_000));
    let _ = second.merge(&first.snapshot(at(2_000)).unwrap(), at(2_000));
    assert!(is_quarantined(&second, "second", 2_000));
}

#[test]
fn a_quarantine_ends() {
    let tracker = Tracker::default();
    for (second, runner) in ["a", "b", "c"].iter().enumerate() {
        crash(&tracker, &PARTS, runner, 1_000 * second as u64);
    }
    let ten_minutes = 600_000;
    assert!(is_quarantined(&tracker, "second", ten_minutes));
    assert!(!is_quarantined(&tracker, "second", 2_001 + ten_minutes));
    tracker.expire(at(2_001 + ten_minutes));
    assert!(tracker.snapshot(at(2_001 + ten_minutes)).is_none());
}

quickcheck! {
    // A part of which no request broke is never quarantined, whatever other parts did.
    fn only_parts_of_broken_requests_are_quarantined(crashes: Vec<(u8, u8, u16)>) -> bool {
        let tracker = Tracker::default();
        let mut now = 0;
        for (part, runner, wait) in crashes {
            now += u64::from(wait);
            let part = format!("part-{}", part % 8);
            crash(&tracker, &[&part], &format!("runner-{runner}"), now);
        }
        !is_quarantined(&tracker, "other", now)
    }
}

// Memory stays bounded with parts that a caller chose.
#[test]
fn ten_thousand_parts_are_suspected_in_bounded_memory() {
    let tracker = Tracker::default();
    for number in 0..10_000_u64 {
        let part = format!("part-{number}");
        crash(&tracker, &[&part], &format!("runner-{number}"), number);
    }
    let snapshot = tracker.snapshot(at(10_000)).unwrap();
    assert!(snapshot.crashes.len() <= 256);
    assert!(snapshot.crashing.is_empty());
}

#[test]
fn only_some_short_ids_of_a_request_are_followed() {
    let part = |id: String| Part { id, tokens: 1 };
    let mut parts: Vec<_> = (0..10_000).map(|number| part(number.to_string())).collect();
    parts.insert(0, part("x".repeat(60_000)));
    let call = Call {
        attempt: "a".to_owned(),
        host: "h".to_owned(),
        path: "/".to_owned(),
        target: None,
        parts,
        prompt_tokens: 10_001,
        max_output_tokens: 1,
        timeout: None,
        resume_after: None,
        resumes: None,
    };
    let shared = call.shared_parts();
    assert!(shared.len() < 40 && shared.iter().all(|id| id.len() < 200));
    assert_eq!(shared.first(), Some(&"0"));
}
