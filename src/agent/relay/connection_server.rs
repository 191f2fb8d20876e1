use std::sync::Arc;

use bytes::Bytes;
use h3::{error::ConnectionError, server::RequestResolver};

use tokio::sync::watch;

use super::{UpstreamClient, relay_request};
use crate::{
    agent::{
        AgentEvent,
        node::{OpenGauge, OpenKind},
    },
    event::log_event,
};

/// What every connection's requests share.
#[derive(Debug)]
pub(crate) struct ServeContext {
    /// Asks the upstream.
    pub(crate) upstream: UpstreamClient,
    /// Counts open work.
    pub(crate) open: Arc<OpenGauge>,
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
    let transport = h3_quinn::Connection::new(connection);
    let mut server = h3::server::Connection::<_, Bytes>::new(transport).await?;
    let mut go_away = context.go_away.clone();
    loop {
        tokio::select! {
            accepted = server.accept() => match accepted? {
                Some(resolver) => {
                    tokio::spawn(serve_request(resolver, Arc::clone(&context)));
                }
                None => return Ok(()),
            },
            Ok(()) = go_away.changed() => server.shutdown(0).await?,
        }
    }
}

async fn serve_request(
    resolver: RequestResolver<h3_quinn::Connection, Bytes>,
    context: Arc<ServeContext>,
) {
    // A request whose head never arrives whole, or whose caller is gone.
    let Ok((request, stream)) = resolver.resolve_request().await else {
        return;
    };
    let _guard = context.open.open(OpenKind::Running);
    let _ = relay_request(request, stream, &context).await;
}
