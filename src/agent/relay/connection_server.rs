use std::sync::Arc;

use bytes::Bytes;
use h3::{error::ConnectionError, server::RequestResolver};
use tokio::sync::{oneshot, watch};

use super::{
    AnswerSink, BodySource, CallerWatch, IncomingRequest, PeerHead, RequestCoordinator,
    serve_request,
};
use crate::{agent::AgentEvent, clock::SpanMillis, event::log_event};

/// How long refusals have to reach the caller before the connection closes.
const LATE_REQUEST_MILLIS: SpanMillis = SpanMillis::new(500);
/// How many times the server checks for requests sent before the GOAWAY arrived.
const LATE_REQUEST_ROUNDS: u32 = 2;

/// State shared by all connections.
#[derive(Debug)]
pub(crate) struct ConnectionContext {
    /// Manages slots, tickets and retries.
    pub(crate) coordinator: Arc<RequestCoordinator>,
    /// Changes when open connections must send a GOAWAY.
    pub(crate) go_away: watch::Receiver<u32>,
}

/// Serves the requests of one connection until it ends.
pub(crate) async fn serve_connection(
    connection: quinn::Connection,
    context: Arc<ConnectionContext>,
) {
    if let Err(error) = serve_requests(connection, context).await
        && !error.is_h3_no_error()
    {
        log_event!(debug, AgentEvent::ConnectionFailed, %error);
    }
}

async fn serve_requests(
    connection: quinn::Connection,
    context: Arc<ConnectionContext>,
) -> Result<(), ConnectionError> {
    let transport = h3_quinn::Connection::new(connection.clone());
    let mut server = h3::server::Connection::<_, Bytes>::new(transport).await?;
    let mut go_away = context.go_away.clone();
    loop {
        tokio::select! {
            accepted = server.accept() => {
                let Some(resolver) = accepted? else {
                    refuse_late_requests(&mut server, &connection).await;
                    return Ok(());
                };
                let coordinator = Arc::clone(&context.coordinator);
                tokio::spawn(resolve_request(resolver, connection.clone(), coordinator));
            }
            Ok(()) = go_away.changed() => server.shutdown(0).await?,
        }
    }
}

/// Refuses requests that were in flight when the GOAWAY was sent.
///
/// Closing at once would overtake the refusals, and the caller could not
/// tell that its request did not run.
async fn refuse_late_requests(
    server: &mut h3::server::Connection<h3_quinn::Connection, Bytes>,
    connection: &quinn::Connection,
) {
    for _ in 0..LATE_REQUEST_ROUNDS {
        tokio::select! {
            _ = connection.closed() => return,
            () = tokio::time::sleep(LATE_REQUEST_MILLIS.duration()) => {}
        }
        // `accept` refuses streams above the ID that the GOAWAY named.
        if !matches!(server.accept().await, Ok(None)) {
            return;
        }
    }
}

async fn resolve_request(
    resolver: RequestResolver<h3_quinn::Connection, Bytes>,
    connection: quinn::Connection,
    coordinator: Arc<RequestCoordinator>,
) {
    // Fails if the head is incomplete or the caller is gone.
    let Ok((request, stream)) = resolver.resolve_request().await else {
        return;
    };
    let (answers, body) = stream.split();
    let (cancelled, cancellation) = oneshot::channel();
    let (mut head, ()) = request.into_parts();
    PeerHead::strip(&mut head.headers);
    let incoming = IncomingRequest {
        head,
        body: BodySource::Caller {
            stream: body,
            cancelled: Some(cancelled),
        },
        sink: AnswerSink::caller(answers),
        watch: CallerWatch::caller(connection, cancellation),
        purpose: None,
    };
    serve_request(incoming, coordinator).await;
}
