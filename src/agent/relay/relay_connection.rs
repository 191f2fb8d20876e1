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

/// Why an attempt got no answer.
#[derive(Debug, Error, Diagnostic)]
pub(super) enum AttemptError {
    /// The connection failed; the request did not run.
    #[error("no connection to {address}: {cause}")]
    Unreachable {
        /// The address of the upstream or peer.
        address: SocketAddrV4,
        /// The error from the operating system.
        #[source]
        cause: io::Error,
    },
    /// The peer is no longer registered; the request did not run.
    #[error("{target} is no longer registered")]
    Unregistered {
        /// The peer's target.
        target: TargetKey,
    },
    /// The connection closed before the request was sent; it did not run.
    #[error("the connection was closed before the request was sent: {0}")]
    Unsent(#[source] hyper::Error),
    /// The connection failed after the request was sent; it may have run.
    #[error("the connection failed after the request was sent: {0}")]
    Broken(#[source] hyper::Error),
}

impl AttemptError {
    /// Returns whether the request certainly did not run.
    pub(super) fn did_not_run(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Unregistered { .. } | Self::Unsent(_) => true,
            Self::Broken(_) => false,
        }
    }
}

/// An HTTP/1.1 connection to an upstream or a peer; dropping it closes it.
#[derive(Debug)]
pub(super) struct RelayConnection {
    sender: SendRequest<RequestBody>,
    driver: JoinHandle<()>,
}

impl RelayConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails when the connection can't be established.
    pub(super) async fn connect(address: SocketAddrV4) -> Result<Self, AttemptError> {
        let unreachable = |cause| AttemptError::Unreachable { address, cause };
        let stream = TcpStream::connect(address).await.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(AttemptError::Unsent)?;
        let driver = tokio::spawn(async move {
            // Ignored: the request on this connection reports the error.
            let _ = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Sends a request and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// Fails when no complete head of a response arrives.
    pub(super) async fn send(
        mut self,
        request: Request<RequestBody>,
    ) -> Result<(Self, Response<Incoming>), AttemptError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok((self, response)),
            Err(mut error) => {
                if error.take_message().is_some() {
                    Err(AttemptError::Unsent(error.into_error()))
                } else {
                    Err(AttemptError::Broken(error.into_error()))
                }
            }
        }
    }
}

impl Drop for RelayConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
