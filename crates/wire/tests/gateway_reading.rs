//! Settings of a gateway at its start: what is not needed to serve does not prevent it.

use std::time::Duration;

use almondbank_wire::gateway::{self, Settings};
use almondbank_wire::reading;

/// Change of the valid settings.
type Change = fn(&mut Settings);

const NEEDED: [&str; 5] = [
    "callers_listen: 127.0.0.1:1",
    "ready_listen: 127.0.0.1:2",
    "peers_listen: 127.0.0.1:3",
    "store: 127.0.0.1:6",
    "instance: entry-1",
];
const OTHER: [&str; 4] = [
    "data_centre: one",
    "directory_listen: 127.0.0.1:4",
    "metrics_listen: 127.0.0.1:5",
    "max_files: 100",
];

fn valid() -> String {
    let lines = OTHER.iter().chain(&NEEDED);
    lines.fold(String::new(), |text, line| text + line + "\n")
}

fn settings() -> Settings {
    gateway::parse(&valid()).expect("valid settings")
}

// Reads the valid settings with one line replaced or added; returns the paths of the findings.
fn read(line: &str) -> (Settings, Vec<String>) {
    let (name, _) = line.split_once(':').expect("a key");
    let others = valid();
    let others = others.lines().filter(|other| !other.starts_with(name));
    let text = others.fold(format!("{line}\n"), |text, line| text + line + "\n");
    let reading = reading::read(&text).unwrap_or_else(|error| panic!("{line}: {error}"));
    let findings = reading.findings.into_iter();
    let paths = findings.map(|finding| finding.path).collect();
    (reading.settings, paths)
}

#[test]
fn settings_without_faults_are_read_as_they_are_checked() {
    let reading = reading::read(&valid()).expect("valid settings");
    assert_eq!(reading.settings, settings());
    assert!(reading.findings.is_empty());
}

#[test]
fn a_value_that_is_not_valid_and_not_needed_does_not_prevent_a_start() {
    for line in [
        "memory_mb: 0",
        "memory_mb: -1",
        "memory_mb: much",
        "memory_mb: [1]",
        "cpu_share: 0",
        "lease_ms: 0",
        "lease_ms: 1e30",
        "grace_s: 0",
        "grace_s: 1e300",
        "retry_window_s: 0",
        "quota_window_s: -2",
        "load_window_s: 0",
        "load_overage: 0",
        "max_ttl_s: -1",
        "log: loud",
        "log: 3",
        "checks_fencing: perhaps",
        "seeds: nowhere",
        "seeds: {a: 1}",
        "colour: red",
    ] {
        let (read, findings) = read(line);
        let path = format!("/{}", line.split(':').next().unwrap_or_default());
        assert_eq!((read, findings), (settings(), vec![path]), "{line}");
    }
}

#[test]
fn a_value_that_has_a_meaning_is_used() {
    let cases: [(&str, Change); 17] = [
        ("memory_mb: 260.9", |s| s.memory = 260 << 20),
        ("memory_mb: \"260\"", |s| s.memory = 260 << 20),
        ("memory_mb: 1e3", |s| s.memory = 1000 << 20),
        ("memory_mb: 18446744073709551616", |s| s.memory = usize::MAX),
        ("memory_mb: 1e30", |s| s.memory = usize::MAX),
        ("max_files: 4100.0", |s| s.max_files = 4100),
        ("max_files: \" 4100 \"", |s| s.max_files = 4100),
        ("max_files: 1", |s| s.max_files = 1),
        ("cpu_share: \"0.25\"", |s| s.cpu_share = 0.25),
        ("cpu_share: 2", |s| s.cpu_share = 2.0),
        ("checks_fencing: \"True\"", |s| s.checks_fencing = true),
        ("checks_fencing: \"\"", |_| ()),
        ("max_ttl_s: 0", |s| s.max_directory_ttl = Duration::ZERO),
        ("retry_ratio: 0", |s| s.retry.ratio = 0.0),
        ("lease_ms: 2999.7", |s| {
            s.lease = Duration::from_millis(2999);
        }),
        ("data_centre: 12", |s| "12".clone_into(&mut s.data_centre)),
        ("data_centre: \"007\"", |s| {
            "007".clone_into(&mut s.data_centre);
        }),
    ];
    for (line, change) in cases {
        let mut expected = settings();
        change(&mut expected);
        assert_eq!(read(line), (expected, Vec::new()), "{line}");
    }
}

// More retries or a wider quota than was meant would break a bound.
#[test]
fn a_negative_limit_is_no_wider_than_zero() {
    for name in ["retry_ratio", "retry_extra", "quota_overage", "quota_slack"] {
        let (negative, findings) = read(&format!("{name}: -1"));
        assert_eq!(negative, read(&format!("{name}: 0")).0, "{name}");
        assert_eq!(findings, [format!("/{name}")]);
    }
}

// The process would be ended at the limit that it does not keep to.
#[test]
fn a_memory_limit_below_the_recommended_one_is_kept_to() {
    let (small, findings) = read("memory_mb: 32");
    assert_eq!(
        (small.memory, findings.as_slice()),
        (32 << 20, ["/memory_mb".to_owned()].as_slice())
    );
}

#[test]
fn seeds_that_are_not_addresses_do_not_take_the_others_away() {
    let (read, findings) = read("seeds: [\"\", \"127.0.0.1:7\", x, 4, \"127.0.0.1:8\"]");
    let expected = ["127.0.0.1:7", "127.0.0.1:8"].map(|text| text.parse().unwrap());
    assert_eq!(read.seeds, expected);
    assert_eq!(findings, ["/seeds/3", "/seeds/0", "/seeds/2"]);
}

#[test]
fn empty_values_that_are_not_needed_do_not_prevent_a_start() {
    for name in [
        "max_files",
        "data_centre",
        "directory_listen",
        "metrics_listen",
    ] {
        for value in ["", "null", "\"\""] {
            let (_, findings) = read(&format!("{name}: {value}"));
            let is_text = (name, value) == ("data_centre", "\"\"");
            assert_eq!(findings.len(), usize::from(!is_text), "{name}: {value}");
        }
    }
    let (read, findings) = read("metrics_listen: :9464");
    assert!(read.listen.metrics.ip().is_loopback());
    assert_eq!(findings, ["/metrics_listen"]);
}

#[test]
fn settings_that_are_needed_are_not_replaced() {
    for needed in NEEDED {
        let (name, _) = needed.split_once(':').expect("a key");
        for line in ["", &format!("{name}:"), &format!("{name}: \"\"")] {
            let text = valid().replace(needed, line);
            let error = reading::read(&text).expect_err("not valid");
            assert!(!error.findings().is_empty(), "{line}");
        }
    }
    // Without these, the file may not be complete.
    for line in OTHER {
        assert!(reading::read(&valid().replace(line, "")).is_err(), "{line}");
    }
}

#[test]
fn the_ends_and_lines_of_other_systems_do_not_prevent_a_start() {
    let text = valid();
    let other_lines = text.replace('\n', "\r\n");
    for text in [
        format!("\u{feff}{text}"),
        format!("{text}\0\0\0"),
        format!("\u{feff}{other_lines}\0"),
        format!("{text}...\n"),
        format!("---\n{text}"),
        format!("%YAML 1.2\n---\n{text}"),
    ] {
        let reading = reading::read(&text).unwrap_or_else(|error| panic!("{text:?}: {error}"));
        assert_eq!(reading.settings, settings(), "{text:?}");
    }
}
