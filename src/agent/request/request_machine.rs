use super::{
    AnswerDeadline, CallerDeparture, RequestAction, RequestEvent, RequestProfile, RequestStage,
    RunPlace, SettledRun,
};
use crate::{
    agent::{
        outcome::{FinalAnswer, NotRunCause, RunState},
        retry::{AttemptFailure, RetryBudget, RetryDecision},
        slot::{SlotKey, SlotRefusal},
    },
    clock::{ClockMillis, SpanMillis},
    key::TargetKey,
};

/// When to come back after the upstream took no connection.
const UNREACHABLE_RETRY_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// Leads one request from its arrival to its end.
///
/// `Send` is the point of no return: before it the request has surely not
/// run, after it it may have, unless the place itself says that it has not.
#[derive(Debug)]
pub(crate) struct RequestMachine {
    profile: RequestProfile,
    stage: RequestStage,
    slot: Option<SlotKey>,
    caller: bool,
    failures: u32,
    tainted: bool,
}

impl RequestMachine {
    /// Creates the machine of a request that waits for a slot.
    pub(crate) fn new(profile: RequestProfile) -> Self {
        Self {
            profile,
            stage: RequestStage::Waiting,
            slot: None,
            caller: true,
            failures: 0,
            tainted: false,
        }
    }

    /// Sends the request to a place that needs no slot of this queue.
    pub(crate) fn start_at(&mut self, place: RunPlace) -> Vec<RequestAction> {
        self.stage = RequestStage::Opening(place);
        vec![RequestAction::Open(place)]
    }

    /// Returns how far the request has come.
    pub(crate) fn stage(&self) -> RequestStage {
        self.stage
    }

    /// Reacts to an event at `now`.
    ///
    /// An event that comes too late for the stage changes nothing, but that a
    /// slot which is granted too late goes back.
    pub(crate) fn handle(
        &mut self,
        event: RequestEvent,
        budget: &mut RetryBudget,
        now: ClockMillis,
    ) -> Vec<RequestAction> {
        match event {
            RequestEvent::SlotGranted(slot) => self.take_slot(slot),
            RequestEvent::PeerGranted(target) => self.take_peer(target),
            RequestEvent::SlotRefused(refusal) => self.refuse(refusal),
            RequestEvent::Connected => self.send(),
            RequestEvent::GrantLost => self.lose_grant(),
            RequestEvent::AttemptFailed(failure) => self.fail(failure, budget, now),
            RequestEvent::AnswerHead => self.begin_answer(),
            RequestEvent::AnswerEnd => self.end_answer(),
            RequestEvent::AnswerBroken => self.break_answer(),
            RequestEvent::CallerLeft(departure) => self.lose_caller(departure),
            RequestEvent::Deadline => self.pass_deadline(),
            RequestEvent::Cut => self.cut(),
        }
    }

    fn take_slot(&mut self, slot: SlotKey) -> Vec<RequestAction> {
        if self.stage != RequestStage::Waiting {
            return vec![RequestAction::ReleaseSlot(slot)];
        }
        self.slot = Some(slot);
        let mut actions = vec![RequestAction::LeaveQueues];
        actions.extend(self.start_at(RunPlace::Own));
        actions
    }

    fn take_peer(&mut self, target: TargetKey) -> Vec<RequestAction> {
        if self.stage != RequestStage::Waiting {
            return Vec::new();
        }
        let mut actions = vec![RequestAction::LeaveQueues];
        actions.extend(self.start_at(RunPlace::Peer(target)));
        actions
    }

    fn refuse(&mut self, refusal: SlotRefusal) -> Vec<RequestAction> {
        if self.stage != RequestStage::Waiting {
            return Vec::new();
        }
        self.close_not_run(FinalAnswer::NotRun {
            cause: NotRunCause::from(refusal.cause),
            retry_after: refusal.retry_after,
        })
    }

    fn send(&mut self) -> Vec<RequestAction> {
        let RequestStage::Opening(place) = self.stage else {
            return Vec::new();
        };
        self.stage = RequestStage::Sent(place);
        vec![RequestAction::Send(place)]
    }

