//! Exit codes of commands that run without an instance.

use std::process::{Command, Output};

fn ctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_almondbankctl"))
        .args(arguments)
        .output()
        .expect("almondbankctl can be started")
}

fn write_temp_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("ctl-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the temporary directory is writable");
    path.display().to_string()
}

#[test]
fn check_reports_each_mistake_with_its_path() {
    let path = write_temp_file(
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
fn usage_errors_exit_with_2() {
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
