//! The signals that a process reacts to: SIGTERM and SIGINT end it, SIGHUP reloads its settings.
//!
//! Each node's main loop polls them; nothing runs in a signal handler but the setting of a flag.
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Which signals have come. Clones share their state.
#[derive(Clone, Default)]
pub struct Signals {
    terminate: Arc<AtomicBool>,
    hangup: Arc<AtomicBool>,
}

impl Signals {
    /// Registers the handlers.
    ///
    /// # Errors
    /// If the operating system refuses one.
    pub fn install() -> std::io::Result<Self> {
        let signals = Self::default();
        for (signal, flag) in
            [(SIGTERM, &signals.terminate), (SIGINT, &signals.terminate), (SIGHUP, &signals.hangup)]
        {
            signal_hook::flag::register(signal, Arc::clone(flag))?;
        }
        Ok(signals)
    }
    /// Whether the process has been asked to end; stays true.
    pub fn terminated(&self) -> bool {
        self.terminate.load(Ordering::Relaxed)
    }
    /// Whether SIGHUP has come since the last call.
    pub fn take_hup(&self) -> bool {
        self.hangup.swap(false, Ordering::Relaxed)
    }
}
