use std::{fmt, future::Future, pin::Pin, sync::Arc};

use serde::Serialize;
use serde_json::Value;

use super::{AdminRefusal, DrainCommand};
use crate::agent::drain::DrainReport;

type BoxedFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
type DumpResult = Result<Value, AdminRefusal>;
type DumpHandler = dyn Fn() -> BoxedFuture<DumpResult> + Send + Sync;
type DrainHandler = dyn Fn(DrainCommand) -> BoxedFuture<Option<DrainReport>> + Send + Sync;

/// The functions of a process that answer its admin calls.
#[derive(Clone)]
pub struct AdminHandlers {
    dump: Arc<DumpHandler>,
    drain: Option<Arc<DrainHandler>>,
}

impl AdminHandlers {
    /// Creates handlers that answer dumps with the state that `dump` returns.
    ///
    /// `dump` should copy the state or read a snapshot; it must not block the
    /// packet path.
    pub fn new<F, W, T>(dump: F) -> Self
    where
        F: Fn() -> W + Send + Sync + 'static,
        W: Future<Output = T> + Send + 'static,
        T: Serialize,
    {
        Self {
            dump: Arc::new(move || {
                let state = dump();
                Box::pin(async move { serialize_state(&state.await) })
            }),
            drain: None,
        }
    }

    /// Passes drain commands to `drain`.
    ///
    /// `drain` returns the report after the command, or `None` once the agent is
    /// stopping.
    #[must_use]
    pub(crate) fn with_drain<F, W>(mut self, drain: F) -> Self
    where
        F: Fn(DrainCommand) -> W + Send + Sync + 'static,
        W: Future<Output = Option<DrainReport>> + Send + 'static,
    {
        self.drain = Some(Arc::new(move |command| Box::pin(drain(command))));
        self
    }

    /// Returns the full state as JSON.
    pub(super) async fn dump(&self) -> DumpResult {
        (self.dump)().await
    }

    /// Executes a drain command and returns the report after it.
    pub(super) async fn drain(&self, command: DrainCommand) -> Result<DrainReport, AdminRefusal> {
        let drain = self.drain.as_ref();
        let drain = drain.ok_or(AdminRefusal::NothingToDrain)?;
        drain(command).await.ok_or(AdminRefusal::Stopping)
    }
}

impl fmt::Debug for AdminHandlers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("AdminSource")
            .field("drains", &self.drain.is_some())
            .finish_non_exhaustive()
    }
}

fn serialize_state<T: Serialize>(state: &T) -> DumpResult {
    serde_json::to_value(state).map_err(|_| AdminRefusal::Unwritable)
}
