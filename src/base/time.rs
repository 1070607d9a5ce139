//! Time on the monotonic clock.
//!
//! State machines that perform no I/O are passed the current [`Tick`]; only the loops and threads
//! that drive them read the clock.
use std::sync::OnceLock;
use std::time::Instant;

/// A point in time, in milliseconds on the monotonic clock of this process. Ticks of different
/// processes are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tick(pub u64);

impl Tick {
    /// The start of the process. Greater than zero, so that durations can be subtracted from early
    /// ticks, and zero can stand for "never".
    pub(crate) const START: Tick = Tick(60_000);

    /// Reads the clock; the first reading in a process is `START`.
    pub fn now() -> Self {
        static ORIGIN: OnceLock<Instant> = OnceLock::new();
        let elapsed = ORIGIN.get_or_init(Instant::now).elapsed();
        Self::START.plus(elapsed.as_millis() as u64)
    }
    /// The tick `ms` milliseconds later.
    pub fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
    /// The milliseconds since `earlier`; 0 if `earlier` is in the future.
    pub fn since(self, earlier: Tick) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
