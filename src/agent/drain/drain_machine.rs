use super::{DrainAction, DrainEvent, DrainGoal, DrainReport, DrainStage, OpenWork};
use crate::{
    clock::{ClockMillis, SpanMillis},
    route::TargetPhase,
};

/// How long a committed announcement takes at most to reach every balancer.
const SETTLE_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// How long the drain waits for control to commit the announcement.
const CONTROL_AWAY_MILLIS: SpanMillis = SpanMillis::new(10_000);

/// Leads a target through its planned stop.
///
/// It cuts nothing by itself: open work ends by finishing, by the operator's
/// deadline, or by a stop that does not wait. A drain lives in memory alone,
/// so a killed agent comes back as a new run that serves.
#[derive(Debug)]
pub(crate) struct DrainMachine {
    stage: DrainStage,
    goal: DrainGoal,
    announced_at: Option<ClockMillis>,
    open: OpenWork,
}

impl DrainMachine {
    /// Creates the machine of a target that serves.
    pub(crate) fn new() -> Self {
        Self {
            stage: DrainStage::Serving,
            goal: DrainGoal::Stay,
            announced_at: None,
            open: OpenWork::default(),
        }
    }

    /// Reacts to an event at `now`.
    pub(crate) fn handle(&mut self, event: DrainEvent, now: ClockMillis) -> Vec<DrainAction> {
        match event {
            DrainEvent::Begin { goal, deadline } => self.begin(goal, deadline, now),
            DrainEvent::Cancel => self.cancel(),
            DrainEvent::StopNow => vec![DrainAction::CutOpenWork, DrainAction::Exit],
            DrainEvent::Announced(phase) => {
                self.confirm(phase, now);
                Vec::new()
            }
            DrainEvent::Counted(open) => {
                self.open = open;
                self.advance(now)
            }
        }
    }

    /// Returns what an operator sees.
    pub(crate) fn report(&self) -> DrainReport {
        DrainReport {
            stage: self.stage,
            announced: self.announced_at.is_some(),
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
        let asked = deadline.map(|span| now.after(span));
        match &mut self.stage {
            DrainStage::Serving => {
                self.stage = DrainStage::Leaving {
                    since: now,
                    cut_at: asked,
                };
                self.announced_at = None;
                vec![
                    DrainAction::SetPhase(TargetPhase::Leaving),
                    DrainAction::Announce(TargetPhase::Leaving),
                    DrainAction::SendGoAway,
                ]
            }
            // A second drain may set another deadline, but not remove one.
            DrainStage::Leaving { cut_at, .. } => {
                *cut_at = asked.or(*cut_at);
                Vec::new()
            }
            DrainStage::Drained { .. } => self.finish(),
        }
    }

    fn cancel(&mut self) -> Vec<DrainAction> {
        let exits = self.goal == DrainGoal::Exit;
        match self.stage {
            DrainStage::Serving => Vec::new(),
            // The process is already told to stop.
            DrainStage::Drained { .. } if exits => Vec::new(),
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

    fn confirm(&mut self, phase: TargetPhase, now: ClockMillis) {
        let leaving = matches!(self.stage, DrainStage::Leaving { .. });
        if leaving && phase == TargetPhase::Leaving && self.announced_at.is_none() {
            self.announced_at = Some(now);
        }
    }

    fn advance(&mut self, now: ClockMillis) -> Vec<DrainAction> {
        let DrainStage::Leaving { since, cut_at } = self.stage else {
            return Vec::new();
        };
        let cut = cut_at.is_some_and(|end| end <= now);
        let finished = self.open.is_empty() && self.has_settled(since, now);
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

    /// Tells whether balancers have had time to stop sending new connections.
    fn has_settled(&self, since: ClockMillis, now: ClockMillis) -> bool {
        match self.announced_at {
            Some(at) => now.since(at) >= SETTLE_MILLIS,
            None => now.since(since) >= CONTROL_AWAY_MILLIS,
        }
    }
}
