//! TCP listeners and streams with the socket options that all connections of this system use.
use crate::base::errors::Fatal;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The timeout of a connection attempt between machines of the deployment. If the first packet is
/// lost, a new attempt is faster than the kernel's retransmission after one second.
pub const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The interval between keep-alive probes, and the minimum idle time before the first one. The
/// kernel supports whole seconds only.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keep-alive probes after which the kernel closes a connection.
const KEEP_ALIVE_PROBES: u32 = 3;

/// The number of connections that the kernel queues until the program accepts them.
const LISTEN_BACKLOG: i32 = 512;

/// Opens a connection and configures it as [`configure_stream`] does.
///
/// # Errors
/// The errors of the connection attempt; `TimedOut` after `connect_timeout`.
pub fn connect_stream(
    to: SocketAddr,
    connect_timeout: Duration,
    unacknowledged_timeout: Duration,
) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, connect_timeout)?;
    configure_stream(&stream, unacknowledged_timeout)?;
    Ok(stream)
}

/// Opens a connection and configures it as [`configure_stream`] does. `wait` waits until the socket
/// is writable or a deadline of its own has passed; if it fails, the attempt is given up.
///
/// # Errors
/// The errors of the connection attempt and of `wait`; `TimedOut` if `wait` returned before the
/// attempt had ended.
pub fn connect_stream_waiting<E: From<io::Error>>(
    to: SocketAddr,
    unacknowledged_timeout: Duration,
    wait: impl FnOnce(&TcpStream) -> Result<Readiness, E>,
) -> Result<TcpStream, E> {
    let domain = socket2::Domain::for_address(to);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    let connected = socket.connect(&to.into());
    let stream = TcpStream::from(socket);
    match connected {
        Ok(()) => {}
        Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {
            if wait(&stream)? == Readiness::NotReady {
                return Err(io::Error::from(io::ErrorKind::TimedOut).into());
            }
            if let Some(e) = stream.take_error()? {
                return Err(e.into());
            }
        }
        Err(e) => return Err(e.into()),
    }
    stream.set_nonblocking(false)?;
    configure_stream(&stream, unacknowledged_timeout)?;
    Ok(stream)
}

/// Whether a socket became ready within a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It is ready, or its connection has failed.
    Ready,
    /// The time is over.
    NotReady,
}

/// Makes the stream send without delay (`TCP_NODELAY`), and fail once sent data has been
/// unacknowledged for `unacknowledged_timeout` (`TCP_USER_TIMEOUT`).
///
/// # Errors
/// If the operating system refuses an option.
pub fn configure_stream(stream: &TcpStream, unacknowledged_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(unacknowledged_timeout))
}

/// Reads once, and retries reads that a signal interrupted.
///
/// # Errors
/// The errors of the reader, except `Interrupted`.
pub fn read_uninterrupted(from: &mut impl Read, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
        match from.read(bytes) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Makes the kernel send keep-alive probes once a connection has been idle for `idle`, but at least
/// a second, so that an unreachable peer is detected even if no data is in flight.
///
/// # Errors
/// If the operating system refuses an option.
pub fn enable_keep_alive(stream: &TcpStream, idle: Duration) -> io::Result<()> {
    let probes = socket2::TcpKeepalive::new()
        .with_time(idle.max(KEEP_ALIVE_INTERVAL))
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    socket2::SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Listens on an address, with `SO_REUSEADDR` so that a restarted process can use it immediately.
///
/// # Errors
/// [`Fatal::Listen`] if the address can't be bound.
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
