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

/// `retry_after` of a request that did not run because its attempts failed or
/// the agent aborted it.
const NOT_RUN_RETRY_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// The state machine of one request, from arrival to completion.
///
/// `Send` is the point of no return: before it the request has certainly not
/// run; after it the request may have run, unless its receiver reports that it
/// has not.
#[derive(Debug)]
pub(crate) struct RequestMachine {
    profile: RequestProfile,
    stage: RequestStage,
    slot: Option<SlotKey>,
    has_caller: bool,
    failures: u32,
    earlier_may_have_run: bool,
}

impl RequestMachine {
    /// Creates the machine of a request that waits for a slot.
    pub(crate) fn new(profile: RequestProfile) -> Self {
        Self {
            profile,
            stage: RequestStage::Waiting,
            slot: None,
            has_caller: true,
            failures: 0,
            earlier_may_have_run: false,
        }
    }

    /// Starts the request at a place that needs no slot of the local queue.
    pub(crate) fn start_at(&mut self, place: RunPlace) -> Vec<RequestAction> {
        self.stage = RequestStage::Opening(place);
        vec![RequestAction::Open(place)]
    }

    /// Returns the stage.
    pub(crate) fn stage(&self) -> RequestStage {
        self.stage
    }

    /// Handles an event at `now`.
    ///
    /// An event that does not fit the stage is ignored, except that a slot that
    /// is granted too late is released.
    pub(crate) fn handle(
        &mut self,
        event: RequestEvent,
        budget: &mut RetryBudget,
        now: ClockMillis,
    ) -> Vec<RequestAction> {
        match event {
            RequestEvent::SlotGranted(slot) => self.start_on_slot(slot),
            RequestEvent::PeerGranted(target) => self.start_at_peer(target),
            RequestEvent::SlotRefused(refusal) => self.close_refused(refusal),
            RequestEvent::Connected => self.send(),
            RequestEvent::GrantLost => self.requeue(),
            RequestEvent::AttemptFailed(failure) => self.handle_failure(failure, budget, now),
            RequestEvent::AnswerHead => self.begin_answer(),
            RequestEvent::AnswerEnd => self.end_answer(),
            RequestEvent::AnswerTruncated => self.fail_answer(),
            RequestEvent::CallerLeft(departure) => self.handle_departure(departure),
            RequestEvent::Deadline => self.handle_deadline(),
            RequestEvent::Cut => self.cut(),
        }
    }

    fn start_on_slot(&mut self, slot: SlotKey) -> Vec<RequestAction> {
        if self.stage != RequestStage::Waiting {
            return vec![RequestAction::ReleaseSlot(slot)];
        }
        self.slot = Some(slot);
        let mut actions = vec![RequestAction::LeaveQueues];
        actions.extend(self.start_at(RunPlace::Own));
        actions
    }

    fn start_at_peer(&mut self, target: TargetKey) -> Vec<RequestAction> {
        if self.stage != RequestStage::Waiting {
            return Vec::new();
        }
        let mut actions = vec![RequestAction::LeaveQueues];
        actions.extend(self.start_at(RunPlace::Peer(target)));
        actions
    }

    fn close_refused(&mut self, refusal: SlotRefusal) -> Vec<RequestAction> {
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

    /// Queues the request again after a lost grant.
    ///
    /// No upstream has received it, so this is not a retry and does not count
    /// against the budget.
    fn requeue(&mut self) -> Vec<RequestAction> {
        let (RequestStage::Opening(RunPlace::Peer(_)) | RequestStage::Sent(RunPlace::Peer(_))) =
            self.stage
        else {
            return Vec::new();
        };
        if !self.profile.replayable {
            return self.give_up(AttemptFailure::NotRun, NotRunCause::GrantLost);
        }
        self.stage = RequestStage::Waiting;
        vec![RequestAction::Requeue]
    }

    fn handle_failure(
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
            // An earlier request with this ticket may have run there.
            return self.close_unknown(FinalAnswer::OutcomeUnknown);
        }
        self.failures += 1;
        let policy = self.profile.retry_policy();
        match policy.decide(failure, self.failures, budget, now) {
            RetryDecision::Retry => {
                self.earlier_may_have_run |= failure == AttemptFailure::MayHaveRun;
                let mut actions = self.release_slot();
                actions.push(RequestAction::RetryElsewhere);
                self.stage = RequestStage::Waiting;
                actions
            }
            RetryDecision::GiveUp => self.give_up(failure, NotRunCause::UpstreamUnreachable),
            RetryDecision::BudgetSpent => self.give_up(failure, NotRunCause::RetryBudgetSpent),
        }
    }

