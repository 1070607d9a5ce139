//! The logger of the process, which writes to standard error.
//!
//! `main` installs it; all other modules log through the macros of the `log` crate. A line contains
//! the milliseconds since the start of the process, the level, the target and the message.
use crate::base::time::Tick;
use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;

struct StderrLogger;

impl Log for StderrLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }
    fn log(&self, record: &Record<'_>) {
        // Failing to write a log line must not affect the process.
        let _ = writeln!(
            std::io::stderr().lock(),
            "{} {:<5} {}: {}",
            Tick::now().since(Tick::START),
            record.level(),
            record.target(),
            record.args()
        );
    }
    fn flush(&self) {}
}

/// Installs the logger for messages at `level` or more severe. A second call only changes the
/// level.
pub fn start(level: LevelFilter) {
    static LOGGER: StderrLogger = StderrLogger;
    // Fails if a logger is installed already, which then stays in use.
    let _ = log::set_logger(&LOGGER);
    log::set_max_level(level);
    // The first reading of the clock defines the start of the process.
    Tick::now();
}
