//! The `gateway` command, which runs a gateway on the users' platform.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use almondbank_gateway::Instance;
use almondbank_port::clock::{self, Clock};
use almondbank_wire::gateway::{self, Settings};
use almondbank_wire::reading::{self, Reading};
use getopts::Options;
use tokio::runtime;

use crate::log_output::{Flush, Output};
use crate::signals::{Signal, Signals};
use crate::{Failure, json_log, open_files, print};

/// Name of the command on the command line.
pub(crate) const COMMAND: &str = "gateway";

/// Environment variable with the path of the settings file, read if `--settings`
/// is not given.
const SETTINGS_VARIABLE: &str = "ALMONDBANK_CONFIG";
/// Interval at which the settings file is checked for changes.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);
/// Time from one attempt to read the settings at the start to the next.
const SETTINGS_RETRY: Duration = Duration::from_millis(100);
/// Attempts from one log line to the next, 10 s.
const ATTEMPTS_PER_REPORT: u32 = 100;

pub(crate) fn run() -> Result<(), Failure> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("s", "settings", "path of the settings file (YAML)", "FILE");
    options.optflag("", "check", "check the settings and exit");
    let arguments: Vec<String> = std::env::args().skip(2).collect();
    let matches = options.parse(&arguments)?;
    if matches.opt_present("help") {
        let usage = "Usage: almondbank gateway [--settings FILE] [--check]";
        return print(&options.usage(usage));
    }
    let path = matches
        .opt_str("settings")
        .or_else(|| std::env::var(SETTINGS_VARIABLE).ok())
        .ok_or_else(|| Failure::NoSettings(SETTINGS_VARIABLE))?;
    let path = PathBuf::from(path);
    if matches.opt_present("check") {
        let settings = check(&path)?;
        for (earlier, later) in settings.listen.conflicts() {
            let path = path.display();
            print(&format!(
                "{path}: warning: {later}: is the address of {earlier}\n"
            ))?;
        }
        return print(&format!("{}: ok\n", path.display()));
    }
    open_files::raise_for_start();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        // Comes before all else that takes time: a signal without a handler ends the process.
        let signals = Signals::install();
        let output = json_log::set_up(log::LevelFilter::Info)?;
        let _flush = Flush(output.clone());
        tokio::spawn(output.clone().keep_writing(Arc::new(clock::System::new())));
        log::info!(version = env!("CARGO_PKG_VERSION"), pid = std::process::id(); "starting");
        let ended = serve(&path, signals, output).await;
        ended.inspect_err(|error| log::error!(error:% = error; "failed to start"))
    })
}

fn read_text(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| Failure::Read(path.display().to_string(), error))
}

fn check(path: &Path) -> Result<Settings, Failure> {
    let settings = gateway::parse(&read_text(path)?);
    settings.map_err(|error| Failure::Settings(path.display().to_string(), error))
}

fn read(path: &Path) -> Result<Reading, Failure> {
    let reading = reading::read(&read_text(path)?);
    reading.map_err(|error| Failure::Settings(path.display().to_string(), error))
}

// Reads the settings once they are valid. A process that ended because they are not would end
// again with each start, and a file that is not valid may still be being written.
async fn read_complete(path: &Path, clock: &dyn Clock) -> Settings {
    let mut attempts = 0_u32;
    loop {
        match read(path) {
            Ok(reading) => return report_findings(reading),
            Err(error) if attempts == 0 => {
                log::warn!(error:% = error; "settings are not valid; reading them again");
            }
            Err(error) if attempts.is_multiple_of(ATTEMPTS_PER_REPORT) => {
                log::error!(error:% = error; "settings are not valid; reading them again");
            }
            Err(_) => {}
        }
        attempts = attempts.wrapping_add(1);
        clock.sleep(SETTINGS_RETRY).await;
    }
}

fn report_findings(reading: Reading) -> Settings {
    for finding in &reading.findings {
        log::warn!(
            setting = finding.path.as_str(), reason = finding.reason.as_str();
            "setting is not valid; another value is used"
        );
    }
    reading.settings
}

async fn serve(path: &Path, mut signals: Signals, output: Output) -> Result<(), Failure> {
    let clock = clock::System::new();
    let settings = tokio::select! {
        settings = read_complete(path, &clock) => settings,
        signal = signals.end() => {
            log::info!("received {signal} before the settings were complete");
            return Ok(());
        }
    };
    log::set_max_level(settings.log);
    let limited = Settings {
        max_files: open_files::raise_limit(settings.max_files),
        ..settings.clone()
    };
    let ports = almondbank_platform::ports(&limited);
    let clock = Arc::clone(&ports.clock);
    let instance = Instance::start(limited, ports)?;
    instance.export_log_status(move || output.status());
    let signal = follow_settings(&mut signals, settings, path, clock).await;
    log::info!("received {signal}; shutting down");
    instance.shutdown().await;
    Ok(())
}

// Reloads the settings file on SIGHUP and when it changes, until a signal ends the process.
// Only the log level takes effect at once; all other settings take effect at the next start.
async fn follow_settings(
    signals: &mut Signals,
    mut settings: Settings,
    path: &Path,
    clock: Arc<dyn Clock>,
) -> Signal {
    let mut modified = modified_at(path);
    loop {
        let cause = tokio::select! {
            signal = signals.next() => match signal {
                Signal::Hangup => "signal",
                Signal::Terminate | Signal::Interrupt | Signal::Quit => return signal,
            },
            () = clock.sleep(SETTINGS_INTERVAL) => "file",
        };
        let latest = modified_at(path);
        if cause == "file" && latest == modified {
            continue;
        }
        modified = latest;
        match read(path) {
            Ok(reading) => {
                let new = report_findings(reading);
                log::info!(cause, changed = new != settings; "settings reloaded");
                log::set_max_level(new.log);
                settings = new;
            }
            Err(error) => log::warn!(cause, error:% = error; "failed to reload settings"),
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}
