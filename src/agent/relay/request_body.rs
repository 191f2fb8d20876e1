use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes};
use h3::{error::StreamError, server::RequestStream};
use http_body::{Body, Frame};

/// The body of a caller's request, as the upstream's client reads it.
pub(crate) struct RequestBody {
    stream: RequestStream<h3_quinn::RecvStream, Bytes>,
}

impl RequestBody {
    /// Wraps the receiving half of a request's stream.
    pub(super) fn new(stream: RequestStream<h3_quinn::RecvStream, Bytes>) -> Self {
        Self { stream }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let body = self.get_mut();
        let data = ready!(body.stream.poll_recv_data(context));
        Poll::Ready(match data {
            Ok(Some(mut data)) => {
                let bytes = data.copy_to_bytes(data.remaining());
                Some(Ok(Frame::data(bytes)))
            }
            Ok(None) => None,
            Err(error) => Some(Err(error)),
        })
    }
}
