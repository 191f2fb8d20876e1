use std::{net::SocketAddrV4, path::PathBuf};

use super::{AdminError, AdminServer, AdminSource, start_metrics};
use crate::secret::SecretStore;

/// The addresses at which a process shows itself, from its settings.
#[derive(Debug, Clone)]
pub(crate) struct AdminEdge {
    /// The address of the admin calls.
    pub(crate) admin_listen: Option<SocketAddrV4>,
    /// The address of the metrics.
    pub(crate) metrics_listen: Option<SocketAddrV4>,
    /// The file with the deployment secret.
    pub(crate) secret_file: PathBuf,
}

impl AdminEdge {
    /// Serves both addresses, as far as they are set, until the server is dropped.
    pub(crate) async fn open(self, source: AdminSource) -> Result<Option<AdminServer>, AdminError> {
        if let Some(listen) = self.metrics_listen {
            start_metrics(listen)?;
        }
        let Some(listen) = self.admin_listen else {
            return Ok(None);
        };
        let secret = SecretStore::open(self.secret_file)?;
        AdminServer::start(listen, secret, source).await.map(Some)
    }
}
