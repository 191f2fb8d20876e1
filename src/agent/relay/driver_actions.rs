use http::Response;

use super::{
    AnswerCollector, AttemptError, PeerPurpose, RequestBody, RequestDriver,
    interruption::{DeadlineMode, Interruption},
    request_head::{peer_request, upstream_request},
};
use crate::{
    agent::{
        AgentEvent,
        outcome::FinalAnswer,
        request::{
            AnswerDeadline, CallerDeparture, RequestAction, RequestEvent, RunPlace, SettledRun,
        },
        retry::AttemptFailure,
        ticket::RunOutcome,
    },
    event::log_event,
    key::TargetKey,
    route::TargetPhase,
};

/// After this many lost grants a request claims no slots of peers any more: this
/// process or the path to the peers is too slow to use them.
const MAX_LOST_GRANTS: u32 = 3;

impl RequestDriver {
    pub(super) async fn handle(&mut self, event: RequestEvent) {
        let actions = self.coordinator.handle_event(&mut self.machine, event);
        for action in actions {
            self.perform(action).await;
        }
    }

    pub(super) async fn perform(&mut self, action: RequestAction) {
        match action {
            RequestAction::LeaveQueues => self.slot_wait = None,
            RequestAction::ReleaseSlot(_) => self.slot_permit = None,
            // `RequestDriver::run` opens and sends according to the stage.
            RequestAction::Open(_) | RequestAction::Send(_) => {}
            RequestAction::RetryElsewhere => self.retry_elsewhere(),
            RequestAction::Requeue => {
                self.grant = None;
                self.lost_grants += 1;
                self.wait_for_slot(self.lost_grants < MAX_LOST_GRANTS);
            }
            RequestAction::ForwardAnswer => self.forward_head().await,
            RequestAction::EndAnswer => {
                if let Some(sink) = self.sink.take() {
                    sink.finish().await;
                }
            }
            RequestAction::ResetAnswer => {
                if let Some(sink) = self.sink.take() {
                    sink.reset();
                }
            }
            RequestAction::CancelAttempt => {
                self.connection = None;
                self.answer = None;
            }
            RequestAction::SettleTicket(settled) => self.settle(settled),
            RequestAction::Answer(answer) => self.send_final(&answer).await,
        }
    }

    pub(super) async fn forward_head(&mut self) {
        let Some(answer) = &self.answer else {
            return;
        };
        let mut head = Response::new(());
        *head.status_mut() = answer.status();
        *head.headers_mut() = answer.headers().clone();
        let Some(sink) = &mut self.sink else {
            return;
        };
        if sink.send_head(head).await.is_err() {
            Box::pin(self.handle_sink_closed()).await;
        }
    }

    pub(super) async fn handle_sink_closed(&mut self) {
        self.sink = None;
        let departure = self.interruptions.record_departure();
        self.handle_departure(departure).await;
    }

    pub(super) async fn handle_interruption(&mut self, interruption: Interruption) {
        match interruption {
            Interruption::CallerLeft(departure) => {
                self.sink = None;
                self.handle_departure(departure).await;
            }
            Interruption::Abandoned(departure) => {
                self.handle(RequestEvent::CallerLeft(departure)).await;
            }
            Interruption::Deadline => self.handle(RequestEvent::Deadline).await,
            Interruption::Cut => self.handle(RequestEvent::Cut).await,
        }
    }

    pub(super) async fn handle_departure(&mut self, departure: CallerDeparture) {
        let departure = match self.run {
            Some(run) => self.coordinator.detach_runner(run, departure),
            None => departure,
        };
        self.handle(RequestEvent::CallerLeft(departure)).await;
    }

    pub(super) async fn send_final(&mut self, answer: &FinalAnswer) {
        let Some(sink) = self.sink.take() else {
            return;
        };
        let ticket = if self.profile.idempotent {
            None
        } else {
            self.coordinator.ticket_for(answer)
        };
        sink.send_final(answer, ticket).await;
    }

    pub(super) fn settle(&mut self, settled: SettledRun) {
        let Some(run) = self.run.take() else {
            return;
        };
        let outcome = match settled {
            SettledRun::Finished => self
                .collector
                .take()
                .map_or(RunOutcome::FinishedUnkept, AnswerCollector::finish),
            SettledRun::Unknown => RunOutcome::Unknown,
            SettledRun::NotRun => RunOutcome::NotRun,
            SettledRun::Withdrawn => RunOutcome::Withdrawn,
        };
        self.coordinator.settle(run, outcome);
    }

    pub(super) async fn handle_attempt_error(&mut self, place: RunPlace, error: &AttemptError) {
        log_event!(warn, AgentEvent::UpstreamFailed, ?place, %error);
        if matches!(place, RunPlace::TicketHome(_)) && self.try_next_home() {
            return;
        }
        if error.did_not_run() && matches!(place, RunPlace::Peer(_)) && self.grant.is_some() {
            return self.handle(RequestEvent::GrantLost).await;
        }
        let failure = if error.did_not_run() {
            AttemptFailure::NotRun
        } else {
            AttemptFailure::MayHaveRun
        };
        self.handle(RequestEvent::AttemptFailed(failure)).await;
    }

    /// Relays to the next successor; successors only replay outcomes.
    ///
    /// Returns false if there is none or the body can't be sent again.
    pub(super) fn try_next_home(&mut self) -> bool {
        if self.fallback_homes.is_empty() || self.body.is_none() {
            return false;
        }
        let next = self.fallback_homes.remove(0);
        self.machine.start_at(RunPlace::TicketHome(next));
        true
    }

    /// Retries at a random peer, or locally if there is none.
    pub(super) fn retry_elsewhere(&mut self) {
        self.grant = None;
        let peers: Vec<TargetKey> = self
            .coordinator
            .peers()
            .into_iter()
            .filter(|entry| entry.phase != TargetPhase::Leaving)
            .map(|entry| entry.key)
            .collect();
        let draw: u32 = rand::random();
        let index = usize::try_from(draw).unwrap_or(0) % peers.len().max(1);
        match peers.get(index) {
            Some(peer) => {
                self.machine.start_at(RunPlace::Peer(*peer));
            }
            None => self.wait_for_slot(false),
        }
    }

    /// Returns the body for an attempt: a copy if it is buffered completely.
    pub(super) fn body_for_attempt(&mut self) -> Option<RequestBody> {
        match self.body.as_ref().and_then(RequestBody::try_clone) {
            Some(copy) => Some(copy),
            None => self.body.take(),
        }
    }

    pub(super) fn build_request(
        &mut self,
        place: RunPlace,
        body: RequestBody,
    ) -> http::Request<RequestBody> {
        let time_left = self.profile.deadline.since(self.coordinator.now());
        let purpose = match place {
            RunPlace::Own => return upstream_request(&self.head, body, time_left),
            RunPlace::Peer(_) => self.grant.map_or(PeerPurpose::Retry, PeerPurpose::Claim),
            RunPlace::TicketHome(_) => PeerPurpose::Ticket,
        };
        let keys = self.coordinator.secret().keys();
        peer_request(&self.head, body, time_left, purpose, &keys)
    }

    pub(super) fn deadline_mode(&self) -> DeadlineMode {
        match self.profile.answer_deadline {
            AnswerDeadline::Complete => DeadlineMode::Enforced,
            AnswerDeadline::Started => DeadlineMode::Ignored,
        }
    }
}
