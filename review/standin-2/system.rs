//! The project's processes, one on each entry VM, and the platform that runs them.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{Connection, Request};
use crate::record::Record;
use crate::store::Store;

/// Settings that differ between cases; the others are those of `guild-match`.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub memory_mb: u64,
    pub max_files: u64,
    pub cpu_share: f64,
    pub checks_fencing: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            memory_mb: 260,
            max_files: 4100,
            cpu_share: 0.25,
            checks_fencing: true,
        }
    }
}

/// One entry VM.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

// A loopback address that other processes don't use at the same time.
fn free_address(place: u16) -> std::io::Result<SocketAddr> {
    let id = std::process::id();
    let host = format!("127.77.{}.{}", 1 + id / 250 % 250, 1 + id % 250);
    let address = format!("{host}:{}", 17_001 + place).parse();
    let address: SocketAddr = address.map_err(std::io::Error::other)?;
    TcpListener::bind(address)?;
    Ok(address)
}

impl Vm {
    /// Starts `count` VMs with their settings and logs in `directory`.
    pub fn start_all(
        count: usize,
        directory: &Path,
        store: &Store,
        options: Options,
    ) -> std::io::Result<Vec<Self>> {
        let mut addresses = Vec::new();
        for vm in 0..count {
            let mut of_vm = Vec::new();
            for listener in 0..5 {
                let place = u16::try_from(5 * vm + listener).unwrap_or_default();
                of_vm.push(free_address(place)?);
            }
            addresses.push(of_vm);
        }
        let seeds: Vec<_> = addresses
            .iter()
            .take(3)
            .map(|of_vm| format!("\"{}\"", of_vm[2]))
            .collect();
        let seeds = seeds.join(",");
        let mut vms = Vec::new();
        for (index, of_vm) in addresses.iter().enumerate() {
            let name = format!("front-zone-a-{}", index + 1);
            // As `platform/settings.yaml` is filled in.
            let text = format!(
                "instance: {name}\ndata_centre: zone-a\ncallers_listen: {}\nready_listen: {}\n\
                 peers_listen: {}\ndirectory_listen: {}\nmetrics_listen: {}\nstore: {}\n\
                 seeds: [{seeds}]\nmax_files: {}\nmemory_mb: {}\ncpu_share: {}\n\
                 checks_fencing: {}\nlease_ms: 3000\ngrace_s: 8\nretry_ratio: 0.2\n\
                 retry_window_s: 10\nretry_extra: 52\nload_window_s: 5\nload_overage: 1.1\n\
                 max_ttl_s: 5\n",
                of_vm[0],
                of_vm[1],
                of_vm[2],
                of_vm[3],
                of_vm[4],
                store.address,
                options.max_files,
                options.memory_mb,
                options.cpu_share,
                options.checks_fencing,
            );
            let settings = directory.join(format!("{name}.yaml"));
            fs::write(&settings, text)?;
            let mut vm = Self {
                log: directory.join(format!("{name}.log")),
                name,
                callers: of_vm[0],
                ready: of_vm[1],
                settings,
                child: None,
            };
            vm.run()?;
            vms.push(vm);
        }
        Ok(vms)
    }

    /// Starts the process with the command of the deploy file.
    pub fn run(&mut self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new("target/release/almondbank")
            .arg("gateway")
            .env("ALMONDBANK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&mut self) {
        // The library has no call for it, and `kill` is a command of every system.
        let id = self.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Resident memory of the process, in bytes.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) * 1024
    }

    pub fn is_ready(&self) -> bool {
        let request = Request {
            method: "GET".to_owned(),
            target: "/v1/ready".to_owned(),
            headers: vec![("Host".to_owned(), self.ready.to_string())],
            body: Vec::new(),
        };
        let timeout = Duration::from_secs(1);
        let Ok(mut connection) = Connection::open(self.ready, timeout) else {
            return false;
        };
        let response = connection
            .send(&request)
            .and_then(|()| connection.receive());
        response.is_ok_and(|response| response.status == 200)
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all VMs are ready.
pub fn wait_ready(vms: &[Vm], record: &Record) -> bool {
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        if vms.iter().all(Vm::is_ready) {
            record.line("all processes are ready");
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record.say("the processes are not ready in time");
    false
}
