use std::net::{SocketAddr, SocketAddrV4};

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder};

use super::AdminError;
use crate::clock::SpanMillis;

/// Offers the metrics of this process in Prometheus' text format.
///
/// It must be called within the runtime, once a process.
///
/// # Errors
///
/// Fails when the address can't be listened on, or at a second call.
pub fn start_metrics(listen: SocketAddrV4) -> Result<(), AdminError> {
    let address = SocketAddr::V4(listen);
    PrometheusBuilder::new()
        .with_http_listener(address)
        .install()
        .map_err(|cause| match cause {
            BuildError::FailedToSetGlobalRecorder(_) => AdminError::MetricsTaken,
            cause => AdminError::Metrics { address, cause },
        })
}

/// Offers the metrics once `delay` is over; nothing is offered earlier.
///
/// The recorder measures the processor's clock when it is built, which takes a
/// small VM a good part of its start; so it is built later, on a thread of its
/// own. It must be called within the runtime.
///
/// # Errors
///
/// Fails as [`start_metrics`] does.
pub async fn start_metrics_after(
    delay: SpanMillis,
    listen: SocketAddrV4,
) -> Result<(), AdminError> {
    tokio::time::sleep(delay.duration()).await;
    let address = SocketAddr::V4(listen);
    let failed = |cause| AdminError::Metrics { address, cause };
    let build = move || PrometheusBuilder::new().with_http_listener(address).build();
    let (recorder, exporter) = tokio::task::spawn_blocking(build)
        .await
        .map_err(|_| AdminError::MetricsTaken)?
        .map_err(failed)?;
    metrics::set_global_recorder(recorder).map_err(|_| AdminError::MetricsTaken)?;
    tokio::spawn(exporter);
    Ok(())
}
