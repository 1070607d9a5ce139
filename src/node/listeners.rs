//! The listeners of a node.
use crate::base::errors::Fatal;
use crate::base::worker_pool::start_loop_thread;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The pause after a client could not be accepted, which happens when no descriptor is left.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// The address of a listener that a node in this role can't do without.
///
/// # Errors
/// If the settings don't name it.
pub(crate) fn required_listener(
    address: Option<SocketAddr>,
    name: &str,
    role: &str,
) -> Result<SocketAddr, Fatal> {
    address.ok_or_else(|| Fatal::Settings(format!("listeners.{name} is needed by a {role}")))
}

/// Starts a thread that accepts clients until the process ends.
///
/// # Errors
/// If the machine has no thread left.
pub(crate) fn accept_clients(
    listener: TcpListener,
    admit: impl Fn(TcpStream) + Send + 'static,
) -> Result<(), Fatal> {
    start_loop_thread("clients", move || {
        for stream in listener.incoming() {
            match stream {
                Ok(stream) => admit(stream),
                Err(_) => std::thread::sleep(ACCEPT_ERROR_PAUSE),
            }
        }
    })
}
