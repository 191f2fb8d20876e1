use std::{sync::Arc, time::Duration};

use quinn::{Incoming, VarInt};
use tokio::{sync::Semaphore, time::timeout};

use crate::clock::SpanMillis;

/// Refusals with a reason that run at once; more are refused without one.
const MOST_REASONED: usize = 32;
/// How long the handshake of a refused connection may take.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(3);
/// The code of a connection that is refused under load (RFC 9114).
const EXCESSIVE_LOAD: VarInt = VarInt::from_u32(0x107);

/// Refuses connections and tells callers when to come back.
///
/// QUIC refuses a handshake without a reason; only a connection that stands
/// can be closed with one, so a few at a time are let that far.
#[derive(Debug, Clone)]
pub(crate) struct RefusalDesk {
    permits: Arc<Semaphore>,
}

impl RefusalDesk {
    /// Creates a desk that refuses nothing yet.
    pub(crate) fn new() -> Self {
        Self {
            permits: Arc::new(Semaphore::new(MOST_REASONED)),
        }
    }

    /// Refuses a connection at once.
    pub(crate) fn refuse(&self, incoming: Incoming, retry_after: SpanMillis) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
            incoming.refuse();
            return;
        };
        tokio::spawn(async move {
            let _permit = permit;
            // A caller that leaves within its handshake needs no reason.
            if let Ok(Ok(connection)) = timeout(HANDSHAKE_LIMIT, incoming).await {
                let reason = format!("not run; come back in {retry_after}");
                connection.close(EXCESSIVE_LOAD, reason.as_bytes());
            }
        });
    }
}
