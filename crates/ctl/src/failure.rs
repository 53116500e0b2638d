//! Why a command failed, and its exit code.

use std::fmt::Write;

use almondbank_wire::operator;
use quick_error::quick_error;

const FAILED: u8 = 1;
const USAGE: u8 = 2;
const MISTAKES: u8 = 3;
const CONFLICT: u8 = 4;
const KEY_REFUSED: u8 = 5;
const DIFFERENT: u8 = 6;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Failure {
        Usage(reason: String) {
            display("{}; --help tells more", reason)
        }
        Options(source: getopts::Fail) {
            display("{}; --help tells more", source)
            from()
        }
        Read(path: String, source: std::io::Error) {
            display("cannot read {}: {}", path, source)
        }
        Document(path: String, source: almondbank_wire::Error) {
            display("{}: {}", path, source)
        }
        Refused(refusal: Box<operator::Refusal>) {
            display("{}{}", refusal.detail, mistakes(refusal))
        }
        Unreachable(source: almondbank_port::Error) {
            display("no instance answered: {}", source)
        }
        Unexpected(status: u16) {
            display("answer with status {} not understood", status)
        }
        Different {
            display("the documents differ")
        }
        Runtime(source: std::io::Error) {
            display("cannot start: {}", source)
        }
    }
}

impl Failure {
    /// The exit code that tells scripts what happened.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Options(_) => USAGE,
            Self::Document(..) => MISTAKES,
            Self::Different => DIFFERENT,
            Self::Refused(refusal) => match refusal.code.as_str() {
                "invalid_document" => MISTAKES,
                "conflict" => CONFLICT,
                "unknown_key" => KEY_REFUSED,
                _ => FAILED,
            },
            _ => FAILED,
        }
    }
}

fn mistakes(refusal: &operator::Refusal) -> String {
    let mut text = String::new();
    for mistake in &refusal.mistakes {
        let _ = write!(text, "\n  {}: {}", mistake.path, mistake.reason);
    }
    text
}
