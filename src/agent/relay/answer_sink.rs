use bytes::Bytes;
use h3::{error::Code, server::RequestStream};
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use http_body::Frame;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use super::FINAL_HEADER;
use crate::agent::{
    outcome::{FinalAnswer, NotRunCause, RunState},
    ticket::KeptOutcome,
};

/// The content type of a final answer (RFC 9457).
const PROBLEM_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

/// The caller or peer no longer reads the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the caller no longer reads the answer")]
pub(super) struct SinkError;

/// The answer was aborted before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer was aborted")]
pub(super) struct AnswerAborted;

/// A frame of an answer's body to a peer, or its abort.
pub(super) type PeerBodyPart = Result<Frame<Bytes>, AnswerAborted>;

/// Where the answer of a request goes.
///
/// Dropping it before the end aborts the answer, so that an incomplete one
/// never looks complete.
pub(super) struct AnswerSink {
    transport: SinkTransport,
    finished: bool,
}

/// The transport of an answer.
enum SinkTransport {
    /// An HTTP/3 stream to a caller.
    Caller(Box<RequestStream<h3_quinn::SendStream<Bytes>, Bytes>>),
    /// An HTTP/1.1 response to another agent.
    Peer {
        head: Option<oneshot::Sender<Response<()>>>,
        body: mpsc::Sender<PeerBodyPart>,
    },
}

impl AnswerSink {
    /// Creates the sink of an answer to a caller.
    pub(super) fn caller(stream: RequestStream<h3_quinn::SendStream<Bytes>, Bytes>) -> Self {
        Self {
            transport: SinkTransport::Caller(Box::new(stream)),
            finished: false,
        }
    }

    /// Creates the sink of an answer to another agent.
    pub(super) fn peer(
        head: oneshot::Sender<Response<()>>,
        body: mpsc::Sender<PeerBodyPart>,
    ) -> Self {
        let head = Some(head);
        Self {
            transport: SinkTransport::Peer { head, body },
            finished: false,
        }
    }

    /// Sends the head of the answer.
    pub(super) async fn send_head(&mut self, response: Response<()>) -> Result<(), SinkError> {
        match &mut self.transport {
            SinkTransport::Caller(stream) => {
                stream.send_response(response).await.map_err(|_| SinkError)
            }
            SinkTransport::Peer { head, .. } => {
                let head = head.take().ok_or(SinkError)?;
                head.send(response).map_err(|_| SinkError)
            }
        }
    }

    /// Sends a part of the body.
    pub(super) async fn send_data(&mut self, data: Bytes) -> Result<(), SinkError> {
        match &mut self.transport {
            SinkTransport::Caller(stream) => stream.send_data(data).await.map_err(|_| SinkError),
            SinkTransport::Peer { body, .. } => {
                let part = Ok(Frame::data(data));
                body.send(part).await.map_err(|_| SinkError)
            }
        }
    }

    /// Ends a complete answer.
    pub(super) async fn finish(mut self) {
        if let SinkTransport::Caller(stream) = &mut self.transport {
            // An error here only means that the caller is gone.
            let _ = stream.finish().await;
        }
        self.finished = true;
    }

    /// Aborts the answer; the drop resets the stream.
    pub(super) fn reset(self) {
        drop(self);
    }

    /// Sends an answer that the agent generated, with a fresh `ticket` if given.
    pub(super) async fn send_final(self, answer: &FinalAnswer, ticket: Option<String>) {
        let mut problem = answer.problem();
        if let Some(ticket) = ticket {
            problem = problem.with_ticket(ticket);
        }
        let body = Bytes::from(serde_json::to_vec(&problem).unwrap_or_default());
        let mut response = Response::new(());
        *response.status_mut() = answer.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, PROBLEM_TYPE);
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
        if let Some(seconds) = answer.retry_after_seconds() {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let SinkTransport::Peer { .. } = self.transport {
            headers.insert(FINAL_HEADER, final_header(answer));
        }
        self.send_complete(response, body).await;
    }

    /// Replays the stored answer of a run that has ended.
    pub(super) async fn send_kept(self, outcome: &KeptOutcome) {
        let mut response = Response::new(());
        *response.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
        for kept in &outcome.headers {
            let name = HeaderName::from_bytes(kept.name.as_bytes());
            let value = HeaderValue::from_bytes(&kept.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers_mut().append(name, value);
            }
        }
        let body = Bytes::copy_from_slice(&outcome.body);
        self.send_complete(response, body).await;
    }

    async fn send_complete(mut self, response: Response<()>, body: Bytes) {
        if self.send_head(response).await.is_err() {
            return;
        }
        if body.is_empty() || self.send_data(body).await.is_ok() {
            self.finish().await;
        }
    }
}

impl Drop for AnswerSink {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        match &mut self.transport {
            SinkTransport::Caller(stream) => stream.stop_stream(Code::H3_INTERNAL_ERROR),
            SinkTransport::Peer { body, .. } => {
                if let Err(mpsc::error::TrySendError::Full(cut)) = body.try_send(Err(AnswerAborted))
                {
                    let body = body.clone();
                    tokio::spawn(async move { body.send(cut).await });
                }
            }
        }
    }
}

/// Returns the header by which a peer reads the run state without the body.
fn final_header(answer: &FinalAnswer) -> HeaderValue {
    if let FinalAnswer::NotRun {
        cause: NotRunCause::GrantLost,
        ..
    } = answer
    {
        return HeaderValue::from_static("grant-lost");
    }
    HeaderValue::from_static(match answer.run_state() {
        RunState::NotRun => "not-run",
        RunState::Running => "running",
        RunState::Ran => "ran",
        RunState::Unknown => "unknown",
    })
}
