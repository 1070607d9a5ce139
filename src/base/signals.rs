//! The signals that a process listens to.
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

#[derive(Clone, Default)]
pub struct Signals {
    term: Arc<AtomicBool>,
    hup: Arc<AtomicBool>,
}

impl Signals {
    pub fn install() -> std::io::Result<Self> {
        let signals = Self::default();
        for (signal, flag) in [
            (signal_hook::consts::SIGTERM, &signals.term),
            (signal_hook::consts::SIGINT, &signals.term),
            (signal_hook::consts::SIGHUP, &signals.hup),
        ] {
            signal_hook::flag::register(signal, Arc::clone(flag))?;
        }
        Ok(signals)
    }
    pub fn terminated(&self) -> bool {
        self.term.load(Ordering::Relaxed)
    }
    /// True once for each time the settings were said to have changed.
    pub fn take_hup(&self) -> bool {
        self.hup.swap(false, Ordering::Relaxed)
    }
}
