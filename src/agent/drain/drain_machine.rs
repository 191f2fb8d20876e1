use super::{DrainAction, DrainEvent, DrainGoal, DrainReport, DrainStage, OpenWork};
use crate::{
    clock::{ClockMillis, SpanMillis},
    route::TargetPhase,
};

/// The maximum time for a committed announcement to reach every balancer.
const PROPAGATION_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// How long the drain waits for control to commit the announcement.
const CONTROL_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(10_000);

/// The state machine of a graceful drain.
///
/// Open work ends by finishing, at the operator's deadline, or by `StopNow`;
/// the drain has no deadline of its own. Its state is only in memory, so a
/// killed agent restarts as a new incarnation that serves.
#[derive(Debug)]
pub(crate) struct DrainMachine {
    stage: DrainStage,
    goal: DrainGoal,
    committed_at: Option<ClockMillis>,
    open: OpenWork,
}

impl DrainMachine {
    /// Creates the machine of a serving target.
    pub(crate) fn new() -> Self {
        Self {
            stage: DrainStage::Serving,
            goal: DrainGoal::Stay,
            committed_at: None,
            open: OpenWork::default(),
        }
    }

    /// Handles an event at `now`.
    pub(crate) fn handle(&mut self, event: DrainEvent, now: ClockMillis) -> Vec<DrainAction> {
        match event {
            DrainEvent::Begin { goal, deadline } => self.begin(goal, deadline, now),
            DrainEvent::Cancel => self.cancel(),
            DrainEvent::StopNow => vec![DrainAction::CutOpenWork, DrainAction::Exit],
            DrainEvent::AnnouncementCommitted(phase) => {
                self.confirm_announcement(phase, now);
                Vec::new()
            }
            DrainEvent::OpenWorkCounted(open) => {
                self.open = open;
                self.advance(now)
            }
        }
    }

    /// Returns the report for operators.
    pub(crate) fn report(&self) -> DrainReport {
        DrainReport {
            stage: self.stage,
            announced: self.committed_at.is_some(),
            open: self.open,
        }
    }

    fn begin(
        &mut self,
        goal: DrainGoal,
        deadline: Option<SpanMillis>,
        now: ClockMillis,
    ) -> Vec<DrainAction> {
        if goal == DrainGoal::Exit {
            self.goal = goal;
        }
        let requested_cut_at = deadline.map(|span| now.after(span));
        match &mut self.stage {
            DrainStage::Serving => {
                self.stage = DrainStage::Leaving {
                    since: now,
                    cut_at: requested_cut_at,
                };
                self.committed_at = None;
                vec![
                    DrainAction::SetPhase(TargetPhase::Leaving),
                    DrainAction::Announce(TargetPhase::Leaving),
                    DrainAction::SendGoAway,
                ]
            }
            // A second drain may change the deadline, but not remove it.
            DrainStage::Leaving { cut_at, .. } => {
                *cut_at = requested_cut_at.or(*cut_at);
                Vec::new()
            }
            DrainStage::Drained { .. } => self.finish(),
        }
    }

    fn cancel(&mut self) -> Vec<DrainAction> {
        let exits_when_drained = self.goal == DrainGoal::Exit;
        match self.stage {
            DrainStage::Serving => Vec::new(),
            // The process is already exiting.
            DrainStage::Drained { .. } if exits_when_drained => Vec::new(),
            DrainStage::Leaving { .. } | DrainStage::Drained { .. } => {
                *self = Self {
                    open: self.open,
                    ..Self::new()
                };
                vec![
                    DrainAction::SetPhase(TargetPhase::Serving),
                    DrainAction::Announce(TargetPhase::Serving),
                ]
            }
        }
    }

    fn confirm_announcement(&mut self, phase: TargetPhase, now: ClockMillis) {
        let leaving = matches!(self.stage, DrainStage::Leaving { .. });
        if leaving && phase == TargetPhase::Leaving && self.committed_at.is_none() {
            self.committed_at = Some(now);
        }
    }

    fn advance(&mut self, now: ClockMillis) -> Vec<DrainAction> {
        let DrainStage::Leaving { since, cut_at } = self.stage else {
            return Vec::new();
        };
        let cut = cut_at.is_some_and(|end| end <= now);
        let finished = self.open.is_empty() && self.has_propagated(since, now);
        if !cut && !finished {
            return Vec::new();
        }
        let cut = cut && !self.open.is_empty();
        self.stage = DrainStage::Drained { since: now, cut };
        let mut actions = Vec::new();
        if cut {
            actions.push(DrainAction::CutOpenWork);
        }
        actions.extend(self.finish());
        actions
    }

    fn finish(&self) -> Vec<DrainAction> {
        match self.goal {
            DrainGoal::Stay => Vec::new(),
            DrainGoal::Exit => vec![DrainAction::HandOverTickets, DrainAction::Exit],
        }
    }

    /// Returns whether balancers have had time to stop sending new connections.
    fn has_propagated(&self, since: ClockMillis, now: ClockMillis) -> bool {
        match self.committed_at {
            Some(at) => now.since(at) >= PROPAGATION_MILLIS,
            None => now.since(since) >= CONTROL_TIMEOUT_MILLIS,
        }
    }
}
