use std::sync::Arc;

use bytes::Bytes;
use h3::{error::ConnectionError, server::RequestResolver};
use tokio::sync::{oneshot, watch};

use super::{
    AnswerSink, BodySource, CallerWatch, IncomingRequest, PeerHead, RequestDesk, serve_request,
};
use crate::{agent::AgentEvent, clock::SpanMillis, event::log_event};

/// The time that refusals have to reach the caller before this end closes.
const LATECOMER_MILLIS: SpanMillis = SpanMillis::new(500);
/// How often requests that came late are looked for.
const LATECOMER_ROUNDS: u32 = 2;

/// What every connection's requests share.
#[derive(Debug)]
pub(crate) struct ServeContext {
    /// Holds slots, tickets and retries.
    pub(crate) desk: Arc<RequestDesk>,
    /// Changes when open connections are to bring no new requests.
    pub(crate) go_away: watch::Receiver<u32>,
}

/// Serves the requests of one connection until it ends.
pub(crate) async fn serve_connection(connection: quinn::Connection, context: Arc<ServeContext>) {
    if let Err(error) = serve_requests(connection, context).await
        && !error.is_h3_no_error()
    {
        log_event!(debug, AgentEvent::ConnectionFailed, %error);
    }
}

async fn serve_requests(
    connection: quinn::Connection,
    context: Arc<ServeContext>,
) -> Result<(), ConnectionError> {
    let transport = h3_quinn::Connection::new(connection.clone());
    let mut server = h3::server::Connection::<_, Bytes>::new(transport).await?;
    let mut go_away = context.go_away.clone();
    loop {
        tokio::select! {
            accepted = server.accept() => {
                let Some(resolver) = accepted? else {
                    refuse_latecomers(&mut server, &connection).await;
                    return Ok(());
                };
                let desk = Arc::clone(&context.desk);
                tokio::spawn(resolve_request(resolver, connection.clone(), desk));
            }
            Ok(()) = go_away.changed() => server.shutdown(0).await?,
        }
    }
}

/// Refuses what was on its way when this end announced to leave.
///
/// Closing at once would overtake the refusals, and the caller could not
/// tell that its request did not run.
async fn refuse_latecomers(
    server: &mut h3::server::Connection<h3_quinn::Connection, Bytes>,
    connection: &quinn::Connection,
) {
    for _ in 0..LATECOMER_ROUNDS {
        tokio::select! {
            _ = connection.closed() => return,
            () = tokio::time::sleep(LATECOMER_MILLIS.duration()) => {}
        }
        // Streams above the announced one are refused within.
        if !matches!(server.accept().await, Ok(None)) {
            return;
        }
    }
}

async fn resolve_request(
    resolver: RequestResolver<h3_quinn::Connection, Bytes>,
    connection: quinn::Connection,
    desk: Arc<RequestDesk>,
) {
    // A request whose head never arrives whole, or whose caller is gone.
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
    serve_request(incoming, desk).await;
}
