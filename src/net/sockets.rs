//! TCP sockets, and the options that all connections of this system share.
use crate::base::errors::Fatal;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How long a connection attempt between the system's own machines may take. If the first packet is
/// lost, a new attempt is faster than waiting for the kernel to retransmit it after a second.
pub const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The least time, and the time between probes, that keep-alive probes are set to: the kernel counts
/// in whole seconds.
const KEEP_ALIVE_STEP: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which the kernel ends a connection.
const KEEP_ALIVE_PROBES: u32 = 3;

/// Connections that the kernel accepts ahead of the program.
const LISTEN_BACKLOG: i32 = 512;

/// Opens a connection and configures it as [`configure_stream`] does.
///
/// # Errors
/// Those of the connection attempt, `TimedOut` after `connect_timeout`.
pub fn connect_stream(
    to: SocketAddr,
    connect_timeout: Duration,
    unacknowledged_timeout: Duration,
) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, connect_timeout)?;
    configure_stream(&stream, unacknowledged_timeout)?;
    Ok(stream)
}

/// Has the stream send without delay, and end with an error once sent data has been unacknowledged
/// for `unacknowledged_timeout`.
///
/// # Errors
/// If the operating system refuses an option.
pub fn configure_stream(stream: &TcpStream, unacknowledged_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(unacknowledged_timeout))
}

/// Reads once, and again where a signal interrupted that: it says nothing of the peer.
///
/// # Errors
/// Those of the reader.
pub fn read_uninterrupted(from: &mut impl Read, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
        match from.read(bytes) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Has the kernel probe a connection that was idle for `idle`, at least a second, so that an
/// unreachable peer is noticed without any data in flight.
///
/// # Errors
/// If the operating system refuses an option.
pub fn enable_keep_alive(stream: &TcpStream, idle: Duration) -> io::Result<()> {
    let probes = socket2::TcpKeepalive::new()
        .with_time(idle.max(KEEP_ALIVE_STEP))
        .with_interval(KEEP_ALIVE_STEP)
        .with_retries(KEEP_ALIVE_PROBES);
    socket2::SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Listens on an address, which a restarted process can use again at once.
///
/// # Errors
/// [`Fatal::Listen`] if the address can't be used.
pub fn listen(at: SocketAddr) -> Result<TcpListener, Fatal> {
    let open = || -> io::Result<TcpListener> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(at),
            socket2::Type::STREAM,
            Some(socket2::Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        Ok(socket.into())
    };
    open().map_err(|e| Fatal::Listen(at.to_string(), e))
}
