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

/// The type of a final answer's body (RFC 9457).
const PROBLEM_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

/// The caller's side of a request is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the caller takes no answer any more")]
pub(super) struct SinkError;

/// The answer was cut short on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer was cut")]
pub(super) struct AnswerCut;

/// A part of an answer to a peer, or the cut of it.
pub(super) type PeerPart = Result<Frame<Bytes>, AnswerCut>;

/// Where the answer of a request goes.
///
/// Dropping it before the end breaks the answer off: an answer that is not
/// whole never looks finished.
pub(super) struct AnswerSink {
    line: SinkLine,
    ended: bool,
}

/// What the answer is sent over.
enum SinkLine {
    /// A stream of HTTP/3 to a caller.
    Caller(Box<RequestStream<h3_quinn::SendStream<Bytes>, Bytes>>),
    /// An answer of HTTP/1.1 to another agent.
    Peer {
        head: Option<oneshot::Sender<Response<()>>>,
        body: mpsc::Sender<PeerPart>,
    },
}

impl AnswerSink {
    /// Sends the answer to a caller.
    pub(super) fn caller(stream: RequestStream<h3_quinn::SendStream<Bytes>, Bytes>) -> Self {
        Self {
            line: SinkLine::Caller(Box::new(stream)),
            ended: false,
        }
    }

    /// Sends the answer to another agent.
    pub(super) fn peer(head: oneshot::Sender<Response<()>>, body: mpsc::Sender<PeerPart>) -> Self {
        let head = Some(head);
        Self {
            line: SinkLine::Peer { head, body },
            ended: false,
        }
    }

    /// Sends the head of the answer.
    pub(super) async fn send_head(&mut self, response: Response<()>) -> Result<(), SinkError> {
        match &mut self.line {
            SinkLine::Caller(stream) => stream.send_response(response).await.map_err(|_| SinkError),
            SinkLine::Peer { head, .. } => {
                let head = head.take().ok_or(SinkError)?;
                head.send(response).map_err(|_| SinkError)
            }
        }
    }

    /// Sends a part of the body.
    pub(super) async fn send_data(&mut self, data: Bytes) -> Result<(), SinkError> {
        match &mut self.line {
            SinkLine::Caller(stream) => stream.send_data(data).await.map_err(|_| SinkError),
            SinkLine::Peer { body, .. } => {
                let part = Ok(Frame::data(data));
                body.send(part).await.map_err(|_| SinkError)
            }
        }
    }

    /// Ends the answer: all of it was sent.
    pub(super) async fn finish(mut self) {
        if let SinkLine::Caller(stream) = &mut self.line {
            // A caller that is gone misses nothing.
            let _ = stream.finish().await;
        }
        self.ended = true;
    }

    /// Breaks the answer off, so that it never looks finished.
    pub(super) fn reset(self) {
        drop(self);
    }

    /// Gives a final answer of the agent itself; `ticket` is a fresh one.
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
        if let SinkLine::Peer { .. } = self.line {
            headers.insert(FINAL_HEADER, final_mark(answer));
        }
        self.send_whole(response, body).await;
    }

    /// Gives the kept answer of a run that has ended.
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
        self.send_whole(response, body).await;
    }

    async fn send_whole(mut self, response: Response<()>, body: Bytes) {
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
        if self.ended {
            return;
        }
        match &mut self.line {
            SinkLine::Caller(stream) => stream.stop_stream(Code::H3_INTERNAL_ERROR),
            SinkLine::Peer { body, .. } => {
                if let Err(mpsc::error::TrySendError::Full(cut)) = body.try_send(Err(AnswerCut)) {
                    let body = body.clone();
                    tokio::spawn(async move { body.send(cut).await });
                }
            }
        }
    }
}

/// Tells a peer what the final answer says, without its body being read.
fn final_mark(answer: &FinalAnswer) -> HeaderValue {
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
