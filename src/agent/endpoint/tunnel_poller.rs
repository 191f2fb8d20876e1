use std::{
    fmt,
    future::Future,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use quinn::UdpPoller;
use tokio::net::UdpSocket;

type WritableFuture = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

/// Waits until the tunnel's socket is writable.
pub(super) struct TunnelPoller {
    socket: Arc<UdpSocket>,
    writable: Option<WritableFuture>,
}

impl TunnelPoller {
    /// Creates a poller for one task.
    pub(super) fn new(socket: Arc<UdpSocket>) -> Self {
        Self {
            socket,
            writable: None,
        }
    }
}

impl UdpPoller for TunnelPoller {
    fn poll_writable(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poller = self.get_mut();
        let socket = Arc::clone(&poller.socket);
        let writable = poller
            .writable
            .get_or_insert_with(|| Box::pin(async move { socket.writable().await }));
        let result = writable.as_mut().poll(context);
        if result.is_ready() {
            poller.writable = None;
        }
        result
    }
}

impl fmt::Debug for TunnelPoller {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("TunnelPoller")
            .finish_non_exhaustive()
    }
}
