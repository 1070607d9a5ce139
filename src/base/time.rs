//! Time on the monotonic clock.
//!
//! The pure cores are handed a [`Tick`]; only loops and threads around them read the clock.
use std::sync::OnceLock;
use std::time::Instant;

/// A moment: milliseconds on the monotonic clock of this process. Means nothing to another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tick(pub u64);

impl Tick {
    /// The process's start. Above zero, so that durations can be subtracted from the first moments
    /// and zero can stand for "never".
    pub(crate) const START: Tick = Tick(60_000);

    /// Reads the clock; the first reading in a process is `START`.
    pub fn now() -> Self {
        static ORIGIN: OnceLock<Instant> = OnceLock::new();
        let elapsed = ORIGIN.get_or_init(Instant::now).elapsed();
        Self::START.plus(elapsed.as_millis() as u64)
    }
    /// The moment so many milliseconds later.
    pub fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
    /// Milliseconds since `earlier`; 0 if that lies ahead.
    pub fn since(self, earlier: Tick) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
