//! Time on the monotonic clock, as a small type of its own.
use std::sync::OnceLock;
use std::time::Instant;

/// Milliseconds on the steady clock since this process began. Means nothing to another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tick(pub u64);

impl Tick {
    pub fn now() -> Self {
        static START: OnceLock<Instant> = OnceLock::new();
        // A start above zero leaves room to look back from the first moments.
        Self(START.get_or_init(Instant::now).elapsed().as_millis() as u64 + 60_000)
    }
    pub fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
    /// Milliseconds since `earlier`, none if that lies ahead.
    pub fn since(self, earlier: Tick) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
