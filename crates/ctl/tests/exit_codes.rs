//! Exit codes of the commands that need no instance.

use std::process::{Command, Output};

fn ctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_almondbankctl"))
        .args(arguments)
        .output()
        .expect("almondbankctl runs")
}

fn file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("ctl-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path.display().to_string()
}

#[test]
fn check_tells_every_mistake_with_its_path() {
    let path = file(
        "broken.yaml",
        "environment: trial\nmodles: []\nmodels:\n  - {name: a b, bytes: -1, versions: []}\n",
    );
    let output = ctl(&["check", &path]);
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for expected in ["modles", "/models/0/bytes"] {
        assert!(text.contains(expected), "{expected} not in {text}");
    }
}

#[test]
fn usage_mistakes_exit_with_2() {
    for arguments in [
        &["frobnicate"][..],
        &[],
        &["status"],
        &["status", "--entry", "here"],
        &["apply", "--base", "x"],
        &["--frobnicate"],
    ] {
        assert_eq!(ctl(arguments).status.code(), Some(2), "{arguments:?}");
    }
}

#[test]
fn an_unreachable_instance_exits_with_1() {
    let output = ctl(&["status", "--entry", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn the_shipped_documents_are_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for name in ["guild.yaml", "ikenna.yaml"] {
        let output = ctl(&["check", &format!("{folder}/{name}")]);
        assert_eq!(output.status.code(), Some(0), "{name}: {output:?}");
    }
}
