//! A small deployment: the store, the operator's desired state and the gateway processes.

use std::fs::File;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "desk.example";

/// Lines of `record.txt`, each with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &str) -> io::Result<Self> {
        let file = File::create(PathBuf::from(folder).join("record.txt"))?;
        Ok(Self { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

/// One gateway process.
pub struct Gateway {
    settings: PathBuf,
    log: PathBuf,
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
}

/// Store, runners' hosts and gateways on loopback addresses of this process.
pub struct System {
    pub store: Store,
    pub gateways: Vec<Gateway>,
    /// First three numbers of all addresses.
    net: String,
    folder: PathBuf,
    /// Address of the first gateway for the others.
    seed: Option<SocketAddr>,
}

impl System {
    /// Starts the store with the desired state, and `count` gateways.
    pub fn start(count: usize, desired: &str) -> io::Result<Self> {
        let process = std::process::id();
        let net = format!("127.{}.{}", 20 + process % 200, process / 200 % 250);
        let store = Store::start(&format!("{net}.250"))?;
        store.put("op", "config", desired);
        let folder = std::env::temp_dir().join(format!("almondbank-review-{process}"));
        std::fs::create_dir_all(&folder)?;
        let mut system = Self { store, gateways: Vec::new(), net, folder, seed: None };
        for number in 1..=count {
            system.add(number)?;
        }
        Ok(system)
    }

    /// Address of the host with this number.
    pub fn host(&self, number: usize) -> String {
        format!("{}.{number}", self.net)
    }

    fn add(&mut self, number: usize) -> io::Result<()> {
        let host = self.host(number);
        let [callers, ready, peers, directory, metrics] = free_addresses(&host)?;
        let seed = *self.seed.get_or_insert(peers);
        // What `platform/settings.yaml` becomes, with the bounds of a site of six machines.
        let text = format!(
            "instance: entry-{number}\ndata_centre: zone-a\ncallers_listen: {callers}\n\
             ready_listen: {ready}\npeers_listen: {peers}\ndirectory_listen: {directory}\n\
             metrics_listen: {metrics}\nstore: {}\nseeds: [\"{seed}\"]\nmax_files: 4100\n\
             cpu_share: 0.25\nchecks_fencing: true\nlease_ms: 3000\ngrace_s: 8\nretry_ratio: 0.2\n\
             retry_window_s: 10\nretry_extra: 52\nload_window_s: 5\nload_overage: 1.1\nmax_ttl_s: 5\n",
            self.store.address
        );
        let settings = self.folder.join(format!("entry-{number}.yaml"));
        std::fs::write(&settings, text)?;
        let mut gateway = Gateway {
            settings,
            log: self.folder.join(format!("entry-{number}.log")),
            callers,
            ready,
            child: None,
        };
        gateway.start()?;
        self.gateways.push(gateway);
        Ok(())
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.gateways.iter().all(Gateway::is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Gateway {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/almondbank")
            .arg("gateway")
            .env_clear()
            .env("ALMONDBANK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        http::status_of(self.ready, "/v1/ready") == Some(200)
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

// Addresses of `host` with ports that were free.
fn free_addresses(host: &str) -> io::Result<[SocketAddr; 5]> {
    let listen = |_| TcpListener::bind((host, 0));
    let listeners: io::Result<Vec<_>> = (0..5).map(listen).collect();
    let addresses = listeners?.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
    addresses.try_into().map_err(|_| io::ErrorKind::Other.into())
}

/// A route of the desired state.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u32, aim_ms: u32, resumable: bool) -> String {
    let attempts = if resumable || kind == "idempotent" { 2 } else { 1 };
    format!(
        "{{\"name\":\"{0}\",\"host\":\"{HOST}\",\"prefix\":\"/{0}/\",\"kind\":\"{kind}\",\
         \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{aim_ms},\"priority\":2,\
         \"service\":\"{service}\",\"maxAttempts\":{attempts},\"sticky\":{1},\
         \"resumable\":{resumable},\"gapAimMs\":500}}",
        prefix,
        kind == "stream"
    )
}

/// A desired state with these routes, and the service `engines` for `models`.
pub fn desired(routes: &[String], models: &[&str], load_s: f64) -> String {
    let models = models.iter().map(|model| {
        format!(
            "{{\"name\":\"{model}\",\"weightsMb\":65100.0,\"loadTimeS\":{load_s},\"adapters\":28,\
             \"adapterMb\":12.0,\"warmS\":0.3,\"diskS\":0.4}}"
        )
    });
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"engines\",\
         \"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":251947,\"weightsMb\":230000.0,\
         \"adapterSlots\":8,\"loadsPerS\":1.6,\"models\":[{}]}}}},\
         {{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConnections\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        models.collect::<Vec<_>>().join(",")
    )
}
