//! The `almondbank` binary: the daemon, and the gateway command.

mod gateway;
mod json_log;
mod log_output;
mod log_writer;
mod open_files;
mod signals;

use std::io::{self, Write};
use std::process::ExitCode;
use std::sync::Arc;

use almondbank_port::clock;
use almondbank_wire::settings;
use getopts::Options;
use quick_error::quick_error;

use crate::log_output::{Flush, Output};
use crate::log_writer::Gap;
use crate::signals::Signals;

const EXIT_USAGE: u8 = 2;
const EXIT_SETTINGS: u8 = 3;
const EXIT_FAILED: u8 = 1;

quick_error! {
    #[derive(Debug)]
    enum Failure {
        Usage(source: getopts::Fail) {
            display("{}", source)
            from()
        }
        NoSettings(variable: &'static str) {
            display("no settings file: pass --settings or set {}", variable)
        }
        Read(path: String, source: std::io::Error) {
            display("cannot read {}: {}", path, source)
        }
        Settings(path: String, source: almondbank_wire::Error) {
            display("{}: {}", path, source)
        }
        Log(source: log::SetLoggerError) {
            display("failed to set up the log: {}", source)
            from()
        }
        Runtime(source: std::io::Error) {
            display("failed to start: {}", source)
            from()
        }
        Print(source: std::io::Error) {
            display("failed to print: {}", source)
        }
        Daemon(source: almondbank::Error) {
            display("{}", source)
            from()
        }
        Gateway(source: almondbank_gateway::Error) {
            display("{}", source)
            from()
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            // The exit code remains, if nothing can be printed.
            let _ = writeln!(io::stderr(), "almondbank: {failure}");
            ExitCode::from(match failure {
                Failure::Usage(_) => EXIT_USAGE,
                Failure::NoSettings(_) | Failure::Read(..) | Failure::Settings(..) => EXIT_SETTINGS,
                _ => EXIT_FAILED,
            })
        }
    }
}

fn run() -> Result<(), Failure> {
    if std::env::args().nth(1).as_deref() == Some(gateway::COMMAND) {
        return gateway::run();
    }
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.reqopt("s", "settings", "path of the settings file (YAML)", "FILE");
    options.optflag("", "check", "check the settings and exit");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.iter().any(|a| a == "-h" || a == "--help") {
        let usage = "Usage: almondbank --settings FILE [--check]\n       almondbank gateway [--settings FILE] [--check]";
        return print(&options.usage(usage));
    }
    if arguments.iter().any(|a| a == "-V" || a == "--version") {
        return print(&format!("almondbank {}\n", env!("CARGO_PKG_VERSION")));
    }
    let matches = options.parse(&arguments)?;
    let path = matches.opt_str("settings").unwrap_or_default();
    let text =
        std::fs::read_to_string(&path).map_err(|error| Failure::Read(path.clone(), error))?;
    let settings =
        settings::parse(&text).map_err(|error| Failure::Settings(path.clone(), error))?;
    if matches.opt_present("check") {
        return print(&format!("{path}: ok\n"));
    }
    open_files::raise_for_start();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let signals = Signals::install();
        let output = set_up_log(&settings.log)?;
        let _flush = Flush(output.clone());
        let clock = Arc::new(clock::System::new());
        tokio::spawn(output.keep_writing(clock));
        serve(settings, signals).await
    })
}

// `print!` panics if the output cannot be written.
fn print(text: &str) -> Result<(), Failure> {
    let mut stdout = io::stdout().lock();
    let printed = stdout.write_all(text.as_bytes());
    printed
        .and_then(|()| stdout.flush())
        .map_err(Failure::Print)
}

async fn serve(settings: settings::Settings, mut signals: Signals) -> Result<(), Failure> {
    let clock = Arc::new(clock::System::new());
    let daemon = almondbank::Daemon::start(settings, clock).await?;
    let addresses = format!("callers={} peers={}\n", daemon.callers(), daemon.peers());
    if let Err(error) = print(&addresses) {
        log::warn!("{error}");
    }
    tokio::select! {
        signal = signals.end() => log::info!("received {signal}; shutting down"),
        () = daemon.leaving() => log::info!("leaving; shutting down"),
    }
    daemon.shutdown().await;
    log::info!("stopped");
    Ok(())
}

fn set_up_log(level: &str) -> Result<Output, log::SetLoggerError> {
    let output = Output::new(io::stderr(), report);
    let lines = output.clone();
    let level = level.parse().unwrap_or(log::LevelFilter::Info);
    fern::Dispatch::new()
        .format(|out, message, record| {
            let now = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            out.finish(format_args!(
                "{}.{:03} {} {} {message}",
                now.as_secs(),
                now.subsec_millis(),
                record.level(),
                record.target(),
            ));
        })
        .level(log::LevelFilter::Warn)
        .level_for("almondbank", level)
        .level_for("almondbank_control", level)
        .level_for("almondbank_serving", level)
        .level_for("almondbank_port", level)
        .chain(fern::Output::call(move |record| {
            lines.send(format!("{}\n", record.args()));
        }))
        .apply()?;
    Ok(output)
}

fn report(gap: Gap) -> String {
    match gap {
        Gap::Dropped(count) => format!("log lines dropped: {count}\n"),
        Gap::Late { attempts, error } => {
            format!("the log could not be written ({attempts} attempts): {error}\n")
        }
    }
}
