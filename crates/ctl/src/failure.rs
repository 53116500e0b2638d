//! Errors of the commands and their exit codes.

use std::fmt::Write;

use almondbank_wire::operator;
use quick_error::quick_error;

const FAILED: u8 = 1;
const USAGE: u8 = 2;
const INVALID_DOCUMENT: u8 = 3;
const CONFLICT: u8 = 4;
const UNKNOWN_KEY: u8 = 5;
const DIFFERENT: u8 = 6;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Failure {
        Usage(reason: String) {
            display("{}; see --help", reason)
        }
        Options(source: getopts::Fail) {
            display("{}; see --help", source)
            from()
        }
        Read(path: String, source: std::io::Error) {
            display("cannot read {}: {}", path, source)
        }
        Document(path: String, source: almondbank_wire::Error) {
            display("{}: {}", path, source)
        }
        Refused(refusal: Box<operator::Refusal>) {
            display("{}{}", refusal.detail, list_mistakes(refusal))
        }
        Unreachable(source: almondbank_port::Error) {
            display("no instance responded: {}", source)
        }
        Unexpected(status: u16) {
            display("unexpected response with status {}", status)
        }
        Different {
            display("the documents differ")
        }
        Runtime(source: std::io::Error) {
            display("cannot start the async runtime: {}", source)
        }
    }
}

impl Failure {
    /// Returns the exit code, by which scripts distinguish the kinds of failure.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Options(_) => USAGE,
            Self::Document(..) => INVALID_DOCUMENT,
            Self::Different => DIFFERENT,
            Self::Refused(refusal) => match refusal.code.as_str() {
                "invalid_document" => INVALID_DOCUMENT,
                "conflict" => CONFLICT,
                "unknown_key" => UNKNOWN_KEY,
                _ => FAILED,
            },
            _ => FAILED,
        }
    }
}

fn list_mistakes(refusal: &operator::Refusal) -> String {
    let mut text = String::new();
    for mistake in &refusal.mistakes {
        let _ = write!(text, "\n  {}: {}", mistake.path, mistake.reason);
    }
    text
}
