//! Blocking calls that a controller makes: to databases, to the platform, and to other controllers
//! for joining.
//!
//! [`SocketTransport`](crate::controller::transport::SocketTransport) runs each on a thread of the
//! worker pool and hands the result to the controller's event queue. Every call has a time limit.
use crate::base::errors::ErrorKind;
use crate::base::ids::{InstanceId, ServiceName};
use crate::failover::{DatabaseRequest, DatabaseResponse, PromotionResponse};
use crate::net::http::{self, Response};
use crate::net::rpc::raft_messages::{JoinResponse, Member};
use crate::net::rpc::{Frame, receive, send};
use crate::net::sockets::{PEER_CONNECT_TIMEOUT, connect_stream};
use crate::net::statement_protocol::{self, MalformedReply, ReadBuffer, Reply};
use log::warn;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How a controller names its role in the greeting to a database. It is part of the wire format:
/// databases know controllers by this word.
const GREETING_ROLE: &str = "steward";

/// Time for connecting to a database. A lost machine must not use up the time of the failover.
const DATABASE_CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Time that a database may take for each read of an answer.
const DATABASE_READ_LIMIT: Duration = Duration::from_secs(1);

/// Time for a platform's whole answer to a promotion.
const PLATFORM_LIMIT: Duration = Duration::from_secs(1);

/// Time for another controller's answer to a request to join.
const JOIN_LIMIT: Duration = Duration::from_secs(1);

/// TCP gives a connection up after unacknowledged bytes of so long.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(1);

/// Asks the controller at `address` to take `member` into the Raft group; one that `was_member` asks
/// whether it still belongs.
pub(super) fn request_join(
    address: SocketAddr,
    member: Member,
    was_member: bool,
) -> io::Result<JoinResponse> {
    let mut stream = connect_stream(address, PEER_CONNECT_TIMEOUT, UNACKNOWLEDGED_LIMIT)?;
    stream.set_read_timeout(Some(JOIN_LIMIT))?;
    send(&mut stream, &Frame::Join { member, was_member })?;
    match receive(&mut stream)? {
        Frame::Joined(answer) => Ok(answer),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// A request to a database.
pub(super) struct DatabaseCall<'a> {
    /// The service of the database.
    pub(super) service: &'a ServiceName,
    /// The database.
    pub(super) id: &'a InstanceId,
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// What it is asked.
    pub(super) request: DatabaseRequest,
}

/// Sends a database one request on a connection of its own.
///
/// `connected` is called once the connection is there, ahead of the answer. `leads` is asked right
/// before the request leaves: if the leadership in which it was made has ended, it is given up.
pub(super) fn ask_database(
    call: &DatabaseCall<'_>,
    connected: impl FnOnce(),
    leads: impl Fn() -> bool,
) -> DatabaseResponse {
    query_database(call, connected, leads).unwrap_or_else(|e| match e.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => DatabaseResponse::TimedOut,
        _ => DatabaseResponse::Unavailable,
    })
}

fn query_database(
    call: &DatabaseCall<'_>,
    connected: impl FnOnce(),
    leads: impl Fn() -> bool,
) -> io::Result<DatabaseResponse> {
    let DatabaseCall { service, id, address, request } = *call;
    let mut stream = connect_stream(address, DATABASE_CONNECT_LIMIT, UNACKNOWLEDGED_LIMIT)?;
    connected();
    stream.set_read_timeout(Some(DATABASE_READ_LIMIT))?;
    stream.write_all(format!("CONNECT {service} {GREETING_ROLE} {id}\r\n").as_bytes())?;
    let mut buffer = ReadBuffer::default();
    match read_greeting(&mut stream, &mut buffer)? {
        Greeting::Ready => {}
        // Another database has taken over the address.
        Greeting::Refused(ErrorKind::WrongNode) => return Ok(DatabaseResponse::Unavailable),
        Greeting::Refused(_) => return Ok(DatabaseResponse::NoDescription),
    }
    if !leads() {
        return Ok(DatabaseResponse::NotSent);
    }
    stream.write_all(format!("QUERY - {}\r\n", statement(request)).as_bytes())?;
    loop {
        if let Some(reply) = next_reply(&buffer)? {
            let description = reply.description(buffer.pending());
            return Ok(
                description.map_or(DatabaseResponse::NoDescription, DatabaseResponse::Description)
            );
        }
        read_more(&mut stream, &mut buffer)?;
    }
}

