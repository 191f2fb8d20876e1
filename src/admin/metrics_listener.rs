use std::net::{SocketAddr, SocketAddrV4};

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder};

use super::AdminError;
use crate::clock::SpanMillis;

/// Serves the metrics of this process in the Prometheus text format.
///
/// Must be called within the runtime, once per process.
///
/// # Errors
///
/// Fails when the address cannot be bound, or on a second call.
pub fn start_metrics(listen: SocketAddrV4) -> Result<(), AdminError> {
    let address = SocketAddr::V4(listen);
    PrometheusBuilder::new()
        .with_http_listener(address)
        .install()
        .map_err(|cause| match cause {
            BuildError::FailedToSetGlobalRecorder(_) => AdminError::RecorderInstalled,
            cause => AdminError::Metrics { address, cause },
        })
}

/// Serves the metrics after `delay`; none are recorded or served before that.
///
/// Building the recorder calibrates the CPU's clock, which takes a large part of
/// a small VM's startup time, so it is built later and on a blocking thread. Must
/// be called within the runtime.
///
/// # Errors
///
/// Fails as [`start_metrics`] does.
pub async fn start_metrics_delayed(
    delay: SpanMillis,
    listen: SocketAddrV4,
) -> Result<(), AdminError> {
    tokio::time::sleep(delay.duration()).await;
    let address = SocketAddr::V4(listen);
    let failed = |cause| AdminError::Metrics { address, cause };
    let build = move || PrometheusBuilder::new().with_http_listener(address).build();
    let (recorder, exporter) = tokio::task::spawn_blocking(build)
        .await
        .map_err(|_| AdminError::RecorderInstalled)?
        .map_err(failed)?;
    metrics::set_global_recorder(recorder).map_err(|_| AdminError::RecorderInstalled)?;
    tokio::spawn(exporter);
    Ok(())
}
