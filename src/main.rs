//! Process entry of silvertack: arguments in, exit code out.
mod cli;

use clap::Parser;
use silvertack::base::logging;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = cli::Arguments::parse();
    logging::start(arguments.log);
    match cli::run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("silvertack: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
