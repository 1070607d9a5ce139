//! Signal handling: SIGTERM and SIGINT request a graceful shutdown, SIGHUP a reload of the
//! settings.
//!
//! The signal handlers only set flags, which the main loop of each node polls.
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Flags for the received signals. Clones share their state.
#[derive(Clone, Default)]
pub struct Signals {
    terminate: Arc<AtomicBool>,
    hangup: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// If the operating system refuses a handler.
    pub fn install() -> std::io::Result<Self> {
        let signals = Self::default();
        for (signal, flag) in
            [(SIGTERM, &signals.terminate), (SIGINT, &signals.terminate), (SIGHUP, &signals.hangup)]
        {
            signal_hook::flag::register(signal, Arc::clone(flag))?;
        }
        Ok(signals)
    }
    /// Whether SIGTERM or SIGINT has been received. Never becomes false again.
    pub fn termination_requested(&self) -> bool {
        self.terminate.load(Ordering::Relaxed)
    }
    /// Whether SIGHUP has been received since the last call.
    pub fn take_hangup(&self) -> bool {
        self.hangup.swap(false, Ordering::Relaxed)
    }
}
