//! Log lines on standard error.
use crate::base::time::Tick;
use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;

struct Lines;

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }
    fn log(&self, record: &Record<'_>) {
        // A log that can't be written must not stop the work.
        let _ = writeln!(
            std::io::stderr().lock(),
            "{} {:<5} {}: {}",
            Tick::now().0 - 60_000,
            record.level(),
            record.target(),
            record.args()
        );
    }
    fn flush(&self) {}
}

pub fn start(level: LevelFilter) {
    static LINES: Lines = Lines;
    // A second start in one process keeps the first.
    let _ = log::set_logger(&LINES);
    log::set_max_level(level);
    Tick::now();
}
