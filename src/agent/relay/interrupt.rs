use std::{future::pending, sync::Arc};

use tokio::sync::{oneshot, watch};

use super::{CallerWatch, RequestDesk, request_server::sleep_until};
use crate::{agent::request::CallerDeparture, clock::ClockMillis};

/// What ends a request from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Interruption {
    /// The own caller went away.
    Left(CallerDeparture),
    /// The last of the callers that waited for the run went away.
    Abandoned(CallerDeparture),
    /// The deadline passed.
    Deadline,
    /// The operator's word cuts what is open.
    Cut,
}

/// Whether the deadline still counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DeadlineUse {
    /// The request ends with it.
    Holds,
    /// A stream that was answered lasts as long as it likes.
    Past,
}

/// Waits for whatever ends a request from outside.
pub(super) struct Interrupt {
    desk: Arc<RequestDesk>,
    watch: CallerWatch,
    cut: watch::Receiver<bool>,
    abandoned: Option<oneshot::Receiver<CallerDeparture>>,
    deadline: ClockMillis,
}

impl Interrupt {
    pub(super) fn new(
        desk: Arc<RequestDesk>,
        watch: CallerWatch,
        abandoned: Option<oneshot::Receiver<CallerDeparture>>,
        deadline: ClockMillis,
    ) -> Self {
        let cut = desk.cut_signal();
        Self {
            desk,
            watch,
            cut,
            abandoned,
            deadline,
        }
    }

    /// Waits for the next interruption; a caller's departure is told once.
    pub(super) async fn next(&mut self, deadline: DeadlineUse) -> Interruption {
        tokio::select! {
            departure = self.watch.left() => Interruption::Left(departure),
            departure = abandonment(&mut self.abandoned) => Interruption::Abandoned(departure),
            () = deadline_passed(&self.desk, self.deadline, deadline) => Interruption::Deadline,
            () = cut_ordered(&mut self.cut) => Interruption::Cut,
        }
    }

    /// Notes that the caller takes no answer any more; returns how it went.
    pub(super) fn take_departure(&mut self) -> CallerDeparture {
        self.watch.set_gone();
        self.watch.departure()
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

async fn deadline_passed(desk: &RequestDesk, instant: ClockMillis, deadline: DeadlineUse) {
    match deadline {
        DeadlineUse::Holds => sleep_until(desk, instant).await,
        DeadlineUse::Past => pending().await,
    }
}

async fn cut_ordered(cut: &mut watch::Receiver<bool>) {
    if cut.wait_for(|ordered| *ordered).await.is_err() {
        pending::<()>().await;
    }
}
