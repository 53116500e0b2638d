//! Daemons that meet a limit of the kernel, or a signal without a use.

mod support;

use std::fs::File;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use almondbank_standin::fixture;
use nix::sys::signal::Signal;
use support::Cluster;

/// Time that a process gets to end.
const HOLD_TIME: Duration = Duration::from_millis(1500);

async fn check_running(mut child: Child, condition: &str) {
    tokio::time::sleep(HOLD_TIME).await;
    let ended = child.try_wait().unwrap();
    let _ = child.kill();
    child.wait().unwrap();
    assert_eq!(ended, None, "{condition}");
}

fn settings(cluster: &Cluster) -> String {
    let platform = cluster.platform.address("address");
    let text = fixture::settings("limited", "production", platform, "log: trace\n");
    cluster.file("limited.yaml", &text)
}

#[tokio::test]
async fn signals_without_a_use_do_not_end_a_daemon() {
    let cluster = Cluster::start(1, &[], "");
    for signal in [Signal::SIGHUP, Signal::SIGUSR1, Signal::SIGXFSZ] {
        cluster.daemons[0].signal(signal);
        tokio::time::sleep(HOLD_TIME).await;
        let status = cluster.status(0).await;
        assert!(status.is_object(), "{signal}: {status}");
    }
}

#[tokio::test]
async fn outputs_on_a_full_disk_do_not_end_a_daemon() {
    let cluster = Cluster::start(1, &[], "");
    let full = || File::options().write(true).open("/dev/full").unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_almondbank"))
        .args(["--settings", &settings(&cluster)])
        .stdout(full())
        .stderr(full())
        .spawn();
    check_running(child.unwrap(), "full disk").await;
}

#[tokio::test]
async fn a_log_at_the_limit_on_the_size_of_files_does_not_end_a_daemon() {
    let cluster = Cluster::start(1, &[], "");
    let log = File::create(cluster.file("limited.log", "")).unwrap();
    let child = Command::new("sh")
        .args(["-c", "ulimit -f 0 && exec \"$0\" \"$@\""])
        .arg(env!("CARGO_BIN_EXE_almondbank"))
        .args(["--settings", &settings(&cluster)])
        .stdout(Stdio::null())
        .stderr(log)
        .spawn();
    check_running(child.unwrap(), "file size").await;
}
