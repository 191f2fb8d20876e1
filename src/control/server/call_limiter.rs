use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{clock::SpanMillis, control::api::CallRefusal};

/// The maximum number of concurrent calls other than `watch`.
const MAX_CALLS: usize = 1_024;
/// The maximum number of concurrent `watch` calls.
const MAX_WAITING_WATCHERS: usize = 32_768;
/// The time after which a refused caller may retry.
const RETRY_AFTER_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// Limits concurrent calls; calls above the limit are refused immediately.
#[derive(Debug, Clone)]
pub(crate) struct CallLimiter {
    calls: Arc<Semaphore>,
    watchers: Arc<Semaphore>,
}

impl CallLimiter {
    /// Creates a limiter with the default limits.
    pub(crate) fn new() -> Self {
        Self {
            calls: Arc::new(Semaphore::new(MAX_CALLS)),
            watchers: Arc::new(Semaphore::new(MAX_WAITING_WATCHERS)),
        }
    }

    /// Creates a limiter for `calls` short calls and `watchers` watch calls.
    #[cfg(test)]
    pub(crate) fn with_limits(calls: usize, watchers: usize) -> Self {
        Self {
            calls: Arc::new(Semaphore::new(calls)),
            watchers: Arc::new(Semaphore::new(watchers)),
        }
    }

    /// Admits a short call until the permit is dropped.
    pub(crate) fn admit_call(&self) -> Result<OwnedSemaphorePermit, CallRefusal> {
        try_acquire(&self.calls)
    }

    /// Admits a watch call until the permit is dropped.
    pub(crate) fn admit_watcher(&self) -> Result<OwnedSemaphorePermit, CallRefusal> {
        try_acquire(&self.watchers)
    }
}

fn try_acquire(semaphore: &Arc<Semaphore>) -> Result<OwnedSemaphorePermit, CallRefusal> {
    let overloaded = CallRefusal::Overloaded {
        retry_after_millis: RETRY_AFTER_MILLIS.millis(),
    };
    Arc::clone(semaphore)
        .try_acquire_owned()
        .map_err(|_| overloaded)
}
