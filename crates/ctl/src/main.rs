//! Command line for operators: applies documents and shows the state of the instances.

mod client;
mod command;
mod failure;
mod path;
mod render;

use std::process::ExitCode;

use getopts::Options;

use crate::command::Command;
use crate::failure::Failure;

const BRIEF: &str = "\
Usage: almondbankctl [OPTIONS] COMMAND

Commands:
  check FILE              check a document without sending it
  apply FILE              make a document the newest one of its environment
  get                     print the newest document, or --revision N
  diff FILE               compare a document with the newest one
  promote --from ENV      apply the document of ENV at --revision to --environment
  history                 print the audit trail
  status                  print the state of an instance and of its peers
  where [MODEL]           print the replicas and their runners
  drain RUNNER            send no new requests to a runner; --undo ends the drain
  leave                   shut down the first reachable --entry, to replace it

Exit codes: 0 done, 1 failed, 2 usage, 3 invalid document, 4 conflict with
another change, 5 key refused, 6 the documents differ.";

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run()),
        Err(error) => Err(Failure::Runtime(error)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("almondbankctl: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

async fn run() -> Result<(), Failure> {
    let options = options();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.iter().any(|a| a == "-h" || a == "--help") {
        print!("{}", options.usage(BRIEF));
        return Ok(());
    }
    if arguments.iter().any(|a| a == "-V" || a == "--version") {
        println!("almondbankctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let matches = options.parse(&arguments)?;
    Command::try_from(&matches)?.run().await
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti("e", "entry", "an instance; tried in order", "IP:PORT");
    options.optopt("n", "environment", "environment of the command", "NAME");
    options.optopt("k", "key-file", "file with the operator's key", "FILE");
    options.optopt("b", "base", "revision that the change is based on", "N");
    options.optopt("r", "revision", "revision to print or promote", "N");
    options.optopt("f", "from", "environment to promote from", "NAME");
    options.optflag("u", "undo", "end a drain");
    options.optflag("j", "json", "print JSON");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}