    fn give_up(&mut self, failure: AttemptFailure, cause: NotRunCause) -> Vec<RequestAction> {
        match failure {
            AttemptFailure::NotRun if !self.earlier_may_have_run => {
                self.close_not_run(FinalAnswer::NotRun {
                    cause,
                    retry_after: NOT_RUN_RETRY_MILLIS,
                })
            }
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
        self.for_caller(RequestAction::ForwardAnswer)
    }

    fn end_answer(&mut self) -> Vec<RequestAction> {
        if !matches!(self.stage, RequestStage::Answering(_)) {
            return Vec::new();
        }
        let mut actions = self.close(SettledRun::Finished);
        actions.extend(self.for_caller(RequestAction::EndAnswer));
        actions
    }

    fn fail_answer(&mut self) -> Vec<RequestAction> {
        if !matches!(self.stage, RequestStage::Answering(_)) {
            return Vec::new();
        }
        let mut actions = self.close(SettledRun::Unknown);
        actions.extend(self.for_caller(RequestAction::ResetAnswer));
        actions
    }

    fn handle_departure(&mut self, departure: CallerDeparture) -> Vec<RequestAction> {
        self.has_caller = false;
        if departure == CallerDeparture::OthersWait {
            return Vec::new();
        }
        let continues = self.profile.ticketed && departure == CallerDeparture::Lost;
        match self.stage {
            RequestStage::Closed => Vec::new(),
            RequestStage::Waiting | RequestStage::Opening(_) if self.may_have_run() => {
                self.abort(SettledRun::Unknown)
            }
            RequestStage::Waiting | RequestStage::Opening(_) => self.abort(SettledRun::Withdrawn),
            RequestStage::Sent(_) | RequestStage::Answering(_) if continues => Vec::new(),
            RequestStage::Sent(_) | RequestStage::Answering(_) => self.abort(SettledRun::Unknown),
        }
    }

    fn handle_deadline(&mut self) -> Vec<RequestAction> {
        match self.stage {
            RequestStage::Closed => Vec::new(),
            RequestStage::Answering(_)
                if self.profile.answer_deadline == AnswerDeadline::Started =>
            {
                Vec::new()
            }

            RequestStage::Answering(_) => self.abort_answer(),
            RequestStage::Waiting | RequestStage::Opening(_) | RequestStage::Sent(_) => {
                self.close_before_answer(|state| FinalAnswer::DeadlinePassed { state })
            }
        }
    }

    fn cut(&mut self) -> Vec<RequestAction> {
        match self.stage {
            RequestStage::Closed => Vec::new(),
            RequestStage::Answering(_) => self.abort_answer(),
            RequestStage::Waiting | RequestStage::Opening(_) | RequestStage::Sent(_) => self
                .close_before_answer(|state| match state {
                    RunState::NotRun => FinalAnswer::NotRun {
                        cause: NotRunCause::Leaving,
                        retry_after: NOT_RUN_RETRY_MILLIS,
                    },
                    RunState::Running | RunState::Ran | RunState::Unknown => {
                        FinalAnswer::OutcomeUnknown
                    }
                }),
        }
    }

    fn close_before_answer(
        &mut self,
        answer: impl FnOnce(RunState) -> FinalAnswer,
    ) -> Vec<RequestAction> {
        if self.may_have_run() {
            self.close_unknown(answer(RunState::Unknown))
        } else {
            self.close_not_run(answer(RunState::NotRun))
        }
    }

    /// Returns whether the request may have run in any attempt.
    ///
    /// The ticket's home may have run it for an earlier request.
    fn may_have_run(&self) -> bool {
        match self.stage {
            RequestStage::Waiting | RequestStage::Opening(RunPlace::Own | RunPlace::Peer(_)) => {
                self.earlier_may_have_run
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
        let mut actions = self.cancel_attempt();
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

    fn cancel_attempt(&self) -> Vec<RequestAction> {
        match self.stage {
            RequestStage::Waiting => vec![RequestAction::LeaveQueues],
            RequestStage::Opening(_) | RequestStage::Sent(_) | RequestStage::Answering(_) => {
                vec![RequestAction::CancelAttempt]
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

    /// Returns the action if the caller is still there.
    fn for_caller(&self, action: RequestAction) -> Vec<RequestAction> {
        if self.has_caller {
            vec![action]
        } else {
            Vec::new()
        }
    }
}
