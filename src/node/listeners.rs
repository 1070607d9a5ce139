//! The client listener of a node.
use crate::base::errors::Fatal;
use crate::base::worker_pool::start_loop_thread;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The pause after a failed accept, which is usually due to a lack of file descriptors.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Returns the address of a listener that nodes of a role require.
///
/// # Errors
/// [`Fatal::Settings`] if the settings don't contain it.
pub(crate) fn required_listener(
    address: Option<SocketAddr>,
    name: &str,
    role: &str,
) -> Result<SocketAddr, Fatal> {
    address.ok_or_else(|| Fatal::Settings(format!("listeners.{name} is needed by a {role}")))
}

/// Starts a thread that accepts clients and passes them to `admit` until the process ends.
///
/// # Errors
/// [`Fatal::Thread`] if the thread can't be started.
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
