use std::{net::SocketAddrV4, path::PathBuf};

use super::{AdminError, AdminHandlers, AdminServer, start_metrics};
use crate::secret::SecretStore;

/// The admin and metrics addresses of a process, from its settings.
#[derive(Debug, Clone)]
pub(crate) struct AdminEndpoints {
    /// The address for admin calls; not served when absent.
    pub(crate) admin_listen: Option<SocketAddrV4>,
    /// The address for metrics; not served when absent.
    pub(crate) metrics_listen: Option<SocketAddrV4>,
    /// The file with the deployment secret.
    pub(crate) secret_file: PathBuf,
}

impl AdminEndpoints {
    /// Starts serving the addresses that are set.
    ///
    /// Admin calls are answered until the returned server is dropped.
    pub(crate) async fn open(
        self,
        handlers: AdminHandlers,
    ) -> Result<Option<AdminServer>, AdminError> {
        if let Some(listen) = self.metrics_listen {
            start_metrics(listen)?;
        }
        let Some(listen) = self.admin_listen else {
            return Ok(None);
        };
        let secret = SecretStore::open(self.secret_file)?;
        AdminServer::start(listen, secret, handlers).await.map(Some)
    }
}
