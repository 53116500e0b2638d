//! Keys of rows that hold names which others choose.

use std::collections::{BTreeMap, BTreeSet};

use almondbank_control::key;

/// Longest key of a row, in bytes.
const MAX_KEY_BYTES: usize = 200;
const ENVIRONMENT: &str = "main";

type Key = fn(&str, &str) -> String;
type Prefix = fn(&str) -> String;

const KEYS: [(Key, Prefix); 5] = [
    (key::member, key::members),
    (key::streams_of, key::streams),
    (key::replica, key::replicas),
    (key::drain, key::drains),
    (
        |environment, name| key::audit(environment, 7, name),
        key::audits,
    ),
];

fn names() -> BTreeSet<String> {
    let ends = ["", "/", "/lease", "~", "\n", "\0", "ü", "\u{10ffff}"];
    let lengths = [0, 1, 120, 150, 180, 190, 200, 4000];
    let starts = ["n", "~", "/", "\u{1}", "../", "%2f", "ძ"];
    let mut names = BTreeSet::new();
    for start in starts {
        for end in ends {
            names.extend(lengths.map(|length| format!("{start}{}{end}", "x".repeat(length))));
        }
    }
    names
}

#[test]
fn keys_of_names_that_others_choose_are_short_and_differ() {
    for (key, prefix) in KEYS {
        let prefix = prefix(ENVIRONMENT);
        let mut names = names();
        let ends: Vec<_> = names
            .iter()
            .map(|name| key(ENVIRONMENT, name)[prefix.len()..].to_owned())
            .collect();
        // What stands for a name in a key may be another one's name.
        names.extend(ends);
        let keys: BTreeSet<_> = names.iter().map(|name| key(ENVIRONMENT, name)).collect();
        assert_eq!(keys.len(), names.len(), "{prefix}");
        for key in keys {
            assert!(key.len() <= MAX_KEY_BYTES, "{key}");
            assert!(
                key.len() > prefix.len() && key.starts_with(&prefix),
                "{key}"
            );
        }
    }
}

#[test]
fn environments_have_no_keys_in_common() {
    let names = names();
    let keys = |environment: &String| {
        let mut keys = Vec::from([key::lease(environment), key::head(environment)]);
        keys.extend(KEYS.map(|(key, _)| key(environment, "lease")));
        keys.push(key::claim(environment, &"d".repeat(64)));
        keys.push(key::revision(environment, u64::MAX));
        keys
    };
    let keys: BTreeMap<_, _> = names.iter().map(|name| (name, keys(name))).collect();
    let all: BTreeSet<_> = keys.values().flatten().collect();
    assert_eq!(all.len(), keys.values().map(Vec::len).sum::<usize>());
    for environment in &names {
        for (_, prefix) in KEYS {
            let prefix = prefix(environment);
            let others = keys.iter().filter(|(other, _)| **other != environment);
            let mut others = others.flat_map(|(_, keys)| keys);
            assert!(others.all(|key| !key.starts_with(&prefix)), "{prefix}");
        }
    }
    for key in all {
        assert!(key.len() <= MAX_KEY_BYTES, "{key}");
    }
}

// Instances of an earlier version read and write the same rows.
#[test]
fn keys_of_ordinary_names_do_not_change() {
    let long = "x".repeat(184);
    for (key, expected) in [
        (key::lease("main"), "env/main/lease".to_owned()),
        (
            key::member("main", "front-a-1"),
            "env/main/member/front-a-1".to_owned(),
        ),
        (
            key::member("main", "a/b\nc~"),
            "env/main/member/a/b\nc~".to_owned(),
        ),
        (
            key::member("main", &long),
            format!("env/main/member/{long}"),
        ),
        (
            key::streams_of("main", "a"),
            "env/main/streams/a".to_owned(),
        ),
        (key::replica("e", "r"), "env/e/replica/r".to_owned()),
        (key::drain("e", "r"), "env/e/drain/r".to_owned()),
        (
            key::revision("e", 12),
            "env/e/revision/000000000012".to_owned(),
        ),
        (
            key::audit("e", 12, "a-1"),
            "env/e/audit/0000000000000012-a-1".to_owned(),
        ),
        (key::environment("e"), "env/e/environment".to_owned()),
        (
            key::environment_part("e", 3),
            "env/e/environment-part/000003".to_owned(),
        ),
        (key::quarantine("e"), "env/e/quarantine".to_owned()),
        (key::software("e"), "env/e/software".to_owned()),
        (key::head("e"), "env/e/head".to_owned()),
        (key::claim("e", "d"), "env/e/claim/d".to_owned()),
    ] {
        assert_eq!(key, expected);
    }
}
