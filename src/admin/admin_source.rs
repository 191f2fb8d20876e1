use std::{fmt, future::Future, pin::Pin, sync::Arc};

use serde::Serialize;
use serde_json::Value;

use super::{AdminRefusal, DrainCommand};
use crate::agent::drain::DrainReport;

type Pending<T> = Pin<Box<dyn Future<Output = T> + Send>>;
type DumpAnswer = Result<Value, AdminRefusal>;
type DumpFunction = dyn Fn() -> Pending<DumpAnswer> + Send + Sync;
type DrainFunction = dyn Fn(DrainCommand) -> Pending<Option<DrainReport>> + Send + Sync;

/// Where an admin server gets its answers within the process.
#[derive(Clone)]
pub struct AdminSource {
    dump: Arc<DumpFunction>,
    drain: Option<Arc<DrainFunction>>,
}

impl AdminSource {
    /// Answers dumps with what `dump` returns, written as JSON.
    ///
    /// `dump` should copy the state or read a snapshot; it must not hold up
    /// the packet path.
    pub fn new<F, W, T>(dump: F) -> Self
    where
        F: Fn() -> W + Send + Sync + 'static,
        W: Future<Output = T> + Send + 'static,
        T: Serialize,
    {
        Self {
            dump: Arc::new(move || {
                let state = dump();
                Box::pin(async move { write_state(&state.await) })
            }),
            drain: None,
        }
    }

    /// Hands the operator's drain commands to `drain`.
    ///
    /// It returns the report after the command, or none once the agent stops.
    #[must_use]
    pub(crate) fn with_drain<F, W>(mut self, drain: F) -> Self
    where
        F: Fn(DrainCommand) -> W + Send + Sync + 'static,
        W: Future<Output = Option<DrainReport>> + Send + 'static,
    {
        self.drain = Some(Arc::new(move |command| Box::pin(drain(command))));
        self
    }

    /// Returns the whole state.
    pub(super) async fn dump(&self) -> DumpAnswer {
        (self.dump)().await
    }

    /// Carries out a drain command and returns the report after it.
    pub(super) async fn drain(&self, command: DrainCommand) -> Result<DrainReport, AdminRefusal> {
        let drain = self.drain.as_ref();
        let drain = drain.ok_or(AdminRefusal::NothingToDrain)?;
        drain(command).await.ok_or(AdminRefusal::Stopping)
    }
}

impl fmt::Debug for AdminSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("AdminSource")
            .field("drains", &self.drain.is_some())
            .finish_non_exhaustive()
    }
}

fn write_state<T: Serialize>(state: &T) -> DumpAnswer {
    serde_json::to_value(state).map_err(|_| AdminRefusal::Unwritable)
}
