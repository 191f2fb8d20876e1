use std::future::pending;

use tokio::sync::{mpsc, oneshot};

use super::answer_sink::PeerPart;
use crate::agent::request::CallerDeparture;

/// Notices that a caller went away.
pub(super) struct CallerWatch {
    line: CallerLine,
    cancelled: Option<oneshot::Receiver<()>>,
    gone: bool,
}

/// What a caller is connected by.
enum CallerLine {
    Quic(quinn::Connection),
    Peer(mpsc::Sender<PeerPart>),
}

impl CallerWatch {
    /// Watches a caller; `cancelled` tells that it broke its request off.
    pub(super) fn caller(connection: quinn::Connection, cancelled: oneshot::Receiver<()>) -> Self {
        Self {
            line: CallerLine::Quic(connection),
            cancelled: Some(cancelled),
            gone: false,
        }
    }

    /// Watches another agent that relayed a request.
    pub(super) fn peer(body: mpsc::Sender<PeerPart>) -> Self {
        Self {
            line: CallerLine::Peer(body),
            cancelled: None,
            gone: false,
        }
    }

    /// Waits until the caller goes away; it is told once.
    pub(super) async fn left(&mut self) -> CallerDeparture {
        if self.gone {
            return pending().await;
        }
        let departure = tokio::select! {
            () = line_lost(&self.line) => CallerDeparture::Lost,
            () = stream_cancelled(&mut self.cancelled) => CallerDeparture::Cancelled,
        };
        self.gone = true;
        departure
    }

    /// Notes a departure that was noticed elsewhere.
    pub(super) fn set_gone(&mut self) {
        self.gone = true;
    }

    /// Tells how a caller went whose stream takes no answer any more.
    pub(super) fn departure(&self) -> CallerDeparture {
        match &self.line {
            CallerLine::Quic(connection) if connection.close_reason().is_none() => {
                CallerDeparture::Cancelled
            }
            CallerLine::Quic(_) | CallerLine::Peer(_) => CallerDeparture::Lost,
        }
    }
}

async fn line_lost(line: &CallerLine) {
    match line {
        CallerLine::Quic(connection) => {
            connection.closed().await;
        }
        CallerLine::Peer(body) => body.closed().await,
    }
}

async fn stream_cancelled(cancelled: &mut Option<oneshot::Receiver<()>>) {
    if let Some(receiver) = cancelled
        && receiver.await.is_ok()
    {
        return;
    }
    *cancelled = None;
    pending::<()>().await;
}
