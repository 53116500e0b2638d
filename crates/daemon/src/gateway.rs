//! The command that runs a gateway on the users' platform.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use almondbank_gateway::{Instance, Ports};
use almondbank_platform::{documents, orders, protocol, registrations, store, table};
use almondbank_port::clock::{Clock, System};
use almondbank_wire::gateway::{self, Settings};
use getopts::Options;
use tokio::runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{Failure, json_log};

/// Name of the command.
pub(crate) const COMMAND: &str = "gateway";

/// Names the settings file if no option does.
const SETTINGS_VARIABLE: &str = "ALMONDBANK_CONFIG";
/// Time between two looks at the settings file.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

pub(crate) fn run() -> Result<(), Failure> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt("s", "settings", "the settings, a YAML file", "FILE");
    options.optflag("", "check", "check the settings and exit");
    let arguments: Vec<String> = std::env::args().skip(2).collect();
    let matches = options.parse(&arguments)?;
    if matches.opt_present("help") {
        let usage = "Usage: almondbank gateway [--settings FILE] [--check]";
        print!("{}", options.usage(usage));
        return Ok(());
    }
    let path = matches
        .opt_str("settings")
        .or_else(|| std::env::var(SETTINGS_VARIABLE).ok())
        .ok_or_else(|| Failure::NoSettings(SETTINGS_VARIABLE))?;
    let path = PathBuf::from(path);
    let settings = read(&path)?;
    if matches.opt_present("check") {
        println!("{}: ok", path.display());
        return Ok(());
    }
    json_log::set_up(settings.log)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings, path))
}

fn read(path: &PathBuf) -> Result<Settings, Failure> {
    let name = || path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| Failure::Read(name(), error))?;
    gateway::parse(&text).map_err(|error| Failure::Settings(name(), error))
}

fn ports(settings: &Settings) -> Ports {
    let store = store::Store::new(settings.store);
    Ports {
        protocol: Arc::new(protocol::Protocol),
        documents: Arc::new(documents::Client::new(store.clone())),
        registrations: Arc::new(registrations::Client::new(store.clone())),
        orders: Arc::new(orders::Client::default()),
        table: Arc::new(table::Client::new(store)),
        clock: Arc::new(System::new()),
    }
}

async fn serve(settings: Settings, path: PathBuf) -> Result<(), Failure> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let ports = ports(&settings);
    let clock = Arc::clone(&ports.clock);
    let instance = Instance::start(settings.clone(), ports)?;
    tokio::select! {
        _ = terminate.recv() => log::info!("asked to terminate"),
        _ = interrupt.recv() => log::info!("interrupted"),
        () = follow_settings(hangup, settings, path, clock) => {}
    }
    instance.shutdown().await;
    Ok(())
}

// The log level takes effect at once. Addresses and limits belong to the VM and
// take effect at the next start.
async fn follow_settings(
    mut hangup: Signal,
    mut settings: Settings,
    path: PathBuf,
    clock: Arc<dyn Clock>,
) {
    let mut modified = modification(&path);
    loop {
        let cause = tokio::select! {
            _ = hangup.recv() => "signal",
            () = clock.sleep(SETTINGS_INTERVAL) => "file",
        };
        let seen = modification(&path);
        if cause == "file" && seen == modified {
            continue;
        }
        modified = seen;
        match read(&path) {
            Ok(new) => {
                log::info!(cause, changed = new != settings; "settings reloaded");
                log::set_max_level(new.log);
                settings = new;
            }
            Err(error) => log::warn!(cause, error:% = error; "settings are not reloaded"),
        }
    }
}

fn modification(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}
