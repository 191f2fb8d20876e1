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

/// Bodies up to this length are buffered completely before the request asks for
/// a slot, in bytes.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// The source of a request's body.
pub(super) enum BodySource {
    /// From a caller, over HTTP/3.
    Caller {
        /// The receiving half of the request's stream.
        stream: RequestStream<h3_quinn::RecvStream, Bytes>,
        /// Fires when the caller cancels the request.
        cancelled: Option<oneshot::Sender<()>>,
    },
    /// From another agent, over HTTP/1.1.
    Peer(Incoming),
}

/// The body of a relayed request: a buffered prefix and the rest as a stream.
pub(super) struct RequestBody {
    buffered: Bytes,
    remaining: Option<BodySource>,
}

impl RequestBody {
    /// Buffers the body up to a limit; the rest of a longer one is streamed.
    ///
    /// # Errors
    ///
    /// Fails when the body ends early.
    pub(super) async fn read(mut source: BodySource) -> io::Result<Self> {
        let mut buffered = BytesMut::new();
        while buffered.len() <= MAX_BUFFERED_BYTES {
            match source.next_part().await? {
                Some(part) => buffered.extend_from_slice(&part),
                None => {
                    return Ok(Self {
                        buffered: buffered.freeze(),
                        remaining: None,
                    });
                }
            }
        }
        Ok(Self {
            buffered: buffered.freeze(),
            remaining: Some(source),
        })
    }

    /// Returns a copy if the body is buffered completely.
    pub(super) fn try_clone(&self) -> Option<Self> {
        match self.remaining {
            None => Some(Self {
                buffered: self.buffered.clone(),
                remaining: None,
            }),
            Some(_) => None,
        }
    }

    /// Returns the length in bytes if the body is buffered completely.
    pub(super) fn length(&self) -> Option<usize> {
        self.remaining.is_none().then(|| self.buffered.len())
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
                            // The send fails if the request has ended already.
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
        if !body.buffered.is_empty() {
            let buffered = std::mem::take(&mut body.buffered);
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let Some(source) = &mut body.remaining else {
            return Poll::Ready(None);
        };
        let part = ready!(source.poll_part(context));
        Poll::Ready(part.transpose().map(|part| part.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.remaining.is_none()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self.remaining {
            None => http_body::SizeHint::with_exact(self.buffered.len() as u64),
            Some(_) => http_body::SizeHint::default(),
        }
    }
}
