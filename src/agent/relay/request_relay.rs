use bytes::Bytes;
use h3::{
    error::{Code, StreamError},
    server::RequestStream,
};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{RequestBody, ServeContext, UpstreamError};
use crate::{agent::AgentEvent, event::log_event};

type CallerStream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;
type AnswerStream = RequestStream<h3_quinn::SendStream<Bytes>, Bytes>;

/// Takes one request to the upstream and its answer back to the caller.
///
/// # Errors
///
/// Fails when the caller's stream is gone.
pub(super) async fn relay_request(
    request: Request<()>,
    stream: CallerStream,
    context: &ServeContext,
) -> Result<(), StreamError> {
    let (mut answers, body) = stream.split();
    let request = request.map(|()| RequestBody::new(body));
    match context.upstream.send(request).await {
        Ok(response) => send_answer(response, &mut answers).await,
        Err(error) => {
            log_event!(warn, AgentEvent::UpstreamFailed, %error);
            send_refusal(&error, &mut answers).await
        }
    }
}

/// Sends the upstream's answer; a body cut short resets the stream.
async fn send_answer(
    response: Response<Incoming>,
    answers: &mut AnswerStream,
) -> Result<(), StreamError> {
    let (mut head, mut body) = response.into_parts();
    head.headers.remove(http::header::CONNECTION);
    head.headers.remove(http::header::TRANSFER_ENCODING);
    answers
        .send_response(Response::from_parts(head, ()))
        .await?;
    while let Some(frame) = body.frame().await {
        match frame.map(http_body::Frame::into_data) {
            Ok(Ok(data)) => answers.send_data(data).await?,
            Ok(Err(_trailers)) => {}
            Err(error) => {
                log_event!(warn, AgentEvent::AnswerCut, %error);
                answers.stop_stream(Code::H3_INTERNAL_ERROR);
                return Ok(());
            }
        }
    }
    answers.finish().await
}

async fn send_refusal(
    error: &UpstreamError,
    answers: &mut AnswerStream,
) -> Result<(), StreamError> {
    let status = match error {
        UpstreamError::Target(_) => StatusCode::BAD_REQUEST,
        UpstreamError::Unreachable(_) => StatusCode::SERVICE_UNAVAILABLE,
        UpstreamError::Failed(_) => StatusCode::BAD_GATEWAY,
    };
    let mut response = Response::new(());
    *response.status_mut() = status;
    answers.send_response(response).await?;
    answers.finish().await
}
