use std::{
    future::poll_fn,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
};

use bytes::Bytes;
use h3::client::SendRequest;
use h3_quinn::OpenStreams;
use quinn::{
    ClientConfig, Connection, Endpoint, TransportConfig, crypto::rustls::QuicClientConfig,
};

use super::{CallRequest, CallResponse, CallerError, ResponseStream};
use crate::{
    clock::SpanMillis,
    tls::{TrustedRoots, client_config},
};

/// The interval of keep-alive packets on an idle connection.
///
/// A restarted agent can report a lost connection only in response to a packet,
/// and a client that only receives sends none by itself.
const KEEP_ALIVE_MILLIS: SpanMillis = SpanMillis::new(3_000);

/// An HTTP/3 connection to a service, with its own UDP socket.
pub struct ServiceCaller {
    service: String,
    endpoint: Endpoint,
    connection: Connection,
    sender: SendRequest<OpenStreams, Bytes>,
}

impl ServiceCaller {
    /// Connects to the service with this name at `address`.
    ///
    /// # Errors
    ///
    /// Fails when no agent accepts the connection or the certificate is not
    /// trusted.
    pub async fn connect(
        address: SocketAddrV4,
        service: &str,
        trusted_roots: TrustedRoots,
    ) -> Result<Self, CallerError> {
        let endpoint = open_endpoint(trusted_roots)?;
        let connection = endpoint
            .connect(SocketAddr::V4(address), service)
            .map_err(|cause| CallerError::Connect { address, cause })?
            .await
            .map_err(|cause| CallerError::Handshake { address, cause })?;
        let transport = h3_quinn::Connection::new(connection.clone());
        let (mut driver, sender) = h3::client::new(transport)
            .await
            .map_err(CallerError::Connection)?;
        // The driver ends with the connection; its error is reported by the requests.
        tokio::spawn(async move { poll_fn(|context| driver.poll_close(context)).await });
        Ok(Self {
            service: service.to_owned(),
            endpoint,
            connection,
            sender,
        })
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Fails when the connection or the stream ends before the response is complete.
    pub async fn send(&self, request: CallRequest) -> Result<CallResponse, CallerError> {
        self.open(request).await?.collect().await
    }

    /// Sends a request and waits for the response headers.
    ///
    /// # Errors
    ///
    /// Fails when the connection or the stream ends before that.
    pub async fn open(&self, request: CallRequest) -> Result<ResponseStream, CallerError> {
        let (head, body) = request.into_parts(&self.service)?;
        let mut sender = self.sender.clone();
        let stream = sender
            .send_request(head)
            .await
            .map_err(CallerError::Unsent)?;
        ResponseStream::open(stream, body).await
    }

    /// Returns whether the connection is known to be closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Closes the connection and waits until it is shut down, so that the peer is notified.
    pub async fn close(self) {
        self.connection.close(quinn::VarInt::from_u32(0), b"");
        self.endpoint.wait_idle().await;
    }
}

fn open_endpoint(trusted_roots: TrustedRoots) -> Result<Endpoint, CallerError> {
    let any_port = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
    let mut endpoint = Endpoint::client(any_port).map_err(CallerError::Socket)?;
    let config =
        QuicClientConfig::try_from(client_config(trusted_roots)?).map_err(CallerError::Cipher)?;
    let mut transport = TransportConfig::default();
    transport.keep_alive_interval(Some(KEEP_ALIVE_MILLIS.duration()));
    let mut config = ClientConfig::new(Arc::new(config));
    config.transport_config(Arc::new(transport));
    endpoint.set_default_client_config(config);
    Ok(endpoint)
}
