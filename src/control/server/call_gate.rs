use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{clock::SpanMillis, control::api::CallRefusal};

/// The calls that are answered at once.
const MOST_CALLS: usize = 1_024;
/// The watchers that wait at once.
const MOST_WAITING: usize = 32_768;
/// When a refused caller is asked to come back.
const RETRY_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// Bounds what is answered at once; what is beyond is refused at once.
#[derive(Debug, Clone)]
pub(crate) struct CallGate {
    calls: Arc<Semaphore>,
    watchers: Arc<Semaphore>,
}

impl CallGate {
    /// Creates a gate with the usual bounds.
    pub(crate) fn new() -> Self {
        Self {
            calls: Arc::new(Semaphore::new(MOST_CALLS)),
            watchers: Arc::new(Semaphore::new(MOST_WAITING)),
        }
    }

    /// Sets the calls and the watchers that are let in at once.
    #[cfg(test)]
    pub(crate) fn with_limits(calls: usize, watchers: usize) -> Self {
        Self {
            calls: Arc::new(Semaphore::new(calls)),
            watchers: Arc::new(Semaphore::new(watchers)),
        }
    }

    /// Lets a short call in while the permit lives.
    pub(crate) fn admit_call(&self) -> Result<OwnedSemaphorePermit, CallRefusal> {
        acquire(&self.calls)
    }

    /// Lets a watcher in while the permit lives.
    pub(crate) fn admit_watcher(&self) -> Result<OwnedSemaphorePermit, CallRefusal> {
        acquire(&self.watchers)
    }
}

fn acquire(semaphore: &Arc<Semaphore>) -> Result<OwnedSemaphorePermit, CallRefusal> {
    let overloaded = CallRefusal::Overloaded {
        retry_after_millis: RETRY_MILLIS.millis(),
    };
    Arc::clone(semaphore)
        .try_acquire_owned()
        .map_err(|_| overloaded)
}
