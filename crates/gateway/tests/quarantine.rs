//! Which prompt parts are quarantined after crashes of runners, and for how long.

use std::collections::BTreeSet;
use std::time::Duration;

use almondbank_control::key;
use almondbank_gateway::call::Call;
use almondbank_gateway::crash::{Report, Run, Suspicion};
use almondbank_gateway::prompt::{Part, Parts};
use almondbank_gateway::quarantine::{Change, Tracker};
use almondbank_gateway::suspect::Suspect;
use almondbank_gateway::tenant::Credential;
use almondbank_wire::mesh;
use hyper::header::HeaderValue;
use quickcheck::quickcheck;

/// Longest value of a row in the store, less the id of its writer, in bytes.
const MAX_ROW_BYTES: usize = 60_000;
const PARTS: [&str; 2] = ["first", "second"];

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(runner: &str) -> Run {
    (runner.to_owned(), 1)
}

fn part(id: &str) -> Suspect {
    Suspect::Part(id.to_owned())
}

fn request(fingerprint: &str) -> Suspect {
    Suspect::Request(fingerprint.to_owned())
}

// A crash under requests that were sent long before.
fn record(tracker: &Tracker, suspects: Vec<Suspect>, runner: &str, millis: u64) -> Change {
    record_sent(tracker, suspects, runner, 0, millis)
}

fn record_sent(
    tracker: &Tracker,
    suspects: Vec<Suspect>,
    runner: &str,
    sent_at: u64,
    millis: u64,
) -> Change {
    let suspicion = |suspect| Suspicion {
        suspect,
        sent_at: at(sent_at),
    };
    let report = Report {
        run: run(runner),
        at: at(millis),
        suspicions: suspects.into_iter().map(suspicion).collect(),
    };
    tracker.record_crash(&report, at(millis))
}

fn crash(tracker: &Tracker, parts: &[&str], runner: &str, millis: u64) {
    let suspects = parts.iter().map(|id| part(id)).collect();
    let _ = record(tracker, suspects, runner, millis);
}

fn respond(tracker: &Tracker, parts: &[&str], millis: u64) {
    let suspects: Vec<_> = parts.iter().map(|id| part(id)).collect();
    let run = run("responding");
    let _ = tracker.record_response(&run, &suspects, at(millis), at(millis));
}

fn holds(tracker: &Tracker, suspect: Suspect, millis: u64) -> bool {
    !tracker.held(&[suspect], "", at(millis)).is_empty()
}

fn is_quarantined(tracker: &Tracker, id: &str, millis: u64) -> bool {
    holds(tracker, part(id), millis)
}

