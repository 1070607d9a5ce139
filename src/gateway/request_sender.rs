//! Sends the bytes of a request to an endpoint while its client waits for the response.
//!
//! The first byte goes out only if the client is still there, and an endpoint that accepts no more
//! bytes is waited for only as long as it is.
use crate::gateway::attempts::AttemptOutcome;
use crate::node::client_watch::{ClientLeft, ClientWatch, WaitError};
use rustix::event::{PollFd, PollFlags};
use std::io::{self, Write};
use std::net::TcpStream;

/// A write fails if the endpoint accepts no more of a request for this long, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 2_000;

/// Why a request was not sent completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SendError {
    /// The endpoint did not accept it.
    #[error("the endpoint did not accept the request: {0:?}")]
    Endpoint(AttemptOutcome),
    /// The client left before the first byte was sent.
    #[error("the client left before the request was sent")]
    ClientLeftBefore,
    /// The client left after a part was sent.
    #[error("the client left while the request was sent")]
    ClientLeftWithin,
}

/// Sends bytes of one request to an endpoint.
pub(super) struct RequestSender<'a> {
    stream: &'a TcpStream,
    client: ClientWatch<'a>,
    client_left: bool,
}

impl<'a> RequestSender<'a> {
    /// Sends on `stream` while `client` waits.
    pub(super) fn new(stream: &'a TcpStream, client: ClientWatch<'a>) -> Self {
        Self { stream, client, client_left: false }
    }

    /// Sends all parts, unless the client leaves before the first byte or while the endpoint
    /// accepts no more.
    pub(super) fn send(&mut self, parts: &[&[u8]]) -> Result<(), SendError> {
        self.client.ensure_present().map_err(|ClientLeft| SendError::ClientLeftBefore)?;
        write_request(self, parts).map_err(|outcome| match outcome {
            AttemptOutcome::NotSent if self.client_left => SendError::ClientLeftBefore,
            _ if self.client_left => SendError::ClientLeftWithin,
            _ => SendError::Endpoint(outcome),
        })
    }

    /// Waits until the endpoint accepts more bytes.
    fn wait_writable(&mut self) -> io::Result<()> {
        let socket = PollFd::new(self.stream, PollFlags::OUT);
        match self.client.wait(vec![socket], WRITE_TIMEOUT_MS) {
            Ok(ready) if ready[0] => Ok(()),
            Ok(_) => Err(io::ErrorKind::TimedOut.into()),
            Err(WaitError::Poll(e)) => Err(e),
            Err(WaitError::ClientLeft(ClientLeft)) => {
                self.client_left = true;
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        }
    }
}

impl Write for RequestSender<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let socket = socket2::SockRef::from(self.stream);
        loop {
            match socket.send_with_flags(bytes, libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.wait_writable()?,
                sent => return sent,
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes all parts of a request. Once a byte was written, the endpoint may execute the request.
pub fn write_request(writer: &mut impl Write, parts: &[&[u8]]) -> Result<(), AttemptOutcome> {
    let mut any_written = false;
    for part in parts {
        let mut remaining = *part;
        while !remaining.is_empty() {
            match writer.write(remaining) {
                Ok(written) if written > 0 => {
                    any_written = true;
                    remaining = &remaining[written..];
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                _ if any_written => return Err(AttemptOutcome::MayHaveExecuted),
                _ => return Err(AttemptOutcome::NotSent),
            }
        }
    }
    Ok(())
}
