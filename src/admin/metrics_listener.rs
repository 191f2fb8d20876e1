use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
};

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use http_body_util::Full;
use tokio::net::TcpListener;

use super::{AdminError, MetricsRecorder, serve_http};

/// The content type of the Prometheus text format.
const CONTENT_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Serves the metrics of this process in the Prometheus text format, on every path.
///
/// Must be called within the runtime, once per process.
///
/// # Errors
///
/// Fails when the address cannot be bound, or on a second call.
pub fn start_metrics(listen: SocketAddrV4) -> Result<(), AdminError> {
    let listener = bind(listen).map_err(|cause| AdminError::Listen {
        address: SocketAddr::V4(listen),
        cause,
    })?;
    let recorder = MetricsRecorder::default();
    metrics::set_global_recorder(recorder.clone()).map_err(|_| AdminError::RecorderInstalled)?;
    tokio::spawn(serve_http(listener, move |_| {
        let mut response = Response::new(Full::new(Bytes::from(recorder.render())));
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, CONTENT_TYPE);
        std::future::ready(response)
    }));
    Ok(())
}

fn bind(listen: SocketAddrV4) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
