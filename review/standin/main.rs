//! Plays one case of the review: `standin CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod caller;
mod cases;
mod http;
mod json;
mod runner;
mod store;
mod system;

use std::process::ExitCode;

use cases::crashing_part::Variant;

/// Result of a case: whether the rule held, or why it could not run.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match system::Record::create(folder) {
        Ok(record) => std::sync::Arc::new(record),
        Err(error) => {
            eprintln!("record.txt cannot be written: {error}");
            return ExitCode::from(2);
        }
    };
    let is_disturbed = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, disruption: {is_disturbed}"));
    let play = || match case.as_str() {
        "origin" => cases::origin::play(&record, is_disturbed),
        "crashing_part" => cases::crashing_part::play(&record, is_disturbed, Variant::Begun),
        "long_prompt" => cases::crashing_part::play(&record, is_disturbed, Variant::Long),
        "endless_heads" => cases::endless_heads::play(&record, is_disturbed),
        "adapter" => cases::adapter::play(&record, is_disturbed),
        "abandoned" => cases::abandoned::play(&record, is_disturbed),
        other => Err(format!("no case {other}")),
    };
    // The processes that were started end when the case is unwound.
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play))
        .unwrap_or_else(|_| Err("the stand-in failed".to_owned()));
    let (text, code) = match verdict {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
