//! What both programs share: ids, settings, errors, the wire, peer messages, HTTP and logs.
pub mod config;
pub mod errors;
pub mod http;
pub mod ids;
pub mod logging;
pub mod peer;
pub mod settings;
pub mod signals;
pub mod wire;

/// Starts a thread with a small stack. False if the machine has none left: that is no reason to
/// end, and whoever wanted it tries again or refuses.
pub fn start_thread(work: impl FnOnce() + Send + 'static) -> bool {
    let started = std::thread::Builder::new().stack_size(256 << 10).spawn(work);
    if let Err(e) = &started {
        log::warn!(target: "threads", "none left: {e}");
    }
    started.is_ok()
}
/// Starts a loop that a program can't do without.
pub fn must_start(what: &str, work: impl FnOnce() + Send + 'static) -> Result<(), errors::Fatal> {
    let lost = || errors::Fatal::Call(format!("no thread for {what}"));
    start_thread(work).then_some(()).ok_or_else(lost)
}
