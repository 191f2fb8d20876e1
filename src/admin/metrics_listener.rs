use std::net::{SocketAddr, SocketAddrV4};

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder};

use super::AdminError;

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
