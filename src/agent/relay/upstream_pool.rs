use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::{AttemptError, RelayConnection};

/// The most idle connections kept open to the upstream.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Pools idle connections to the agent's upstream.
#[derive(Debug)]
pub(super) struct UpstreamPool {
    address: SocketAddrV4,
    idle: Mutex<Vec<RelayConnection>>,
}

impl UpstreamPool {
    /// Creates an empty pool for the upstream at `address`.
    pub(super) fn new(address: SocketAddrV4) -> Arc<Self> {
        Arc::new(Self {
            address,
            idle: Mutex::new(Vec::new()),
        })
    }

    /// Returns a connection; only an idempotent request gets a pooled one.
    ///
    /// An upstream may close an idle connection while a request is written, and
    /// then it is unknown whether the request ran.
    ///
    /// # Errors
    ///
    /// Fails when the upstream accepts no connection.
    pub(super) async fn acquire(&self, idempotent: bool) -> Result<RelayConnection, AttemptError> {
        if idempotent && let Some(connection) = self.pop_idle() {
            return Ok(connection);
        }
        RelayConnection::connect(self.address).await
    }

    /// Returns a connection to the pool once it is ready for another request.
    pub(super) fn release(self: &Arc<Self>, mut connection: RelayConnection) {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            if connection.ready().await {
                let mut idle = pool.lock();
                if idle.len() < MAX_IDLE_CONNECTIONS {
                    idle.push(connection);
                }
            }
        });
    }

    fn pop_idle(&self) -> Option<RelayConnection> {
        let mut idle = self.lock();
        while let Some(connection) = idle.pop() {
            if connection.is_open() {
                return Some(connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RelayConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