    /// Queues the request again: it has taken nothing from any upstream, so
    /// this is no retry and takes nothing from the budget.
    fn lose_grant(&mut self) -> Vec<RequestAction> {
        let (RequestStage::Opening(RunPlace::Peer(_)) | RequestStage::Sent(RunPlace::Peer(_))) =
            self.stage
        else {
            return Vec::new();
        };
        if !self.profile.replayable {
            return self.give_up(AttemptFailure::NotRun, NotRunCause::GrantLost);
        }
        self.stage = RequestStage::Waiting;
        vec![RequestAction::QueueAgain]
    }

    fn fail(
        &mut self,
        failure: AttemptFailure,
        budget: &mut RetryBudget,
        now: ClockMillis,
    ) -> Vec<RequestAction> {
        let (place, failure) = match self.stage {
            RequestStage::Opening(place) => (place, AttemptFailure::NotRun),
            RequestStage::Sent(place) => (place, failure),
            RequestStage::Waiting | RequestStage::Answering(_) | RequestStage::Closed => {
                return Vec::new();
            }
        };
        if let RunPlace::TicketHome(_) = place {
            // An earlier attempt may have run there.
            return self.close_unknown(FinalAnswer::OutcomeUnknown);
        }
        self.failures += 1;
        let policy = self.profile.retry_policy();
        match policy.decide(failure, self.failures, budget, now) {
            RetryDecision::Retry => {
                self.tainted |= failure == AttemptFailure::MayHaveRun;
                let mut actions = self.release_slot();
                actions.push(RequestAction::OpenElsewhere);
                self.stage = RequestStage::Waiting;
                actions
            }
            RetryDecision::GiveUp => self.give_up(failure, NotRunCause::UpstreamUnreachable),
            RetryDecision::BudgetSpent => self.give_up(failure, NotRunCause::RetryBudgetSpent),
        }
    }

    fn give_up(&mut self, failure: AttemptFailure, cause: NotRunCause) -> Vec<RequestAction> {
        match failure {
            AttemptFailure::NotRun if !self.tainted => self.close_not_run(FinalAnswer::NotRun {
                cause,
                retry_after: UNREACHABLE_RETRY_MILLIS,
            }),
            AttemptFailure::NotRun | AttemptFailure::MayHaveRun => {
                self.close_unknown(FinalAnswer::OutcomeUnknown)
            }
        }
    }

    fn begin_answer(&mut self) -> Vec<RequestAction> {
        let RequestStage::Sent(place) = self.stage else {
            return Vec::new();
        };
        self.stage = RequestStage::Answering(place);
        self.for_caller(RequestAction::PassAnswer)
    }

    fn end_answer(&mut self) -> Vec<RequestAction> {
        if !matches!(self.stage, RequestStage::Answering(_)) {
            return Vec::new();
        }
        let mut actions = self.close(SettledRun::Finished);
        actions.extend(self.for_caller(RequestAction::EndAnswer));
        actions
    }

    fn break_answer(&mut self) -> Vec<RequestAction> {
        if !matches!(self.stage, RequestStage::Answering(_)) {
            return Vec::new();
        }
        let mut actions = self.close(SettledRun::Unknown);
        actions.extend(self.for_caller(RequestAction::ResetAnswer));
        actions
    }

    fn lose_caller(&mut self, departure: CallerDeparture) -> Vec<RequestAction> {
        self.caller = false;
        if departure == CallerDeparture::OthersWait {
            return Vec::new();
        }
        let goes_on = self.profile.ticketed && departure == CallerDeparture::Lost;
        match self.stage {
            RequestStage::Closed => Vec::new(),
            RequestStage::Waiting | RequestStage::Opening(_) if self.may_have_run() => {
                self.abort(SettledRun::Unknown)
            }
            RequestStage::Waiting | RequestStage::Opening(_) => self.abort(SettledRun::Withdrawn),
            RequestStage::Sent(_) | RequestStage::Answering(_) if goes_on => Vec::new(),
            RequestStage::Sent(_) | RequestStage::Answering(_) => self.abort(SettledRun::Unknown),
        }
    }

