use std::sync::Arc;

use bytes::Bytes;
use h3::{error::ConnectionError, server::RequestResolver};

use super::{UpstreamClient, relay_request};
use crate::{agent::AgentEvent, event::log_event};

/// What every connection's requests share.
#[derive(Debug)]
pub(crate) struct ServeContext {
    /// Asks the upstream.
    pub(crate) upstream: UpstreamClient,
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
    while let Some(resolver) = server.accept().await? {
        tokio::spawn(serve_request(resolver, Arc::clone(&context)));
    }
    Ok(())
}

async fn serve_request(
    resolver: RequestResolver<h3_quinn::Connection, Bytes>,
    context: Arc<ServeContext>,
) {
    // A request whose head never arrives whole, or whose caller is gone.
    let Ok((request, stream)) = resolver.resolve_request().await else {
        return;
    };
    let _ = relay_request(request, stream, &context).await;
}
