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
    AnswerSink, BodySource, CallerWatch, IncomingRequest, NonceBook, PeerHead, PeerHeadError,
    PeerPurpose, RequestDesk,
    answer_sink::{AnswerCut, PeerPart},
    serve_request,
};
use crate::{
    agent::{AgentEvent, ticket::LedgerHandover},
    clock::SpanMillis,
    event::log_event,
    proof::{CallProof, ProofError},
};

/// Connections of peers that are served at once.
const MOST_CONNECTIONS: usize = 1_024;
/// The longest handover that is read, in bytes.
const MOST_HANDOVER_BYTES: usize = 32 * 1024 * 1024;
/// The time within which the head of a request must arrive.
const HEAD_MILLIS: SpanMillis = SpanMillis::new(5_000);
/// Parts of an answer that wait for a slow peer.
const WAITING_PARTS: usize = 4;

/// The peers' address can't be had.
#[derive(Debug, Error, Diagnostic)]
#[error("cannot listen for other agents at {address}: {cause}")]
pub struct PeerServerError {
    /// The address from the settings.
    address: SocketAddrV4,
    /// What the system answered.
    #[source]
    cause: io::Error,
}

/// Answers other agents of the service over HTTP/1.1.
#[derive(Debug)]
pub(crate) struct PeerServer {
    listener: TcpListener,
    desk: Arc<RequestDesk>,
    nonces: Mutex<NonceBook>,
    room: Arc<Semaphore>,
}

impl PeerServer {
    /// Binds the address at which other agents ask.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub(crate) async fn bind(
        address: SocketAddrV4,
        desk: Arc<RequestDesk>,
    ) -> Result<Arc<Self>, PeerServerError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|cause| PeerServerError { address, cause })?;
        Ok(Arc::new(Self {
            listener,
            desk,
            nonces: Mutex::default(),
            room: Arc::new(Semaphore::new(MOST_CONNECTIONS)),
        }))
    }

    /// Serves peers for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let Ok(permit) = Arc::clone(&self.room).acquire_owned().await else {
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
        // Without it an answer is only slower.
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request| {
            let server = Arc::clone(&self);
            async move { Ok::<_, Infallible>(server.answer(request).await) }
        });
        // A connection that breaks concerns its peer alone.
        let _ = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_MILLIS.duration())
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
            return self.take_handover(body, &proof).await;
        }
        let (head_sender, head_receiver) = oneshot::channel();
        let (body_sender, body_receiver) = mpsc::channel(WAITING_PARTS);
        let incoming = IncomingRequest {
            head,
            body: BodySource::Peer(body),
            watch: CallerWatch::peer(body_sender.clone()),
            sink: AnswerSink::peer(head_sender, body_sender),
            purpose: Some(peer.purpose),
        };
        tokio::spawn(serve_request(incoming, Arc::clone(&self.desk)));
        let body = PeerBody::Parts(body_receiver);
        match head_receiver.await {
            Ok(head) => head.map(|()| body),
            // The request was broken off before its answer began.
            Err(_) => with_status(StatusCode::BAD_GATEWAY),
        }
    }

    fn verify(
        &self,
        method: &http::Method,
        uri: &http::Uri,
        headers: &mut HeaderMap,
    ) -> Result<(PeerHead, CallProof), PeerHeadError> {
        let ring = self.desk.secret().keys();
        let (peer, proof) = PeerHead::verify((method, uri, headers), &ring)?;
        let mut nonces = self.nonces.lock().unwrap_or_else(PoisonError::into_inner);
        if nonces.take(peer.nonce, self.desk.now()) {
            Ok((peer, proof))
        } else {
            Err(PeerHeadError::Replayed)
        }
    }

    async fn take_handover(&self, body: Incoming, proof: &CallProof) -> Response<PeerBody> {
        let limited = Limited::new(body, MOST_HANDOVER_BYTES);
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
        self.desk.take_over(handover);
        with_status(StatusCode::NO_CONTENT)
    }
}

/// The body of an answer to a peer.
#[derive(Debug)]
enum PeerBody {
    Empty,
    Parts(mpsc::Receiver<PeerPart>),
}

impl Body for PeerBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
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
