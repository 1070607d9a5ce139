//! Accepts connections on the peer port and reads their frames.
//!
//! Each connection has a thread that reads, on the worker pool, and tells the controller's event
//! queue of its beginning, its frames and its end. Writing is `peer_connections`' part.
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

/// A peer whose machine does not acknowledge for so long has gone: its connection is given up.
const UNREACHABLE_LIMIT: Duration = Duration::from_secs(3);

/// Pause after a failed `accept`, mostly for lack of file descriptors, so as not to spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bytes read at once from a peer; most frames are far smaller.
const READ_BUFFER_BYTES: usize = 4096;

/// Listens on the peer port and serves up to `max_connections` at a time, refusing those beyond.
///
/// The thread that accepts has no owner that joins it: it waits in the kernel for connections and
/// ends with the process. The threads that read end with their connection, or once the event queue
/// is gone.
///
/// # Errors
/// If the address can't be listened on, or there is no thread for it.
pub(crate) fn accept_peers(
    address: SocketAddr,
    max_connections: usize,
    events: Sender<Event>,
) -> Result<(), Fatal> {
    let listener = listen(address)?;
    let next_id = AtomicU64::new(1);
    // Each connection holds a clone; their count is the number of open connections.
    let open = Arc::new(());
    start_loop_thread("peers", move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            if Arc::strong_count(&open) > max_connections {
                continue;
            }
            let counted = Arc::clone(&open);
            let id = next_id.fetch_add(1, Ordering::Relaxed);
            let events = events.clone();
            start_thread(move || {
                let _counted = counted;
                serve_peer(id, stream, &events);
            });
        }
    })
}

/// Reads a connection to its end and reports what comes over it.
fn serve_peer(id: u64, stream: TcpStream, events: &Sender<Event>) {
    let Ok(writer) = prepare(&stream) else { return };
    if events.send(Event::Opened(id, writer)).is_err() {
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
                    warn!(target: "peers", "closed a connection: {e}");
                }
                break;
            }
        }
    }
    // The controller may have ended already, as the process does.
    let _ = events.send(Event::Input(Input::Closed(id)));
}

/// Sets the socket's options; gives a second handle on it, for writing.
fn prepare(stream: &TcpStream) -> io::Result<TcpStream> {
    configure_stream(stream, UNREACHABLE_LIMIT)?;
    enable_keep_alive(stream, UNREACHABLE_LIMIT)?;
    stream.try_clone()
}

/// The controller's thread has ended, as the process does.
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
