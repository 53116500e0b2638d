//! The operators' command line.

mod client;
mod command;
mod failure;
mod render;

use std::process::ExitCode;

use getopts::Options;

use crate::command::Command;
use crate::failure::Failure;

const BRIEF: &str = "\
Usage: almondbankctl [OPTIONS] COMMAND

Commands:
  check FILE              check a document without sending it
  apply FILE              make a document the newest of its environment
  get                     print the newest document, or --revision N
  diff FILE               compare a document with the newest one
  promote --from ENV      make the newest document of ENV the newest here
  history                 print the audit trail
  status                  print what an instance knows of itself and the others
  where [MODEL]           print the replicas
  drain RUNNER            keep new work from a runner; --undo ends that
  leave                   have the first --entry leave, as before a replacement

Exit codes: 0 done, 1 failed, 2 usage, 3 mistakes in the document, 4 another
change came first, 5 key refused, 6 the documents differ.";

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(run()),
        Err(error) => Err(Failure::Runtime(error)),
    };
    match outcome {
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
    options.optopt("n", "environment", "the environment", "NAME");
    options.optopt("k", "key-file", "file with the operator's key", "FILE");
    options.optopt("b", "base", "revision that the change was made from", "N");
    options.optopt("r", "revision", "revision to print or promote", "N");
    options.optopt("f", "from", "environment to promote from", "NAME");
    options.optflag("u", "undo", "end a drain");
    options.optflag("j", "json", "print JSON");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}
