use std::{io, net::SocketAddrV4};

use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use miette::Diagnostic;
use thiserror::Error;
use tokio::{net::TcpStream, task::JoinHandle};

use super::RequestBody;
use crate::key::TargetKey;

/// Why an attempt gave no answer.
#[derive(Debug, Error, Diagnostic)]
pub(super) enum LinkError {
    /// No connection was made; the request did not run.
    #[error("no connection to {address}: {cause}")]
    Unreachable {
        /// Where the connection was to go.
        address: SocketAddrV4,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// The peer is not registered any more; the request did not run.
    #[error("{target} is not registered any more")]
    Unknown {
        /// The peer's target.
        target: TargetKey,
    },
    /// The connection took no request; the request did not run.
    #[error("the connection was closed before the request was sent: {0}")]
    Unsent(#[source] hyper::Error),
    /// The request was on its way; whether it ran is not known.
    #[error("the connection failed after the request was sent: {0}")]
    Broken(#[source] hyper::Error),
}

impl LinkError {
    /// Tells whether the request surely did not run.
    pub(super) fn is_not_run(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Unknown { .. } | Self::Unsent(_) => true,
            Self::Broken(_) => false,
        }
    }
}

/// One connection to an upstream or a peer; dropping it closes it.
#[derive(Debug)]
pub(super) struct UpstreamLink {
    sender: SendRequest<RequestBody>,
    driver: JoinHandle<()>,
}

impl UpstreamLink {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails when nobody accepts the connection.
    pub(super) async fn connect(address: SocketAddrV4) -> Result<Self, LinkError> {
        let unreachable = |cause| LinkError::Unreachable { address, cause };
        let stream = TcpStream::connect(address).await.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(LinkError::Unsent)?;
        let driver = tokio::spawn(async move {
            // The request reports what went wrong.
            let _ = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Returns whether another request may be sent.
    pub(super) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Waits until the connection takes another request.
    pub(super) async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns the head of the answer with its body.
    ///
    /// # Errors
    ///
    /// Fails when no whole head of an answer came back.
    pub(super) async fn send(
        mut self,
        request: Request<RequestBody>,
    ) -> Result<(Self, Response<Incoming>), LinkError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok((self, response)),
            Err(mut error) => {
                if error.take_message().is_some() {
                    Err(LinkError::Unsent(error.into_error()))
                } else {
                    Err(LinkError::Broken(error.into_error()))
                }
            }
        }
    }
}

impl Drop for UpstreamLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
