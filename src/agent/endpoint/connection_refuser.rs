use std::{sync::Arc, time::Duration};

use quinn::{Incoming, VarInt};
use tokio::{sync::Semaphore, time::timeout};

use crate::clock::SpanMillis;

/// The most concurrent refusals with a reason; further ones carry none.
const MAX_REASONED_REFUSALS: usize = 32;
/// How long the handshake of a refused connection may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// `H3_EXCESSIVE_LOAD` (RFC 9114).
const EXCESSIVE_LOAD: VarInt = VarInt::from_u32(0x107);

/// Refuses connections and tells callers when to retry.
///
/// A handshake is refused without a reason; only an established connection can
/// be closed with one, so a limited number completes the handshake first.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionRefuser {
    permits: Arc<Semaphore>,
}

impl ConnectionRefuser {
    /// Creates a refuser with all its permits free.
    pub(crate) fn new() -> Self {
        Self {
            permits: Arc::new(Semaphore::new(MAX_REASONED_REFUSALS)),
        }
    }

    /// Refuses a connection, with a reason if a permit is free.
    pub(crate) fn refuse(&self, incoming: Incoming, retry_after: SpanMillis) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
            incoming.refuse();
            return;
        };
        tokio::spawn(async move {
            let _permit = permit;
            // A caller that gives up during the handshake gets no reason.
            if let Ok(Ok(connection)) = timeout(HANDSHAKE_TIMEOUT, incoming).await {
                let reason = format!("not run; come back in {retry_after}");
                connection.close(EXCESSIVE_LOAD, reason.as_bytes());
            }
        });
    }
}
