use std::future::pending;

use tokio::sync::{mpsc, oneshot};

use super::answer_sink::PeerBodyPart;
use crate::agent::request::CallerDeparture;

/// Detects that a caller disconnects or cancels its request.
pub(super) struct CallerWatch {
    connection: CallerConnection,
    cancellation: Option<oneshot::Receiver<()>>,
    departed: bool,
}

/// The connection to a caller.
enum CallerConnection {
    Quic(quinn::Connection),
    Peer(mpsc::Sender<PeerBodyPart>),
}

impl CallerWatch {
    /// Watches a caller; `cancellation` fires when it cancels its request.
    pub(super) fn caller(
        connection: quinn::Connection,
        cancellation: oneshot::Receiver<()>,
    ) -> Self {
        Self {
            connection: CallerConnection::Quic(connection),
            cancellation: Some(cancellation),
            departed: false,
        }
    }

    /// Watches another agent that relayed a request.
    pub(super) fn peer(body: mpsc::Sender<PeerBodyPart>) -> Self {
        Self {
            connection: CallerConnection::Peer(body),
            cancellation: None,
            departed: false,
        }
    }

    /// Waits until the caller departs; pends forever once that was reported.
    pub(super) async fn await_departure(&mut self) -> CallerDeparture {
        if self.departed {
            return pending().await;
        }
        let departure = tokio::select! {
            () = connection_lost(&self.connection) => CallerDeparture::Lost,
            () = stream_cancelled(&mut self.cancellation) => CallerDeparture::Cancelled,
        };
        self.departed = true;
        departure
    }

    /// Records a departure that was detected elsewhere.
    pub(super) fn mark_departed(&mut self) {
        self.departed = true;
    }

    /// Returns how a caller departed whose stream rejected the answer.
    pub(super) fn departure(&self) -> CallerDeparture {
        match &self.connection {
            CallerConnection::Quic(connection) if connection.close_reason().is_none() => {
                CallerDeparture::Cancelled
            }
            CallerConnection::Quic(_) | CallerConnection::Peer(_) => CallerDeparture::Lost,
        }
    }
}

async fn connection_lost(connection: &CallerConnection) {
    match connection {
        CallerConnection::Quic(connection) => {
            connection.closed().await;
        }
        CallerConnection::Peer(body) => body.closed().await,
    }
}

async fn stream_cancelled(cancellation: &mut Option<oneshot::Receiver<()>>) {
    if let Some(receiver) = cancellation
        && receiver.await.is_ok()
    {
        return;
    }
    *cancellation = None;
    pending::<()>().await;
}
