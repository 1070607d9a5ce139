//! TCP options that all connections between the system's own machines share.
use crate::base::errors::Fatal;
use std::io::{self};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Between the system's own machines a connection is there within this, or the machine is dark and
/// a new try is better than waiting for the first to be sent again.
pub const REACH: Duration = Duration::from_millis(150);

/// Opens a connection that gives up on a dark far end after `dark` and sends without delay.
pub fn dial(to: SocketAddr, within: Duration, dark: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, within)?;
    tune(&stream, dark)?;
    Ok(stream)
}

pub fn tune(stream: &TcpStream, dark: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(dark))
}

/// Has the kernel notice a far end that went dark while nothing is under way.
pub fn keep_alive(stream: &TcpStream, idle: Duration) -> io::Result<()> {
    let probes = socket2::TcpKeepalive::new()
        .with_time(idle.max(Duration::from_secs(1)))
        .with_interval(Duration::from_secs(1))
        .with_retries(3);
    socket2::SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Listens with the address reusable at once, as restarts need it.
pub fn listen(at: SocketAddr) -> Result<std::net::TcpListener, Fatal> {
    let open = || -> io::Result<std::net::TcpListener> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(at),
            socket2::Type::STREAM,
            Some(socket2::Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(512)?;
        Ok(socket.into())
    };
    open().map_err(|e| Fatal::Listen(at.to_string(), e))
}
