//! Which software version began a stream.

use std::collections::BTreeSet;
use std::time::Duration;

use almondbank_gateway::software::{History, Versions};

const SERVICE: &str = "engines";

fn versions(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn second(second: u64) -> Duration {
    Duration::from_secs(second)
}

fn recorded(names: &[&str]) -> History {
    let history = History::default();
    history.set_recorded(Versions::from([(SERVICE.to_owned(), versions(names))]));
    history
}

#[test]
fn the_version_of_a_stream_that_began_here_is_known_whatever_serves() {
    let history = History::default();
    history.begin(SERVICE, "a", "v1", second(10), second(0));
    let seen = versions(&["v1", "v2"]);
    assert_eq!(history.origin(SERVICE, "a", &seen, false).unwrap(), "v1");
    let seen = versions(&["v2"]);
    assert_eq!(history.origin(SERVICE, "a", &seen, true).unwrap(), "v1");
    assert_eq!(history.origin("other", "a", &versions(&[]), true), None);
}

#[test]
fn a_stream_that_began_elsewhere_is_of_the_only_version_that_served_or_unknown() {
    let history = History::default();
    let one = versions(&["v1"]);
    let two = versions(&["v1", "v2"]);
    assert_eq!(history.origin(SERVICE, "a", &one, true).unwrap(), "v1");
    assert_eq!(history.origin(SERVICE, "a", &two, true), None);
    assert_eq!(history.origin(SERVICE, "a", &one, false), None);
    let seen = |history: &History| history.origin(SERVICE, "a", &one, false);
    assert_eq!(seen(&recorded(&["v1"])).unwrap(), "v1");
    assert_eq!(seen(&recorded(&["v0", "v1"])), None);
    assert_eq!(seen(&recorded(&["v0"])), None);
}

#[test]
fn versions_of_streams_are_kept_for_their_time_and_in_limited_number() {
    let history = History::default();
    let none = versions(&[]);
    history.begin(SERVICE, "early", "v1", second(10), second(0));
    history.begin(SERVICE, "later", "v1", second(30), second(20));
    assert_eq!(history.origin(SERVICE, "early", &none, true), None);
    for number in 0..20_000 {
        let attempt = number.to_string();
        history.begin(SERVICE, &attempt, "v1", second(30), second(20));
    }
    assert_eq!(history.origin(SERVICE, "later", &none, true), None);
    let newest = history.origin(SERVICE, "19999", &none, true);
    assert_eq!(newest.unwrap(), "v1");
    let long = "x".repeat(1000);
    history.begin(SERVICE, &long, "v1", second(30), second(20));
    assert_eq!(history.origin(SERVICE, &long, &none, true), None);
}

fn services() -> BTreeSet<String> {
    BTreeSet::from([SERVICE.to_owned()])
}

#[test]
fn a_record_tells_another_instance_which_version_began_a_stream() {
    let (began, other) = (History::default(), History::default());
    began.begin(SERVICE, "a", "v1", second(30), second(0));
    began.begin("elsewhere", "b", "v1", second(30), second(0));
    let record = began.own(&services(), second(1));
    assert_eq!(record.len(), 1);
    other.merge(&record, false, second(60), second(1));
    let seen = versions(&["v1", "v2"]);
    assert_eq!(other.origin(SERVICE, "a", &seen, true).unwrap(), "v1");
    assert!(other.own(&services(), second(1)).is_empty());
}

#[test]
fn an_instance_that_starts_anew_records_its_earlier_streams_again() {
    let started = History::default();
    let earlier = History::default();
    earlier.begin(SERVICE, "a", "v1", second(30), second(0));
    let record = earlier.own(&services(), second(1));
    started.merge(&record, true, second(60), second(1));
    assert_eq!(started.own(&services(), second(2)), record);
    assert!(started.own(&services(), second(61)).is_empty());
}

#[test]
fn a_record_does_not_replace_what_the_instance_has_seen_itself() {
    let (one, other) = (History::default(), History::default());
    one.begin(SERVICE, "a", "v1", second(30), second(0));
    other.begin(SERVICE, "a", "v2", second(30), second(0));
    other.merge(
        &one.own(&services(), second(1)),
        false,
        second(60),
        second(1),
    );
    let seen = versions(&["v1", "v2"]);
    assert_eq!(other.origin(SERVICE, "a", &seen, true).unwrap(), "v2");
}

#[test]
fn a_record_is_bounded_and_keeps_the_latest_streams() {
    let history = History::default();
    for number in 10_000..30_000 {
        let attempt = number.to_string();
        history.begin(SERVICE, &attempt, "v1", second(30), second(0));
    }
    let record = history.own(&services(), second(1));
    let attempts = &record[SERVICE]["v1"];
    assert!(attempts.iter().map(String::len).sum::<usize>() <= 24 << 10);
    assert!(attempts.contains("29999") && !attempts.contains("15000"));
}

// Guards against a stream that is forgotten when the time of its first try is over, although
// it goes on.
#[test]
fn a_stream_that_was_taken_up_is_kept_for_its_new_time() {
    let history = History::default();
    history.begin(SERVICE, "a", "v1", second(10), second(0));
    history.begin(SERVICE, "a", "v1", second(19), second(9));
    history.begin(SERVICE, "other", "v2", second(25), second(12));
    let seen = versions(&["v1", "v2"]);
    assert_eq!(history.origin(SERVICE, "a", &seen, true).unwrap(), "v1");
    history.begin(SERVICE, "last", "v2", second(30), second(20));
    assert_eq!(history.origin(SERVICE, "a", &seen, true), None);
}

#[test]
fn a_service_whose_name_is_too_long_does_not_keep_others_from_a_record() {
    let history = History::default();
    let long = "s".repeat(60_000);
    let services = BTreeSet::from([SERVICE.to_owned(), long.clone()]);
    history.begin(SERVICE, "early", "v1", second(30), second(0));
    history.begin(&long, "b", "v1", second(30), second(0));
    history.begin(SERVICE, "late", "v1", second(30), second(0));
    let record = history.own(&services, second(1));
    assert_eq!(record.keys().collect::<Vec<_>>(), [SERVICE]);
    assert_eq!(record[SERVICE]["v1"].len(), 2);
}
