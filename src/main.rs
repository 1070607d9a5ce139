//! The entry point of the `silvertack` program: parses the arguments, runs the command and sets the
//! exit code.
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
