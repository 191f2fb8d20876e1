use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes, BytesMut};
use h3::server::RequestStream;
use http_body::{Body, Frame};
use hyper::body::Incoming;
use tokio::sync::oneshot;

/// The longest body that is read before the request asks for a slot, in bytes.
const MOST_BUFFERED_BYTES: usize = 64 * 1024;

/// Where the body of a request comes from.
pub(super) enum BodySource {
    /// From a caller, over HTTP/3.
    Caller {
        /// The receiving half of the request's stream.
        stream: RequestStream<h3_quinn::RecvStream, Bytes>,
        /// Told when the caller breaks the request off.
        cancelled: Option<oneshot::Sender<()>>,
    },
    /// From another agent, over HTTP/1.1.
    Peer(Incoming),
}

/// The body of a request, as the upstream's connection reads it.
pub(super) struct RequestBody {
    start: Bytes,
    rest: Option<BodySource>,
}

impl RequestBody {
    /// Reads the body up to a bound; what is longer follows as a stream.
    ///
    /// # Errors
    ///
    /// Fails when the body broke off.
    pub(super) async fn read(mut source: BodySource) -> io::Result<Self> {
        let mut start = BytesMut::new();
        while start.len() <= MOST_BUFFERED_BYTES {
            match source.next_part().await? {
                Some(part) => start.extend_from_slice(&part),
                None => {
                    return Ok(Self {
                        start: start.freeze(),
                        rest: None,
                    });
                }
            }
        }
        Ok(Self {
            start: start.freeze(),
            rest: Some(source),
        })
    }

    /// Returns a copy that can be sent again, if all of the body is here.
    pub(super) fn copy(&self) -> Option<Self> {
        match self.rest {
            None => Some(Self {
                start: self.start.clone(),
                rest: None,
            }),
            Some(_) => None,
        }
    }

    /// Returns the length of the body if all of it is here.
    pub(super) fn length(&self) -> Option<usize> {
        self.rest.is_none().then(|| self.start.len())
    }
}

impl BodySource {
    async fn next_part(&mut self) -> io::Result<Option<Bytes>> {
        std::future::poll_fn(|context| self.poll_part(context)).await
    }

    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        match self {
            Self::Caller { stream, cancelled } => {
                let data = ready!(stream.poll_recv_data(context));
                Poll::Ready(match data {
                    Ok(data) => Ok(data.map(|mut data| data.copy_to_bytes(data.remaining()))),
                    Err(error) => {
                        if let Some(cancelled) = cancelled.take() {
                            // The request may have ended already.
                            let _ = cancelled.send(());
                        }
                        Err(io::Error::other(error))
                    }
                })
            }
            Self::Peer(incoming) => poll_incoming(incoming, context),
        }
    }
}

fn poll_incoming(
    incoming: &mut Incoming,
    context: &mut Context<'_>,
) -> Poll<io::Result<Option<Bytes>>> {
    loop {
        let frame = ready!(Pin::new(&mut *incoming).poll_frame(context));
        match frame.map(|frame| frame.map(Frame::into_data)) {
            Some(Ok(Ok(data))) => return Poll::Ready(Ok(Some(data))),
            Some(Ok(Err(_trailers))) => {}
            Some(Err(error)) => return Poll::Ready(Err(io::Error::other(error))),
            None => return Poll::Ready(Ok(None)),
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let body = self.get_mut();
        if !body.start.is_empty() {
            let start = std::mem::take(&mut body.start);
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        let Some(source) = &mut body.rest else {
            return Poll::Ready(None);
        };
        let part = ready!(source.poll_part(context));
        Poll::Ready(part.transpose().map(|part| part.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self.rest {
            None => http_body::SizeHint::with_exact(self.start.len() as u64),
            Some(_) => http_body::SizeHint::default(),
        }
    }
}
