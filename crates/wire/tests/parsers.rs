//! Parsers never panic, and validation reports all errors at once.

use almondbank_wire::ticket::Ticket;
use almondbank_wire::{codec, digest, document, peer, settings};
use quickcheck::{Gen, QuickCheck};

const CASES: u64 = 500;
const SEED: u64 = 7;

fn check(property: fn(Vec<u8>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(CASES)
        .quickcheck(property);
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn parsers_do_not_panic_on_random_input() {
    check(|bytes| {
        let text = text(&bytes);
        let _ = codec::decode::<peer::Message>(&bytes);
        let _ = document::parse(&text);
        let _ = document::fields(&text);
        let _ = settings::parse(&text);
        let _ = Ticket::try_from(text.as_str());
        let _ = digest::parse(&text);
        let _ = digest::verify("secret", "nonce", &text);
        true
    });
}

#[test]
fn messages_round_trip_and_other_lengths_are_rejected() {
    let message = peer::Message::CallReply(peer::CallReply {
        id: 7,
        status: 200,
        body: "body".to_owned(),
        run: peer::Run::Ran,
        code: String::new(),
    });
    let mut bytes = codec::encode(&message);
    let decoded: peer::Message = codec::decode(&bytes).expect("a message");
    assert_eq!(format!("{decoded:?}"), format!("{message:?}"));
    bytes.push(0);
    assert!(codec::decode::<peer::Message>(&bytes).is_err());
    bytes.truncate(bytes.len() / 2);
    assert!(codec::decode::<peer::Message>(&bytes).is_err());
}

#[test]
fn all_schema_errors_of_a_document_are_reported() {
    let text = "environment: trial\nmodles: []\nrunners:\n  - {name: r, address: x}\nmodels: 3\n";
    let error = document::parse(text).expect_err("validation errors");
    let paths: Vec<_> = error.findings().iter().map(|f| f.path.as_str()).collect();
    assert!(paths.contains(&""), "{error}");
    assert!(paths.contains(&"/models"), "{error}");
    assert!(paths.contains(&"/runners/0"), "{error}");
}

#[test]
fn all_semantic_errors_of_a_document_are_reported() {
    let text = "\
environment: trial
ranks:
  - {rank: 4}
  - {rank: 2, floor_percent: 101}
runners:
  - {name: r, address: here, data_centre: one, memory_bytes: 10, slots: 0, checks_fencing: true}
models:
  - {name: a b, bytes: 1, versions: []}
adapters:
  - {name: t, model: none, bytes: 1}
callers:
  - {name: c, key_sha256: zz, grants: [{target: none, rank: 0}]}
";
    let error = document::parse(text).expect_err("validation errors");
    let paths: Vec<_> = error.findings().iter().map(|f| f.path.as_str()).collect();
    for path in [
        "/ranks/0/rank",
        "/ranks/1/floor_percent",
        "/runners/0/slots",
        "/runners/0/address",
        "/models/0/name",
        "/models/0/versions",
        "/adapters/0/model",
        "/callers/0/key_sha256",
        "/callers/0/grants/0/target",
        "/callers/0/grants/0/rank",
    ] {
        assert!(paths.contains(&path), "{path} not in {error}");
    }
}

#[test]
fn all_errors_of_settings_are_reported() {
    let text = "\
instance: a
environment: trial
data_centre: one
callers_listen: x
peers_listen: 127.0.0.1:0
peer_secret: short
table: 127.0.0.1:1
objects: 127.0.0.1:1
roster: nowhere
lease_ms: 1
log: loud
";
    let error = settings::parse(text).expect_err("validation errors");
    let paths: Vec<_> = error.findings().iter().map(|f| f.path.as_str()).collect();
    for path in [
        "/callers_listen",
        "/peer_secret",
        "/roster",
        "/lease_ms",
        "/log",
    ] {
        assert!(paths.contains(&path), "{path} not in {error}");
    }
}

// Guards the YAML node limit: 570 models and 27,000 adapters, each with a grant.
#[test]
fn a_document_of_27_000_adapters_is_accepted() {
    use std::fmt::Write;

    let mut text = "environment: production\nmodels:\n".to_owned();
    for at in 0..570 {
        let _ = writeln!(
            text,
            "  - {{name: model-{at}, bytes: 10, adapter_pool_bytes: 10, versions: [v1, v2]}}"
        );
    }
    text.push_str("adapters:\n");
    for at in 0..27_000 {
        let model = at % 570;
        let _ = writeln!(
            text,
            "  - {{name: adapter-{at}, model: model-{model}, bytes: 1}}"
        );
    }
    let key = "0".repeat(64);
    let _ = writeln!(
        text,
        "callers:\n  - name: studio\n    key_sha256: \"{key}\"\n    grants:"
    );
    for at in 0..27_000 {
        let _ = writeln!(text, "      - {{target: adapter-{at}, rank: 1}}");
    }
    let document = document::parse(&text).expect("the document is valid");
    assert_eq!(document.adapters.len(), 27_000);
}
