//! Log lines on standard error.
//!
//! The process entry starts it once; all other modules log through the `log` crate's macros. A line
//! is the milliseconds since the start, the level, the target and the message.
use crate::base::time::Tick;
use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;

struct StderrLogger;

impl Log for StderrLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }
    fn log(&self, record: &Record<'_>) {
        // A log that can't be written must not stop the work.
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

/// Begins to log what is at `level` or more severe. A second call only changes the level.
pub fn start(level: LevelFilter) {
    static LOGGER: StderrLogger = StderrLogger;
    // A second logger is refused: the first goes on.
    let _ = log::set_logger(&LOGGER);
    log::set_max_level(level);
    // The first reading of the clock is the start of time.
    Tick::now();
}
