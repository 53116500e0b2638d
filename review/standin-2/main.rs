//! Stand-ins of clients, servers and the platform, and the cases that use them:
//! `standin-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. With `TROUBLE=0` a case runs without its disruption.

mod cases;
mod http;
mod json;
mod record;
mod runner;
mod store;
mod system;

use std::process::ExitCode;

use record::Record;

/// Outcome of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(path) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let outcome = match std::fs::create_dir_all(&directory) {
        Ok(()) => cases::run(case, &directory, has_trouble, &record),
        Err(error) => Err(error),
    };
    let outcome = outcome.unwrap_or_else(|error| {
        record.say(&format!("could not run: {error}"));
        Outcome::CouldNotRun
    });
    record.say(&format!("outcome: {outcome:?}"));
    record.flush();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&directory);
    }
    ExitCode::from(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CouldNotRun => 2,
    })
}
