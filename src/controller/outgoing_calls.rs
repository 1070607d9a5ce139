//! Calls to databases, to the platform, and to controllers for joining.
use crate::base::ids::{InstanceId, ServiceName};
use crate::failover::{DatabaseRequest, DatabaseResponse, PromotionResponse};
use crate::net::http::{self, Response};
use crate::net::rpc::raft_messages::{JoinResponse, Member};
use crate::net::rpc::{Frame, receive, send};
use crate::net::sockets::{PEER_CONNECT_TIMEOUT, connect_stream};
use crate::net::statement_protocol;
use log::warn;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Asks a controller to be taken in, or whether one still belongs.
pub(super) fn ask_standing(
    at: SocketAddr,
    member: Member,
    was: bool,
) -> std::io::Result<JoinResponse> {
    let mut stream = connect_stream(at, PEER_CONNECT_TIMEOUT, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    send(&mut stream, &Frame::Join { member, was_member: was })?;
    match receive(&mut stream)? {
        Frame::Joined(answer) => Ok(answer),
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

/// Asks a database one thing on a connection of its own.
///
/// `reached` is called once the connection is there.
pub(super) fn ask_database(
    service: &ServiceName,
    id: &InstanceId,
    address: SocketAddr,
    ask: DatabaseRequest,
    reached: impl FnOnce(),
) -> DatabaseResponse {
    let text = match ask {
        DatabaseRequest::Describe => "DESCRIBE".to_owned(),
        DatabaseRequest::Pause(term) => format!("PAUSE {term}"),
        DatabaseRequest::Continue => "CONTINUE".to_owned(),
        DatabaseRequest::StepDown(term) => format!("STEPDOWN {term}"),
    };
    let exchange = move || -> std::io::Result<DatabaseResponse> {
        let limit = Duration::from_millis(300);
        let mut stream = connect_stream(address, limit, Duration::from_secs(1))?;
        reached();
        stream.set_read_timeout(Some(Duration::from_millis(1_000)))?;
        stream.write_all(format!("CONNECT {service} steward {id}\r\n").as_bytes())?;
        let mut inbox = statement_protocol::ReadBuffer::default();
        if let Some(refused) = read_answer(&mut stream, &mut inbox)? {
            use crate::base::errors::ErrorKind;
            return Ok(match refused {
                ErrorKind::WrongNode => DatabaseResponse::Unavailable,
                _ => DatabaseResponse::NoDescription,
            });
        }
        stream.write_all(format!("QUERY - {text}\r\n").as_bytes())?;
        loop {
            match statement_protocol::reply(inbox.pending()) {
                Ok(Some(reply)) => {
                    let row = reply.described(inbox.pending());
                    return Ok(
                        row.map_or(DatabaseResponse::NoDescription, DatabaseResponse::Description)
                    );
                }
                Ok(None) => {
                    if inbox.fill(&mut stream)? == 0 {
                        return Ok(DatabaseResponse::Unavailable);
                    }
                }
                Err(statement_protocol::MalformedReply) => {
                    return Ok(DatabaseResponse::Unavailable);
                }
            }
        }
    };
    match exchange() {
        Ok(told) => told,
        Err(e) => match e.kind() {
            std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock => {
                DatabaseResponse::TimedOut
            }
            _ => DatabaseResponse::Unavailable,
        },
    }
}

/// Waits for the answer to CONNECT; a refusal is given back.
fn read_answer(
    stream: &mut TcpStream,
    inbox: &mut statement_protocol::ReadBuffer,
) -> std::io::Result<Option<crate::base::errors::ErrorKind>> {
    loop {
        if let Some(kind) = statement_protocol::refused_connect(inbox.pending()) {
            return Ok(Some(kind));
        }
        match statement_protocol::reply(inbox.pending()) {
            Ok(Some(reply)) => {
                inbox.consume(reply.end);
                return Ok(None);
            }
            Ok(None) => {
                if inbox.fill(stream)? == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
            }
            Err(statement_protocol::MalformedReply) => {
                return Err(std::io::ErrorKind::InvalidData.into());
            }
        }
    }
}

pub(super) fn post_failover(
    provider: SocketAddr,
    holder: &str,
    fence: u64,
    service: &ServiceName,
    target: &InstanceId,
) -> PromotionResponse {
    let body = serde_json::json!({ "target_service": service, "instance_id": target }).to_string();
    let headers = [("Duty-Holder", holder.to_owned()), ("Fence-Token", fence.to_string())];
    let answer = http::call(
        provider,
        "POST",
        "/failovers",
        &headers,
        body.as_bytes(),
        Duration::from_secs(1),
    );
    match answer {
        Ok(Response { status: 200..=299, .. }) => PromotionResponse::Accepted,
        Ok(Response { status: 409, .. }) => PromotionResponse::NotRunning,
        Ok(Response { status: 429, .. }) => PromotionResponse::NotAttempted,
        Ok(Response { status, body, .. }) => {
            warn!(target: "failover", "platform answered {status}: {}", String::from_utf8_lossy(&body));
            PromotionResponse::Unknown
        }
        Err(e) => {
            warn!(target: "failover", "platform: {e}");
            PromotionResponse::Unknown
        }
    }
}
