//! Accepts connections on the peer port.
use crate::base::errors::Fatal;
use crate::base::worker_pool::{must_start, start_thread};
use crate::controller::effects::Input;
use crate::controller::transport::Event;
use crate::net::rpc::{Frame, ReceivedFrame, receive_with_layout};
use crate::net::sockets::{configure_stream, enable_keep_alive, listen};
use log::warn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;

pub(crate) fn accept_peers(at: SocketAddr, most: usize, tx: Sender<Event>) -> Result<(), Fatal> {
    let listener = listen(at)?;
    let next = AtomicU64::new(1);
    // Each connection holds a clone; the count of them is the bound.
    let open = Arc::new(());
    must_start("peers", move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            if Arc::strong_count(&open) > most {
                continue;
            }
            let held = Arc::clone(&open);
            let id = next.fetch_add(1, Ordering::Relaxed);
            let tx = tx.clone();
            start_thread(move || {
                let _held = held;
                let dark = Duration::from_secs(3);
                let ready = configure_stream(&stream, dark)
                    .and_then(|()| enable_keep_alive(&stream, dark))
                    .and_then(|()| stream.try_clone());
                let Ok(writer) = ready else { return };
                if tx.send(Event::Opened(id, writer)).is_err() {
                    return;
                }
                let mut reader = std::io::BufReader::with_capacity(4096, stream);
                loop {
                    match receive_with_layout(&mut reader) {
                        Ok(ReceivedFrame { frame, sender_layout }) => {
                            let said = match &frame {
                                Frame::Raft { message, .. } => Some(message.from),
                                Frame::Join { member, .. } => Some(member.id),
                                _ => None,
                            };
                            if let Some(said) = said {
                                drop(tx.send(Event::Input(Input::PeerLayout(said, sender_layout))));
                            }
                            if tx.send(Event::Input(Input::Frame(id, frame))).is_err() {
                                return;
                            }
                        }
                        Err(e) => {
                            if e.kind() == std::io::ErrorKind::InvalidData {
                                warn!(target: "peers", "closed a connection: {e}");
                            }
                            break;
                        }
                    }
                }
                // The core may be gone already when the program ends.
                let _ = tx.send(Event::Input(Input::Closed(id)));
            });
        }
    })
}