    fn pass_deadline(&mut self) -> Vec<RequestAction> {
        match self.stage {
            RequestStage::Closed => Vec::new(),
            RequestStage::Answering(_) if self.profile.answer_deadline == AnswerDeadline::Begun => {
                Vec::new()
            }

            RequestStage::Answering(_) => self.abort_answer(),
            RequestStage::Waiting | RequestStage::Opening(_) | RequestStage::Sent(_) => {
                self.end_without_answer(|state| FinalAnswer::DeadlinePassed { state })
            }
        }
    }

    fn cut(&mut self) -> Vec<RequestAction> {
        match self.stage {
            RequestStage::Closed => Vec::new(),
            RequestStage::Answering(_) => self.abort_answer(),
            RequestStage::Waiting | RequestStage::Opening(_) | RequestStage::Sent(_) => self
                .end_without_answer(|state| match state {
                    RunState::NotRun => FinalAnswer::NotRun {
                        cause: NotRunCause::Leaving,
                        retry_after: UNREACHABLE_RETRY_MILLIS,
                    },
                    RunState::Running | RunState::Ran | RunState::Unknown => {
                        FinalAnswer::OutcomeUnknown
                    }
                }),
        }
    }

    fn end_without_answer(
        &mut self,
        answer: impl FnOnce(RunState) -> FinalAnswer,
    ) -> Vec<RequestAction> {
        if self.may_have_run() {
            self.close_unknown(answer(RunState::Unknown))
        } else {
            self.close_not_run(answer(RunState::NotRun))
        }
    }

    /// Tells whether any attempt has passed the point of no return.
    ///
    /// A ticket's home may have run it for an earlier request.
    fn may_have_run(&self) -> bool {
        match self.stage {
            RequestStage::Waiting | RequestStage::Opening(RunPlace::Own | RunPlace::Peer(_)) => {
                self.tainted
            }
            RequestStage::Opening(RunPlace::TicketHome(_))
            | RequestStage::Sent(_)
            | RequestStage::Answering(_)
            | RequestStage::Closed => true,
        }
    }

    fn abort_answer(&mut self) -> Vec<RequestAction> {
        let mut actions = self.abort(SettledRun::Unknown);
        actions.extend(self.for_caller(RequestAction::ResetAnswer));
        actions
    }

    fn abort(&mut self, settled: SettledRun) -> Vec<RequestAction> {
        let mut actions = self.leave_place();
        actions.extend(self.close(settled));
        actions
    }

    fn close_not_run(&mut self, answer: FinalAnswer) -> Vec<RequestAction> {
        self.close_with(SettledRun::NotRun, answer)
    }

    fn close_unknown(&mut self, answer: FinalAnswer) -> Vec<RequestAction> {
        self.close_with(SettledRun::Unknown, answer)
    }

    fn close_with(&mut self, settled: SettledRun, answer: FinalAnswer) -> Vec<RequestAction> {
        let mut actions = self.abort(settled);
        actions.extend(self.for_caller(RequestAction::Answer(answer)));
        actions
    }

    fn leave_place(&self) -> Vec<RequestAction> {
        match self.stage {
            RequestStage::Waiting => vec![RequestAction::LeaveQueues],
            RequestStage::Opening(_) | RequestStage::Sent(_) | RequestStage::Answering(_) => {
                vec![RequestAction::DropAttempt]
            }
            RequestStage::Closed => Vec::new(),
        }
    }

    fn close(&mut self, settled: SettledRun) -> Vec<RequestAction> {
        self.stage = RequestStage::Closed;
        let mut actions = self.release_slot();
        if self.profile.ticketed {
            actions.push(RequestAction::SettleTicket(settled));
        }
        actions
    }

    fn release_slot(&mut self) -> Vec<RequestAction> {
        self.slot
            .take()
            .map(RequestAction::ReleaseSlot)
            .into_iter()
            .collect()
    }

    fn for_caller(&self, action: RequestAction) -> Vec<RequestAction> {
        if self.caller {
            vec![action]
        } else {
            Vec::new()
        }
    }
}
