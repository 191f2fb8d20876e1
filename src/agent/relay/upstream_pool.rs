use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::{LinkError, UpstreamLink};

/// Idle connections that are kept to the own upstream.
const MOST_IDLE: usize = 8;

/// Connections to the own upstream.
#[derive(Debug)]
pub(super) struct UpstreamPool {
    address: SocketAddrV4,
    idle: Mutex<Vec<UpstreamLink>>,
}

impl UpstreamPool {
    /// Creates an empty pool for the upstream at `address`.
    pub(super) fn new(address: SocketAddrV4) -> Arc<Self> {
        Arc::new(Self {
            address,
            idle: Mutex::new(Vec::new()),
        })
    }

    /// Returns a connection; only an idempotent request gets a used one.
    ///
    /// An upstream may close an idle connection in the very moment in which a
    /// request is written, and then nobody knows whether it ran.
    ///
    /// # Errors
    ///
    /// Fails when the upstream accepts no connection.
    pub(super) async fn take(&self, idempotent: bool) -> Result<UpstreamLink, LinkError> {
        if idempotent && let Some(link) = self.take_idle() {
            return Ok(link);
        }
        UpstreamLink::connect(self.address).await
    }

    /// Puts a connection back once its answer has ended.
    pub(super) fn put_back(self: &Arc<Self>, mut link: UpstreamLink) {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            if link.ready().await {
                let mut idle = pool.lock();
                if idle.len() < MOST_IDLE {
                    idle.push(link);
                }
            }
        });
    }

    fn take_idle(&self) -> Option<UpstreamLink> {
        let mut idle = self.lock();
        while let Some(link) = idle.pop() {
            if link.is_open() {
                return Some(link);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Vec<UpstreamLink>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
