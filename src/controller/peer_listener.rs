//! Accepts connections on the peer port and reads their frames.
//!
//! A worker pool thread reads each connection and reports its opening, its frames and its end to
//! the controller's event queue. Writing is done in `peer_connections`.
use crate::base::errors::Fatal;
use crate::base::worker_pool::{start_loop_thread, start_thread};
use crate::controller::effects::Input;
use crate::controller::transport::Event;
use crate::net::rpc::pooler_messages::ToController;
use crate::net::rpc::{Frame, ReceivedFrame, receive_with_layout};
use crate::net::sockets::{configure_stream, enable_keep_alive, listen};
use log::warn;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;

/// Time without TCP acknowledgements after which a peer is considered unreachable and its
/// connection is dropped.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after a failed `accept`, which mostly means a lack of file descriptors. Avoids a busy
/// loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Size of the read buffer of a connection. Most frames are far smaller.
const READ_BUFFER_BYTES: usize = 4096;

/// Listens on the peer port and serves up to `max_connections` connections at a time. Further ones
/// are refused.
///
/// The accepting thread is never joined: it blocks in the kernel and ends with the process. The
/// reading threads end when their connection or the event queue is closed.
///
/// # Errors
/// If the address can't be bound or no thread is available.
pub(crate) fn accept_peers(
    address: SocketAddr,
    max_connections: usize,
    events: Sender<Event>,
) -> Result<(), Fatal> {
    let listener = listen(address)?;
    let next_id = AtomicU64::new(1);
    // Each connection holds a clone, so the reference count gives the number of open connections.
    let open_connections = Arc::new(());
    start_loop_thread("peers", move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(ACCEPT_RETRY_DELAY);
                continue;
            };
            if Arc::strong_count(&open_connections) > max_connections {
                continue;
            }
            let connection_count_guard = Arc::clone(&open_connections);
            let id = next_id.fetch_add(1, Ordering::Relaxed);
            let events = events.clone();
            start_thread(move || {
                let _connection_count_guard = connection_count_guard;
                serve_peer(id, stream, &events);
            });
        }
    })
}

/// Reads frames from a connection until it ends and reports them to the event queue.
fn serve_peer(id: u64, stream: TcpStream, events: &Sender<Event>) {
    let Ok(writer) = configure_socket(&stream) else { return };
    if events.send(Event::Accepted(id, writer)).is_err() {
        return;
    }
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    loop {
        match receive_with_layout(&mut reader) {
            Ok(received) => {
                if report_frame(id, received, events).is_err() {
                    return;
                }
            }
            Err(e) => {
                if e.kind() == io::ErrorKind::InvalidData {
                    warn!(target: "peers", "closed connection {id}: invalid frame: {e}");
                }
                break;
            }
        }
    }
    // The controller's thread may have ended already, if the process is exiting.
    let _ = events.send(Event::Input(Input::Closed(id)));
}

/// Sets the socket options and returns a second handle for writing.
fn configure_socket(stream: &TcpStream) -> io::Result<TcpStream> {
    configure_stream(stream, UNREACHABLE_TIMEOUT)?;
    enable_keep_alive(stream, UNREACHABLE_TIMEOUT)?;
    stream.try_clone()
}

/// Error: the controller's thread has ended, because the process is exiting.
struct ControllerEnded;

fn report_frame(
    id: u64,
    received: ReceivedFrame,
    events: &Sender<Event>,
) -> Result<(), ControllerEnded> {
    let ReceivedFrame { frame, sender_layout } = received;
    let layout = match &frame {
        Frame::Raft { message, .. } => Some(Input::PeerLayout(message.from, sender_layout)),
        Frame::Join { member, .. } => Some(Input::PeerLayout(member.id, sender_layout)),
        Frame::Pooler(ToController::Hello { .. }) => Some(Input::NodeLayout(id, sender_layout)),
        _ => None,
    };
    if let Some(layout) = layout {
        events.send(Event::Input(layout)).map_err(|_| ControllerEnded)?;
    }
    events.send(Event::Input(Input::Frame(id, frame))).map_err(|_| ControllerEnded)
}