/// The statement that carries a request.
fn statement(request: DatabaseRequest) -> String {
    match request {
        DatabaseRequest::Describe => "DESCRIBE".to_owned(),
        DatabaseRequest::Pause(term) => format!("PAUSE {term}"),
        DatabaseRequest::Continue => "CONTINUE".to_owned(),
        DatabaseRequest::StepDown(term) => format!("STEPDOWN {term}"),
    }
}

/// A database's answer to `CONNECT`.
enum Greeting {
    Ready,
    Refused(ErrorKind),
}

fn read_greeting(stream: &mut TcpStream, buffer: &mut ReadBuffer) -> io::Result<Greeting> {
    loop {
        if let Some(kind) = statement_protocol::parse_connect_error(buffer.pending()) {
            return Ok(Greeting::Refused(kind));
        }
        if let Some(reply) = next_reply(buffer)? {
            buffer.consume(reply.end);
            return Ok(Greeting::Ready);
        }
        read_more(stream, buffer)?;
    }
}

/// The reply at the start of the buffer, if it is complete.
fn next_reply(buffer: &ReadBuffer) -> io::Result<Option<Reply>> {
    statement_protocol::parse_reply(buffer.pending())
        .map_err(|MalformedReply| io::ErrorKind::InvalidData.into())
}

/// Reads once; the end of the stream within a reply is an error.
fn read_more(stream: &mut TcpStream, buffer: &mut ReadBuffer) -> io::Result<()> {
    match buffer.fill(stream)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Who calls the platform, and where it is.
pub(super) struct PromotionCall<'a> {
    /// The platform's address.
    pub(super) platform: SocketAddr,
    /// The name of the leader that asks.
    pub(super) holder: &'a str,
    /// Its fencing token: the platform refuses a lower one than it has seen.
    pub(super) fence: u64,
}

/// Has the platform promote the instance `target` of `service`. `leads` is asked right before the
/// call leaves: if the leadership in which it was made has ended, it is given up.
pub(super) fn request_promotion(
    call: &PromotionCall<'_>,
    service: &ServiceName,
    target: &InstanceId,
    leads: impl Fn() -> bool,
) -> PromotionResponse {
    let PromotionCall { platform, holder, fence } = *call;
    let body = serde_json::json!({ "target_service": service, "instance_id": target }).to_string();
    let headers = [("Duty-Holder", holder.to_owned()), ("Fence-Token", fence.to_string())];
    let request = http::OutgoingRequest {
        method: "POST",
        path: "/failovers",
        headers: &headers,
        body: body.as_bytes(),
    };
    match http::call_if(platform, &request, PLATFORM_LIMIT, leads) {
        Ok(Response { status: 200..=299, .. }) => PromotionResponse::Accepted,
        Ok(Response { status: 409, .. }) => PromotionResponse::NotRunning,
        Ok(Response { status: 429, .. }) => PromotionResponse::NotAttempted,
        Ok(Response { status, body, .. }) => {
            let body = String::from_utf8_lossy(&body);
            warn!(target: "failover", "platform answered {status}: {body}");
            PromotionResponse::Unknown
        }
        // Nothing was sent.
        Err(http::CallError::NotSent) => PromotionResponse::NotAttempted,
        Err(http::CallError::Io(e)) => {
            warn!(target: "failover", "platform: {e}");
            PromotionResponse::Unknown
        }
    }
}
