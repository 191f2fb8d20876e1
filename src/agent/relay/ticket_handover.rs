use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::{PeerHead, PeerPurpose, RequestCoordinator};
use crate::{
    agent::{AgentEvent, ticket::choose_successors},
    event::log_event,
    key::TargetKey,
    route::TargetPhase,
    secret::KeyRing,
};

/// How long a peer may take to accept a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// The path of the call, which is never relayed to an upstream.
const HANDOVER_PATH: &str = "/cyclamen/handover";

/// Hands over the tickets of a stopping agent to its successors.
pub(crate) async fn hand_over_tickets(coordinator: &Arc<RequestCoordinator>) {
    let handover = coordinator.close_ledger();
    let Ok(body) = serde_json::to_vec(&handover) else {
        return;
    };
    let body = Bytes::from(body);
    for successor in successors(coordinator) {
        let Some(peer) = coordinator.peer(successor) else {
            continue;
        };
        let call = send_handover(peer.peer_address, body.clone(), coordinator);
        let result = tokio::time::timeout(HANDOVER_TIMEOUT, call).await;
        if result.is_ok_and(|status| status == Some(StatusCode::NO_CONTENT)) {
            log_event!(info, AgentEvent::TicketsHandedOver, heir = %successor);
        } else {
            log_event!(warn, AgentEvent::HandoverFailed, heir = %successor);
        }
    }
}

fn successors(coordinator: &RequestCoordinator) -> Vec<TargetKey> {
    let identity = coordinator.identity();
    let peers = coordinator.peers();
    let staying = peers
        .iter()
        .filter(|entry| entry.phase != TargetPhase::Leaving)
        .map(|entry| entry.key);
    choose_successors(identity.incarnation, staying)
}

async fn send_handover(
    address: SocketAddrV4,
    body: Bytes,
    coordinator: &RequestCoordinator,
) -> Option<StatusCode> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let request = handover_request(&body, &coordinator.secret().keys());
    let response = sender.send_request(request).await.ok();
    driver.abort();
    response.map(|response| response.status())
}

fn handover_request(body: &Bytes, ring: &KeyRing) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(HANDOVER_PATH);
    let uri = request.uri().clone();
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_static("cyclamen-agent"));
    PeerHead::sign(
        PeerPurpose::Handover,
        (&Method::POST, &uri, headers),
        body,
        ring,
    );
    request
}