#[test]
fn a_part_is_quarantined_after_three_crashes_and_no_other_part_with_it() {
    let tracker = Tracker::default();
    crash(&tracker, &PARTS, "a", 0);
    crash(&tracker, &PARTS, "b", 1_000);
    assert!(!is_quarantined(&tracker, "second", 1_000));
    let change = record(&tracker, PARTS.map(part).to_vec(), "c", 2_000);
    assert_eq!(change.quarantined, [part("second")]);
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
        respond(&tracker, &PARTS[..1], 1_000 * second as u64 + 500);
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
    respond(&other, &PARTS, 1_900);
    let change = other.merge(&snapshot, at(2_000));
    assert_eq!(change.sound, [part("second")]);
    let sound = mesh::Quarantine {
        crashes: Vec::new(),
        crashing: Vec::new(),
        sound: change.sound.iter().map(mesh::Suspect::from).collect(),
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

#[test]
fn a_request_that_is_sent_after_each_crash_is_quarantined_after_three() {
    let tracker = Tracker::default();
    for (index, runner) in ["a", "b", "c"].iter().enumerate() {
        assert!(!holds(&tracker, request("r"), 30 * index as u64));
        let is_on_last_try = tracker.is_on_last_try(&request("r"), at(30 * index as u64));
        assert_eq!(is_on_last_try, index == 2);
        let sent_at = 30 * index as u64 + 2;
        let change = record_sent(
            &tracker,
            vec![request("r"), part("first")],
            runner,
            sent_at,
            sent_at + 20,
        );
        assert_eq!(change.quarantined.is_empty(), index < 2);
    }
    assert!(holds(&tracker, request("r"), 100));
    assert!(!is_quarantined(&tracker, "first", 100));
    assert!(!holds(&tracker, request("other"), 100));
}

// Guards against a request that crashes runners and is taken for one that broke beside it.
#[test]
fn of_requests_that_broke_together_each_time_all_are_quarantined() {
    let tracker = Tracker::default();
    for (index, runner) in ["a", "b", "c"].iter().enumerate() {
        let sent_at = 100 * index as u64;
        for fingerprint in ["beside", "crashing"] {
            let suspects = vec![request(fingerprint)];
            let _ = record_sent(&tracker, suspects, runner, sent_at, sent_at + 20);
        }
    }
    assert!(holds(&tracker, request("beside"), 300));
    assert!(holds(&tracker, request("crashing"), 300));
    // Crashes of what is known to crash runners tell nothing of others.
    for (index, runner) in ["d", "e", "f"].iter().enumerate() {
        let sent_at = 1_000 + 100 * index as u64;
        for fingerprint in ["crashing", "crashing", "later"] {
            let suspects = vec![request(fingerprint)];
            let _ = record_sent(&tracker, suspects, runner, sent_at, sent_at + 20);
        }
    }
    assert!(!holds(&tracker, request("later"), 2_000));
}

#[test]
fn copies_of_a_request_on_runners_that_fail_together_do_not_blame_it() {
    let tracker = Tracker::default();
    for (index, runner) in ["a", "b", "c", "d", "e"].iter().enumerate() {
        let millis = 1_000 + 20 * index as u64;
        let _ = record_sent(&tracker, vec![request("r")], runner, 900, millis);
    }
    assert!(!holds(&tracker, request("r"), 1_200));
}

#[test]
fn a_response_to_a_request_clears_it() {
    let tracker = Tracker::default();
    for (second, runner) in ["a", "b", "c", "d"].iter().enumerate() {
        let millis = 3_000 * second as u64;
        let _ = record_sent(&tracker, vec![request("r")], runner, millis, millis + 10);
        assert!(tracker.suspects_requests());
        let now = at(millis + 500);
        let _ = tracker.record_response(&run("x"), &[request("r")], now, now);
    }
    assert!(!holds(&tracker, request("r"), 20_000));
}

#[test]
fn connections_that_break_while_the_runner_lives_do_not_blame_a_request() {
    let tracker = Tracker::default();
    for (second, runner) in ["a", "b", "c", "d"].iter().enumerate() {
        let millis = 1_000 * second as u64;
        let _ = record_sent(&tracker, vec![request("r")], runner, millis, millis + 10);
        let sent_at = at(millis + 20);
        let _ = tracker.record_response(&run(runner), &[request("x")], sent_at, sent_at);
    }
    assert!(!holds(&tracker, request("r"), 5_000));
}

#[test]
fn requests_that_crash_runners_repeatedly_blame_a_part_that_they_share_once_each() {
    let tracker = Tracker::default();
    let mut now = 0;
    for (index, fingerprint) in ["r", "r", "r", "s", "t"].iter().enumerate() {
        assert!(!is_quarantined(&tracker, "second", now));
        now += 1_000;
        let suspects = vec![request(fingerprint), part("first"), part("second")];
        let _ = record_sent(&tracker, suspects, &index.to_string(), now - 50, now);
    }
    assert!(is_quarantined(&tracker, "second", now));
    assert!(!is_quarantined(&tracker, "first", now));
}

#[test]
fn an_instance_that_starts_later_knows_the_request_from_a_snapshot() {
    let (seen, started) = (Tracker::default(), Tracker::default());
    for (second, runner) in ["a", "b", "c"].iter().enumerate() {
        let millis = 1_000 * second as u64;
        let _ = record_sent(&seen, vec![request("r")], runner, millis, millis + 10);
    }
    let snapshot = seen.snapshot(at(5_000)).unwrap();
    assert!(started.merge(&snapshot, at(5_000)).is_new);
    assert!(holds(&started, request("r"), 5_000));
    assert!(!started.merge(&snapshot, at(5_100)).is_new);
}

#[test]
fn a_record_has_the_requests_that_the_next_crash_puts_into_quarantine() {
    let (tracker, started) = (Tracker::default(), Tracker::default());
    for (second, runner) in ["a", "b"].iter().enumerate() {
        let millis = 1_000 * second as u64;
        let bystander = request(&format!("bystander-{second}"));
        let suspects = vec![request("r"), bystander, part("first")];
        let _ = record_sent(&tracker, suspects, runner, millis, millis + 10);
    }
    let record = tracker.record(at(2_000));
    assert_eq!(record.last_try, BTreeSet::from([request("r")]));
    assert!(record.quarantined.is_empty());
    assert_eq!(record.message.crashes.len(), 2);
    let _ = started.merge(&record.message, at(100));
    assert!(started.is_on_last_try(&request("r"), at(100)));
    let change = record_sent(&started, vec![request("r")], "c", 110, 120);
    assert_eq!(change.quarantined, [request("r")]);
    let record = started.record(at(200));
    assert_eq!(record.quarantined, BTreeSet::from([request("r")]));
    assert!(record.message.crashes.is_empty());
}

#[test]
fn a_record_is_bounded_however_many_requests_break_twice() {
    let tracker = Tracker::default();
    for crash in 0..20_u64 {
        for number in 0..100 {
            let fingerprint = format!("{}-{number}", crash / 2);
            let millis = 1_000 * crash;
            let runner = crash.to_string();
            let suspects = vec![request(&fingerprint)];
            let _ = record_sent(&tracker, suspects, &runner, millis, millis + 10);
        }
    }
    let record = tracker.record(at(20_000));
    assert_eq!(record.last_try.len(), 1_000);
    let crashes = record.message.crashes.iter();
    assert!(crashes.map(|crash| crash.suspicions.len()).sum::<usize>() <= 192);
}

#[test]
fn a_record_of_long_ids_is_no_longer_than_a_row() {
    let tracker = Tracker::default();
    let crashing = (0..200).map(|number| mesh::Crashing {
        suspect: mesh::Suspect::Part(format!("{number:0128}")),
        age_ms: number,
    });
    let quarantine = mesh::Quarantine {
        crashing: crashing.collect(),
        ..mesh::Quarantine::default()
    };
    let _ = tracker.merge(&quarantine, at(0));
    for crash in 0..200_u64 {
        let fingerprint = format!("{:064}", crash / 2);
        let (runner, millis) = (format!("{crash:0200}"), 1_000 * crash);
        let suspects = vec![request(&fingerprint)];
        let _ = record_sent(&tracker, suspects, &runner, millis, millis + 10);
    }
    let message = tracker.record(at(200_000)).message;
    assert!(message.crashing.len() > 100, "{}", message.crashing.len());
    assert!(message.crashes.len() > 60, "{}", message.crashes.len());
    let bytes = key::encode(&message).len();
    assert!(bytes < MAX_ROW_BYTES, "{bytes} bytes");
}

#[test]
fn overlong_ids_of_a_peer_are_left_out() {
    let tracker = Tracker::default();
    let crashing = mesh::Crashing {
        suspect: mesh::Suspect::Request("x".repeat(129)),
        age_ms: 0,
    };
    let quarantine = mesh::Quarantine {
        crashing: vec![crashing],
        ..mesh::Quarantine::default()
    };
    assert_eq!(tracker.merge(&quarantine, at(0)), Change::default());
}

// Guards against the quarantine of sound parts: all requests share the first one, sound ones
// those after the crashing one, and their crashes are reported first.
#[test]
fn of_parts_that_break_together_the_one_without_responses_is_quarantined() {
    let tracker = Tracker::default();
    respond(&tracker, &["all", "sound", "later"], 0);
    for (index, runner) in ["a", "b", "c"].iter().enumerate() {
        let millis = 5_000 + 1_000 * index as u64;
        crash(&tracker, &["all", "sound", "later"], runner, millis);
        crash(&tracker, &["all", "later"], runner, millis + 1);
        for id in ["all", "sound", "later", "crashing"] {
            assert!(!is_quarantined(&tracker, id, millis + 1), "{id}");
        }
        crash(&tracker, &["all", "crashing", "later"], runner, millis + 2);
    }
    assert!(is_quarantined(&tracker, "crashing", 8_000));
    for id in ["all", "sound", "later"] {
        assert!(!is_quarantined(&tracker, id, 8_000), "{id}");
    }
}

#[test]
fn of_parts_with_responses_the_one_that_had_none_for_longer_is_quarantined() {
    let tracker = Tracker::default();
    respond(&tracker, &["all", "crashing", "later"], 0);
    respond(&tracker, &["all", "later"], 500);
    for (index, runner) in ["a", "b", "c"].iter().enumerate() {
        let millis = 5_000 + 1_000 * index as u64;
        crash(&tracker, &["all", "later"], runner, millis);
        crash(&tracker, &["all", "crashing", "later"], runner, millis + 1);
    }
    assert!(is_quarantined(&tracker, "crashing", 8_000));
    assert!(!is_quarantined(&tracker, "all", 8_000));
    assert!(!is_quarantined(&tracker, "later", 8_000));
}

fn quarantine_alone(tracker: &Tracker, id: &str) {
    for (index, runner) in ["a", "b", "c"].iter().enumerate() {
        crash(tracker, &[id], runner, 1_000 * index as u64);
    }
    assert!(is_quarantined(tracker, id, 2_000));
}

// Guards against a wrong quarantine that nothing can end, as no request is sent any more.
#[test]
fn a_response_to_a_request_on_trial_ends_a_quarantine() {
    let tracker = Tracker::default();
    quarantine_alone(&tracker, "sound");
    let sound = part("sound");
    assert!(!tracker.is_trial_due(&sound, at(4_900)));
    assert!(tracker.is_trial_due(&sound, at(5_000)));
    tracker.start_trial(&sound, "trying", at(5_000));
    assert!(!tracker.is_trial_due(&sound, at(5_001)));
    assert!(is_quarantined(&tracker, "sound", 5_001));
    let suspects = [sound];
    assert!(tracker.held(&suspects, "trying", at(5_001)).is_empty());
    let change = tracker.record_response(&run("x"), &suspects, at(5_000), at(5_500));
    assert_eq!(change.sound, suspects);
    assert!(!is_quarantined(&tracker, "sound", 5_500));
}

// Requests with the part may reach runners three times after the fifth crash.
#[test]
fn two_requests_at_most_try_a_part_that_crashes_runners() {
    let (tracker, peer) = (Tracker::default(), Tracker::default());
    quarantine_alone(&tracker, "p");
    quarantine_alone(&peer, "p");
    let mut now = 2_000;
    for (number, runner) in ["d", "e"].iter().enumerate() {
        while !tracker.is_trial_due(&part("p"), at(now)) {
            now += 100;
        }
        assert!(now < 20_000);
        tracker.start_trial(&part("p"), "trying", at(now));
        let change = record_sent(&tracker, vec![part("p")], runner, now, now + 50);
        assert!(change.is_new && change.counted == [part("p")]);
        let _ = record_sent(&peer, vec![part("p")], runner, now, now + 50);
        assert!(
            !tracker
                .held(&[part("p")], "trying", at(now + 60))
                .is_empty()
        );
        now += 60;
        assert!(!tracker.is_trial_due(&part("p"), at(now)), "{number}");
    }
    for tracker in [&tracker, &peer] {
        assert!(!tracker.is_trial_due(&part("p"), at(now + 100_000)));
    }
}

#[test]
fn crashes_that_a_sound_part_explained_count_against_others_afterwards() {
    let tracker = Tracker::default();
    quarantine_alone(&tracker, "sound");
    for (index, runner) in ["d", "e"].iter().enumerate() {
        let millis = 3_000 + 1_000 * index as u64;
        crash(&tracker, &["sound", "crashing"], runner, millis);
    }
    respond(&tracker, &["sound"], 5_000);
    crash(&tracker, &["sound", "crashing"], "f", 6_000);
    assert!(is_quarantined(&tracker, "crashing", 6_000));
    assert!(!is_quarantined(&tracker, "sound", 6_000));
}

#[test]
fn an_instance_with_a_response_between_the_crashes_objects_to_a_quarantine() {
    let (deciding, other) = (Tracker::default(), Tracker::default());
    for (index, runner) in ["a", "b", "c"].iter().enumerate() {
        let millis = 4_000 * index as u64;
        crash(&deciding, &["sound"], runner, millis);
        crash(&other, &["sound"], runner, millis);
        if index == 0 {
            respond(&other, &["sound"], 1_000);
        }
    }
    assert!(is_quarantined(&deciding, "sound", 8_000));
    assert!(!is_quarantined(&other, "sound", 8_000));
    let change = other.merge(&deciding.snapshot(at(8_000)).unwrap(), at(8_000));
    assert_eq!(change.sound, [part("sound")]);
}

#[test]
fn parts_of_a_long_prompt_are_all_counted() {
    let tracker = Tracker::default();
    let ids: Vec<_> = (0..2_000).map(|number| format!("part-{number}")).collect();
    let mut parts: Vec<_> = ids.iter().map(String::as_str).collect();
    respond(&tracker, &parts, 0);
    parts.insert(1_999, "crashing");
    for (index, runner) in ["a", "b", "c"].iter().enumerate() {
        crash(&tracker, &parts, runner, 5_000 + 1_000 * index as u64);
    }
    assert!(is_quarantined(&tracker, "crashing", 8_000));
    assert!(!is_quarantined(&tracker, "part-0", 8_000));
}

quickcheck! {
    // A part of which no request broke is never quarantined, whatever other parts did.
    fn only_parts_of_broken_requests_are_quarantined(crashes: Vec<(u8, u8, u16)>) -> bool {
        let tracker = Tracker::default();
        let mut now = 0;
        for (part, runner, wait) in crashes {
            now += u64::from(wait);
            let id = format!("part-{}", part % 8);
            crash(&tracker, &[&id], &format!("runner-{runner}"), now);
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

// Parts of one token each, listed by their ids.
fn next_part(list: &str) -> Option<(Part<'_>, &str)> {
    let (id, rest) = list.split_once(',').unwrap_or((list, ""));
    (!id.is_empty()).then_some((Part { id, tokens: 1 }, rest))
}

#[test]
fn all_shared_parts_of_a_request_are_followed_and_some_short_ids_logged() {
    let mut ids: Vec<_> = (0..10_000).map(|number| number.to_string()).collect();
    ids.insert(0, "x".repeat(60_000));
    let list = HeaderValue::from_str(&ids.join(",")).unwrap();
    let call = Call {
        handed_over_by: None,
        credential: Credential::Absent,
        tenant: None,
        has_token_usage: true,
        software: None,
        attempt: "a".to_owned(),
        host: "h".to_owned(),
        path: "/".to_owned(),
        target: None,
        parts: Parts::new(list, next_part),
        prompt_tokens: 10_001,
        max_output_tokens: 1,
        timeout: None,
        resume_after: None,
        resumes: None,
    };
    let listed = call.listed_parts();
    assert!(listed.len() < 200 && listed.starts_with("0,1,2,"));
    let suspects: Vec<_> = call.shared_parts().map(Suspect::part).collect();
    assert_eq!(suspects.len(), 10_000);
    let is_short = |suspect: &Suspect| matches!(suspect, Suspect::Part(id) if id.len() <= 128);
    assert!(suspects.iter().all(is_short));
    assert_eq!(suspects.last(), Some(&Suspect::part("9998")));
    assert_ne!(suspects[0], Suspect::part(&"x".repeat(60_001)));
}

#[test]
fn a_request_is_released_if_a_run_that_it_broke_has_not_ended() {
    let tracker = Tracker::default();
    for (runner, millis) in [("a", 0), ("b", 1_000), ("c", 2_000)] {
        let _ = record(&tracker, vec![request("r")], runner, millis);
    }
    assert!(holds(&tracker, request("r"), 2_000));
    let unchecked: Vec<_> = tracker.take_unchecked(at(1_000)).into_iter().collect();
    assert_eq!(unchecked, ["a", "b"].map(run));
    let change = tracker.refute(&run("b"));
    assert_eq!(change.sound, [request("r")]);
    assert!(!holds(&tracker, request("r"), 2_000));
    let unchecked: Vec<_> = tracker.take_unchecked(at(2_000)).into_iter().collect();
    assert_eq!(unchecked, [run("c")]);
    assert!(tracker.take_unchecked(at(9_000)).is_empty());
    let change = record(&tracker, vec![request("r")], "d", 3_000);
    assert_eq!(change.quarantined, [request("r")]);
}

#[test]
fn a_request_stays_quarantined_while_enough_of_its_crashes_stand() {
    let tracker = Tracker::default();
    let report = |runner: &str, millis: u64| mesh::Crash {
        runner: runner.to_owned(),
        born_ms: 1,
        age_ms: 10_000 - millis,
        suspicions: vec![mesh::Suspicion {
            suspect: (&request("r")).into(),
            held_ms: 1,
        }],
    };
    let quarantine = mesh::Quarantine {
        crashes: vec![report("a", 0), report("b", 1_000), report("c", 2_000)],
        ..mesh::Quarantine::default()
    };
    let _ = tracker.merge(&quarantine, at(10_000));
    assert!(holds(&tracker, request("r"), 10_000));
    let unknown = tracker.refute(&run("elsewhere"));
    assert_eq!(unknown, Change::default());
    let _ = tracker.refute(&run("a"));
    assert!(!holds(&tracker, request("r"), 10_000));
    let _ = record_sent(&tracker, vec![request("r")], "d", 10_500, 11_000);
    assert!(holds(&tracker, request("r"), 11_000));
}
