use bytes::{Buf, Bytes, BytesMut};
use h3::{client::RequestStream, error::StreamError};
use h3_quinn::BidiStream;
use http::HeaderMap;

use super::{CallAnswer, CallerError};

/// The longest answer that is kept in memory.
const MOST_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// An answer whose body is still coming in.
pub struct AnswerStream {
    status: u16,
    headers: HeaderMap,
    stream: RequestStream<BidiStream<Bytes>, Bytes>,
}

impl AnswerStream {
    /// Sends the body and waits for the head of the answer.
    pub(super) async fn open(
        mut stream: RequestStream<BidiStream<Bytes>, Bytes>,
        body: Bytes,
    ) -> Result<Self, CallerError> {
        // A server may answer in full and stop reading; the answer counts.
        match send_body(&mut stream, body).await {
            Ok(()) | Err(StreamError::RemoteTerminate { .. }) => {}
            Err(error) => return Err(CallerError::Stream(error)),
        }
        let head = stream.recv_response().await.map_err(CallerError::Stream)?;
        Ok(Self {
            status: head.status().as_u16(),
            headers: head.headers().clone(),
            stream,
        })
    }

    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        self.status
    }

    /// Returns the headers.
    #[must_use]
    pub const fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Waits for the next part of the body; none at its proper end.
    ///
    /// # Errors
    ///
    /// Fails when the stream was cut before its end.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, CallerError> {
        let part = self.stream.recv_data().await;
        let part = part.map_err(CallerError::Stream)?;
        Ok(part.map(|mut part| part.copy_to_bytes(part.remaining())))
    }

    /// Waits for the whole body.
    ///
    /// # Errors
    ///
    /// Fails when the body was cut or is too long.
    pub async fn collect(mut self) -> Result<CallAnswer, CallerError> {
        let mut body = BytesMut::new();
        while let Some(part) = self.next_part().await? {
            if body.len() + part.len() > MOST_ANSWER_BYTES {
                return Err(CallerError::Oversize {
                    limit: MOST_ANSWER_BYTES,
                });
            }
            body.extend_from_slice(&part);
        }
        Ok(CallAnswer {
            status: self.status,
            headers: self.headers,
            body: body.freeze(),
        })
    }
}

async fn send_body(
    stream: &mut RequestStream<BidiStream<Bytes>, Bytes>,
    body: Bytes,
) -> Result<(), StreamError> {
    if !body.is_empty() {
        stream.send_data(body).await?;
    }
    stream.finish().await
}
