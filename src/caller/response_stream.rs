use bytes::{Buf, Bytes, BytesMut};
use h3::{client::RequestStream, error::StreamError};
use h3_quinn::BidiStream;
use http::HeaderMap;

use super::{CallResponse, CallerError};

/// The largest response body in bytes that is collected in memory.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A response whose body is still being received.
pub struct ResponseStream {
    status: u16,
    headers: HeaderMap,
    stream: RequestStream<BidiStream<Bytes>, Bytes>,
}

impl ResponseStream {
    /// Sends the request body and waits for the response headers.
    pub(super) async fn open(
        mut stream: RequestStream<BidiStream<Bytes>, Bytes>,
        body: Bytes,
    ) -> Result<Self, CallerError> {
        // A server may respond completely and stop reading the body; its response is valid.
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

    /// Returns the response headers.
    #[must_use]
    pub const fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Waits for the next chunk of the body; `None` at its regular end.
    ///
    /// # Errors
    ///
    /// Fails when the stream ended before the body was complete.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, CallerError> {
        let chunk = self.stream.recv_data().await;
        let chunk = chunk.map_err(CallerError::Stream)?;
        Ok(chunk.map(|mut chunk| chunk.copy_to_bytes(chunk.remaining())))
    }

    /// Waits for the complete body.
    ///
    /// # Errors
    ///
    /// Fails when the body is incomplete or exceeds 64 MiB.
    pub async fn collect(mut self) -> Result<CallResponse, CallerError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                return Err(CallerError::Oversize {
                    limit: MAX_RESPONSE_BYTES,
                });
            }
            body.extend_from_slice(&chunk);
        }
        Ok(CallResponse {
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
