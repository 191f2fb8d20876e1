use std::{convert::Infallible, future::Future, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

/// How long a client may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The response to a request.
pub type HttpResponse = Response<Full<Bytes>>;

/// Serves the HTTP/1.1 requests at a listener for as long as the process runs.
pub async fn serve_http<F, A>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = HttpResponse> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            // A client whose connection fails sends its request again.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
