use std::{
    convert::Infallible,
    io,
    net::SocketAddrV4,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::counter;
use miette::Diagnostic;
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, oneshot},
};

use super::{
    AnswerSink, BodySource, CallerWatch, IncomingRequest, NonceCache, PeerHead, PeerHeadError,
    PeerPurpose, RequestCoordinator,
    answer_sink::{AnswerAborted, PeerBodyPart},
    serve_request,
};
use crate::{
    agent::{AgentEvent, ticket::LedgerHandover},
    clock::SpanMillis,
    event::log_event,
    proof::{CallProof, ProofError},
};

/// The most peer connections served at once.
const MAX_CONNECTIONS: usize = 1_024;
/// The longest handover body that is read, in bytes.
const MAX_HANDOVER_BYTES: usize = 32 * 1024 * 1024;
/// How long a peer may take to send the head of a request.
const HEAD_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(5_000);
/// Body frames buffered for a slow peer.
const BODY_CHANNEL_CAPACITY: usize = 4;

/// The address for other agents can't be bound.
#[derive(Debug, Error, Diagnostic)]
#[error("cannot listen for other agents at {address}: {cause}")]
pub struct PeerServerError {
    /// The address from the settings.
    address: SocketAddrV4,
    /// The error from the operating system.
    #[source]
    cause: io::Error,
}

/// Serves other agents of the service over HTTP/1.1.
#[derive(Debug)]
pub(crate) struct PeerServer {
    listener: TcpListener,
    coordinator: Arc<RequestCoordinator>,
    nonces: Mutex<NonceCache>,
    connection_permits: Arc<Semaphore>,
}

impl PeerServer {
    /// Binds the address at which other agents call.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub(crate) async fn bind(
        address: SocketAddrV4,
        coordinator: Arc<RequestCoordinator>,
    ) -> Result<Arc<Self>, PeerServerError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|cause| PeerServerError { address, cause })?;
        Ok(Arc::new(Self {
            listener,
            coordinator,
            nonces: Mutex::default(),
            connection_permits: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
        }))
    }

    /// Serves peers until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let Ok(permit) = Arc::clone(&self.connection_permits).acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = self.listener.accept().await else {
                continue;
            };
            let server = Arc::clone(&self);
            tokio::spawn(async move {
                server.serve_connection(stream).await;
                drop(permit);
            });
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        // Ignored: without `TCP_NODELAY` answers are only slower.
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request| {
            let server = Arc::clone(&self);
            async move { Ok::<_, Infallible>(server.answer(request).await) }
        });
        // Ignored: an error of one connection affects only its peer.
        let _ = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT_MILLIS.duration())
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<PeerBody> {
        let (mut head, body) = request.into_parts();
        let (peer, proof) = match self.verify(&head.method, &head.uri, &mut head.headers) {
            Ok(verified) => verified,
            Err(error) => return refuse(&error),
        };
        if peer.purpose == PeerPurpose::Handover {
            return self.receive_handover(body, &proof).await;
        }
        let (head_sender, head_receiver) = oneshot::channel();
        let (body_sender, body_receiver) = mpsc::channel(BODY_CHANNEL_CAPACITY);
        let incoming = IncomingRequest {
            head,
            body: BodySource::Peer(body),
            watch: CallerWatch::peer(body_sender.clone()),
            sink: AnswerSink::peer(head_sender, body_sender),
            purpose: Some(peer.purpose),
        };
        tokio::spawn(serve_request(incoming, Arc::clone(&self.coordinator)));
        let body = PeerBody::Parts(body_receiver);
        match head_receiver.await {
            Ok(head) => head.map(|()| body),
            // The request ended before it had an answer.
            Err(_) => with_status(StatusCode::BAD_GATEWAY),
        }
    }

    fn verify(
        &self,
        method: &http::Method,
        uri: &http::Uri,
        headers: &mut HeaderMap,
    ) -> Result<(PeerHead, CallProof), PeerHeadError> {
        let ring = self.coordinator.secret().keys();
        let (peer, proof) = PeerHead::verify((method, uri, headers), &ring)?;
        let mut nonces = self.nonces.lock().unwrap_or_else(PoisonError::into_inner);
        if nonces.insert(peer.nonce, self.coordinator.now()) {
            Ok((peer, proof))
        } else {
            Err(PeerHeadError::Replayed)
        }
    }

    async fn receive_handover(&self, body: Incoming, proof: &CallProof) -> Response<PeerBody> {
        let limited = Limited::new(body, MAX_HANDOVER_BYTES);
        let Ok(collected) = limited.collect().await else {
            return refuse(&PeerHeadError::Proof(ProofError::Incomplete));
        };
        let bytes = collected.to_bytes();
        if let Err(error) = proof.verify_body(&bytes) {
            return refuse(&PeerHeadError::Proof(error));
        }
        let Ok(handover) = serde_json::from_slice::<LedgerHandover>(&bytes) else {
            return with_status(StatusCode::BAD_REQUEST);
        };
        log_event!(info, AgentEvent::TicketsTaken, home = %handover.home);
        self.coordinator.take_over(handover);
        with_status(StatusCode::NO_CONTENT)
    }
}

/// The body of an answer to a peer.
#[derive(Debug)]
enum PeerBody {
    Empty,
    Parts(mpsc::Receiver<PeerBodyPart>),
}

impl Body for PeerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match self.get_mut() {
            Self::Empty => Poll::Ready(None),
            Self::Parts(receiver) => receiver.poll_recv(context),
        }
    }
}

fn refuse(error: &PeerHeadError) -> Response<PeerBody> {
    counter!("cyclamen_agent_peer_calls_refused_total").increment(1);
    log_event!(warn, AgentEvent::PeerRefused, %error);
    with_status(StatusCode::FORBIDDEN)
}

fn with_status(status: StatusCode) -> Response<PeerBody> {
    let mut response = Response::new(PeerBody::Empty);
    *response.status_mut() = status;
    response
}
