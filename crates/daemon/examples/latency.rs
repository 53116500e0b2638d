//! Measures the latency that an instance adds to a warm request, and the resident
//! memory of an idle instance.
//!
//! The added latency is the difference from calls made directly to the fake runner in
//! the same run. Build with `cargo build --release --workspace --examples --bins` first; the
//! binaries are started as separate processes.

use std::error::Error;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use almondbank_standin::client::Client;
use almondbank_standin::fixture::{self, Model};
use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::{Value, json};
use tokio::time;

type Outcome<T> = Result<T, Box<dyn Error>>;

const REQUESTS_PER_SECOND: u32 = 2_000;
const MEASURE_TIME: Duration = Duration::from_secs(10);
const MAX_MICROS: u64 = 60_000_000;

struct Process {
    child: Child,
    first_line: String,
}

impl Process {
    fn start(program: &Path, arguments: &[&str]) -> Outcome<Self> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()?;
        let mut first_line = String::new();
        let output = child.stdout.take().ok_or("standard output is not piped")?;
        BufReader::new(output).read_line(&mut first_line)?;
        Ok(Self { child, first_line })
    }

    fn address(&self, name: &str) -> Outcome<SocketAddr> {
        let prefix = format!("{name}=");
        let mut parts = self.first_line.split_whitespace();
        let found = parts.find_map(|part| part.strip_prefix(&prefix));
        Ok(found
            .ok_or("the first line of output has no address")?
            .parse()?)
    }

    fn resident_kib(&self) -> Outcome<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        Ok(number.ok_or("no VmRSS in /proc/PID/status")?.parse()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::main]
async fn main() -> Outcome<()> {
    let examples: PathBuf = std::env::current_exe()?
        .parent()
        .ok_or("the executable has no parent directory")?
        .into();
    let standin = examples.join("standin");
    let binary = examples
        .parent()
        .ok_or("the examples directory has no parent directory")?
        .join("almondbank");
    let platform = Process::start(&standin, &["platform", "entry-1"])?;
    let runner = Process::start(&standin, &["runner", "runner-1", "100", "true", "100"])?;
    let text = fixture::settings("entry-1", "trial", platform.address("address")?, "");
    let path = std::env::temp_dir().join(format!("latency-{}.yaml", std::process::id()));
    std::fs::write(&path, text)?;
    let settings = path.display().to_string();
    let daemon = Process::start(&binary, &["--settings", &settings])?;
    time::sleep(Duration::from_secs(1)).await;
    println!("idle instance: {} KiB resident", daemon.resident_kib()?);

    let entry = daemon.address("callers")?;
    let direct = runner.address("address")?;
    let layout = [fixture::Runner {
        name: "runner-1".to_owned(),
        address: direct,
        memory_bytes: 100,
        slots: 256,
        checks_fencing: true,
    }];
    let document = fixture::document("trial", &layout, &[Model::new("chatter", 100)], None);
    let operator = Client::new(fixture::OPERATOR_KEY);
    let path = "/operator/v1/environments/trial/document";
    let body = json!({"base": 0, "document": document});
    operator.post(entry, path, &[], &body).await?;
    let behaviour = json!({"slots": 256, "tokens": 4});
    operator.post(direct, "/behaviour", &[], &behaviour).await?;
    let caller = Client::new(fixture::CALLER_KEY);
    while caller.chat(entry, "chatter", "warm", false).await?.status != 200 {
        time::sleep(Duration::from_millis(100)).await;
    }

    // Discarded runs, so that connections are open on both paths before the measurement.
    for _ in 0..2 {
        measure(&caller, direct, "chatter@v1").await?;
        measure(&caller, entry, "chatter").await?;
    }
    let direct_times = measure(&caller, direct, "chatter@v1").await?;
    let instance_times = measure(&caller, entry, "chatter").await?;
    for percentile in [50.0, 95.0, 99.0, 99.9] {
        let (direct_us, instance_us) = (
            direct_times.value_at_percentile(percentile),
            instance_times.value_at_percentile(percentile),
        );
        println!(
            "p{percentile}: direct {direct_us} us, through the instance {instance_us} us, added {} us",
            instance_us.saturating_sub(direct_us)
        );
    }
    println!("busy instance: {} KiB resident", daemon.resident_kib()?);
    Ok(())
}

// Open-loop load: requests are sent on a fixed schedule, so that a slow response delays no
// later request. Latencies are counted from the scheduled times.
async fn measure(caller: &Client, to: SocketAddr, model: &str) -> Outcome<Histogram<u64>> {
    let body = json!({
        "model": model,
        "messages": [{"role": "user", "content": "hello"}],
    });
    let text = body.to_string();
    let mut tasks = Vec::new();
    let start = Instant::now();
    let interval = Duration::from_secs(1) / REQUESTS_PER_SECOND;
    let mut at = Duration::ZERO;
    while at < MEASURE_TIME {
        time::sleep(at.saturating_sub(start.elapsed())).await;
        while at <= start.elapsed() && at < MEASURE_TIME {
            let (caller, text) = (caller.clone(), text.clone());
            let scheduled = start + at;
            tasks.push(tokio::spawn(async move {
                let path = "/v1/chat/completions";
                let response = caller.send(to, Method::POST, path, &[], text).await;
                let complete = response.map(|response| response.json()["id"] != Value::Null);
                complete
                    .is_ok_and(|complete| complete)
                    .then(|| scheduled.elapsed())
            }));
            at += interval;
        }
    }
    let mut histogram = Histogram::new_with_max(MAX_MICROS, 3)?;
    let mut failed = 0;
    for task in tasks {
        match task.await? {
            Some(elapsed) => histogram.record(u64::try_from(elapsed.as_micros())?)?,
            None => failed += 1,
        }
    }
    println!(
        "{to} {model}: {} succeeded, {failed} failed",
        histogram.len()
    );
    Ok(histogram)
}
