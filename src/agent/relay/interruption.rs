use std::{future::pending, sync::Arc};

use tokio::sync::{oneshot, watch};

use super::{CallerWatch, RequestCoordinator, request_server::sleep_until};
use crate::{agent::request::CallerDeparture, clock::ClockMillis};

/// An external event that ends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Interruption {
    /// The request's own caller departed.
    CallerLeft(CallerDeparture),
    /// The last caller waiting for the run departed.
    Abandoned(CallerDeparture),
    /// The deadline passed.
    Deadline,
    /// A drain cuts open work.
    Cut,
}

/// Whether the deadline still applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DeadlineMode {
    /// The request ends at the deadline.
    Enforced,
    /// The stream's answer has started, so it may outlast the deadline.
    Ignored,
}

/// Waits for external events that end a request.
pub(super) struct InterruptionWatch {
    coordinator: Arc<RequestCoordinator>,
    caller_watch: CallerWatch,
    cut: watch::Receiver<bool>,
    abandoned: Option<oneshot::Receiver<CallerDeparture>>,
    deadline: ClockMillis,
}

impl InterruptionWatch {
    pub(super) fn new(
        coordinator: Arc<RequestCoordinator>,
        caller_watch: CallerWatch,
        abandoned: Option<oneshot::Receiver<CallerDeparture>>,
        deadline: ClockMillis,
    ) -> Self {
        let cut = coordinator.cut_signal();
        Self {
            coordinator,
            caller_watch,
            cut,
            abandoned,
            deadline,
        }
    }

    /// Waits for the next interruption; a caller's departure is reported once.
    pub(super) async fn next(&mut self, deadline: DeadlineMode) -> Interruption {
        tokio::select! {
            departure = self.caller_watch.await_departure() => Interruption::CallerLeft(departure),
            departure = abandonment(&mut self.abandoned) => Interruption::Abandoned(departure),
            () = deadline_passed(&self.coordinator, self.deadline, deadline) => Interruption::Deadline,
            () = cut_requested(&mut self.cut) => Interruption::Cut,
        }
    }

    /// Records that the caller no longer reads the answer; returns how it departed.
    pub(super) fn record_departure(&mut self) -> CallerDeparture {
        self.caller_watch.mark_departed();
        self.caller_watch.departure()
    }
}

async fn abandonment(
    abandoned: &mut Option<oneshot::Receiver<CallerDeparture>>,
) -> CallerDeparture {
    if let Some(receiver) = abandoned
        && let Ok(departure) = receiver.await
    {
        *abandoned = None;
        return departure;
    }
    *abandoned = None;
    pending().await
}

async fn deadline_passed(
    coordinator: &RequestCoordinator,
    instant: ClockMillis,
    deadline: DeadlineMode,
) {
    match deadline {
        DeadlineMode::Enforced => sleep_until(coordinator, instant).await,
        DeadlineMode::Ignored => pending().await,
    }
}

async fn cut_requested(cut: &mut watch::Receiver<bool>) {
    if cut.wait_for(|ordered| *ordered).await.is_err() {
        pending::<()>().await;
    }
}
