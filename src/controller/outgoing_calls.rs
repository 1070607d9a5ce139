//! Blocking calls of a controller to databases, to the platform that carries out promotions, and to
//! other controllers in order to join.
//!
//! [`SocketTransport`](crate::controller::transport::SocketTransport) runs each call on a thread of
//! the worker pool and sends the result to the controller's event queue. Every call has a time-out.
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

/// A controller's role in the `CONNECT` request to a database. Part of the wire format: databases
/// recognise controllers by this word.
const CONNECT_ROLE: &str = "steward";

/// Time-out for connecting to a database. A lost machine must not delay the failover for long.
const DATABASE_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time-out for each read of a database's response.
const DATABASE_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Time-out for the platform's complete response to a promotion request.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Time-out for another controller's response to a join request.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which TCP drops a connection with unacknowledged data.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests the controller at `address` to add `member` to the Raft group. With `was_member` it
/// asks whether `member` is still a member.
pub(super) fn request_join(
    address: SocketAddr,
    member: Member,
    was_member: bool,
) -> io::Result<JoinResponse> {
    let mut stream = connect_stream(address, PEER_CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT)?;
    stream.set_read_timeout(Some(JOIN_TIMEOUT))?;
    send(&mut stream, &Frame::Join { member, was_member })?;
    match receive(&mut stream)? {
        Frame::Joined(response) => Ok(response),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// A request to a database.
pub(super) struct DatabaseCall<'a> {
    /// The service of the database.
    pub(super) service: &'a ServiceName,
    /// The database.
    pub(super) id: &'a InstanceId,
    /// The database's address.
    pub(super) address: SocketAddr,
    /// The request.
    pub(super) request: DatabaseRequest,
}

/// Sends one request to a database on a separate connection.
///
/// `connected` is called once the connection is established, before the response. `leads` is called
/// right before the request is sent: if it returns false, because the leadership in which the
/// request was made has ended, the request is not sent.
pub(super) fn call_database(
    call: &DatabaseCall<'_>,
    connected: impl FnOnce(),
    leads: impl Fn() -> bool,
) -> DatabaseResponse {
    let stream =
        match connect_stream(call.address, DATABASE_CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT) {
            Ok(stream) => stream,
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return DatabaseResponse::ConnectionRefused;
            }
            Err(e) => return response_of_error(&e),
        };
    connected();
    query_database(call, stream, leads).unwrap_or_else(|e| response_of_error(&e))
}

/// The response that an error of a connection amounts to, unless the connection was refused.
fn response_of_error(error: &io::Error) -> DatabaseResponse {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => DatabaseResponse::TimedOut,
        _ => DatabaseResponse::ConnectionFailed,
    }
}

fn query_database(
    call: &DatabaseCall<'_>,
    mut stream: TcpStream,
    leads: impl Fn() -> bool,
) -> io::Result<DatabaseResponse> {
    let DatabaseCall { service, id, request, .. } = *call;
    stream.set_read_timeout(Some(DATABASE_READ_TIMEOUT))?;
    stream.write_all(format!("CONNECT {service} {CONNECT_ROLE} {id}\r\n").as_bytes())?;
    let mut buffer = ReadBuffer::default();
    match read_connect_reply(&mut stream, &mut buffer)? {
        ConnectReply::Ready => {}
        // Another database now uses this address.
        ConnectReply::Refused(ErrorKind::WrongNode) => {
            return Ok(DatabaseResponse::AddressReassigned);
        }
        ConnectReply::Refused(_) => return Ok(DatabaseResponse::NoDescription),
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

/// Returns the statement for a request.
fn statement(request: DatabaseRequest) -> String {
    match request {
        DatabaseRequest::Describe => "DESCRIBE".to_owned(),
        DatabaseRequest::Pause(term) => format!("PAUSE {term}"),
        DatabaseRequest::Continue => "CONTINUE".to_owned(),
        DatabaseRequest::StepDown(term) => format!("STEPDOWN {term}"),
    }
}

/// A database's reply to `CONNECT`.
enum ConnectReply {
    Ready,
    Refused(ErrorKind),
}

fn read_connect_reply(stream: &mut TcpStream, buffer: &mut ReadBuffer) -> io::Result<ConnectReply> {
    loop {
        if let Some(kind) = statement_protocol::parse_connect_error(buffer.pending()) {
            return Ok(ConnectReply::Refused(kind));
        }
        if let Some(reply) = next_reply(buffer)? {
            buffer.consume(reply.end);
            return Ok(ConnectReply::Ready);
        }
        read_more(stream, buffer)?;
    }
}

/// Parses the reply at the start of the buffer, if it is complete.
fn next_reply(buffer: &ReadBuffer) -> io::Result<Option<Reply>> {
    statement_protocol::parse_reply(buffer.pending())
        .map_err(|MalformedReply| io::ErrorKind::InvalidData.into())
}

/// Reads once. An end of the stream within a reply is an error.
fn read_more(stream: &mut TcpStream, buffer: &mut ReadBuffer) -> io::Result<()> {
    match buffer.fill(stream)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// A call to the platform, which carries out the promotion.
pub(super) struct PromotionCall<'a> {
    /// The platform's address.
    pub(super) platform: SocketAddr,
    /// The node name of the leader that makes the call.
    pub(super) leader_name: &'a str,
    /// The leader's fencing token. The platform refuses a token lower than one that it has seen.
    pub(super) fencing_token: u64,
}

/// Requests the platform to promote the instance `target` of `service`. `leads` is called right
/// before the request is sent: if it returns false, because the leadership in which the call was
/// made has ended, the request is not sent.
pub(super) fn request_promotion(
    call: &PromotionCall<'_>,
    service: &ServiceName,
    target: &InstanceId,
    leads: impl Fn() -> bool,
) -> PromotionResponse {
    let PromotionCall { platform, leader_name, fencing_token } = *call;
    let body = serde_json::json!({ "target_service": service, "instance_id": target }).to_string();
    let headers =
        [("Duty-Holder", leader_name.to_owned()), ("Fence-Token", fencing_token.to_string())];
    let request = http::OutgoingRequest {
        method: "POST",
        path: "/failovers",
        headers: &headers,
        body: body.as_bytes(),
    };
    match http::call_if(platform, &request, PLATFORM_TIMEOUT, leads) {
        Ok(Response { status: 200..=299, .. }) => PromotionResponse::Accepted,
        Ok(Response { status: 409, .. }) => PromotionResponse::NotRunning,
        Ok(Response { status: 429, .. }) => PromotionResponse::NotAttempted,
        Ok(Response { status, body, .. }) => {
            let body = String::from_utf8_lossy(&body);
            warn!(target: "failover", "{service}: platform {platform} answered the promotion of \
                {target} with status {status}: {body}");
            PromotionResponse::Unknown
        }
        // Nothing was sent.
        Err(http::CallError::NotSent) => PromotionResponse::NotAttempted,
        Err(http::CallError::Io(e)) => {
            warn!(target: "failover", "{service}: promotion of {target} by platform {platform} \
                failed: {e}");
            PromotionResponse::Unknown
        }
    }
}
