use http::Response;

use super::{
    AnswerCollector, LinkError, PeerPurpose, RequestBody, RequestRun,
    interrupt::{DeadlineUse, Interruption},
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

impl RequestRun {
    pub(super) async fn handle(&mut self, event: RequestEvent) {
        let actions = self.desk.step(&mut self.machine, event);
        for action in actions {
            self.act(action).await;
        }
    }

    pub(super) async fn act(&mut self, action: RequestAction) {
        match action {
            RequestAction::LeaveQueues => self.wait = None,
            RequestAction::ReleaseSlot(_) => self.permit = None,
            // The stage itself says what is to be opened or sent.
            RequestAction::Open(_) | RequestAction::Send(_) => {}
            RequestAction::OpenElsewhere => self.open_elsewhere(),
            RequestAction::QueueAgain => {
                // Peers that lose one grant may lose another.
                self.grant = None;
                self.wait_for_slot(false);
            }
            RequestAction::PassAnswer => self.send_head().await,
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
            RequestAction::DropAttempt => {
                self.link = None;
                self.answer = None;
            }
            RequestAction::SettleTicket(settled) => self.settle(settled),
            RequestAction::Answer(answer) => self.send_final(&answer).await,
        }
    }

    pub(super) async fn send_head(&mut self) {
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
            Box::pin(self.lose_sink()).await;
        }
    }

    pub(super) async fn lose_sink(&mut self) {
        self.sink = None;
        let departure = self.interrupt.take_departure();
        self.lose_caller(departure).await;
    }

    pub(super) async fn take_interruption(&mut self, interruption: Interruption) {
        match interruption {
            Interruption::Left(departure) => {
                self.sink = None;
                self.lose_caller(departure).await;
            }
            Interruption::Abandoned(departure) => {
                self.handle(RequestEvent::CallerLeft(departure)).await;
            }
            Interruption::Deadline => self.handle(RequestEvent::Deadline).await,
            Interruption::Cut => self.handle(RequestEvent::Cut).await,
        }
    }

    pub(super) async fn lose_caller(&mut self, departure: CallerDeparture) {
        let departure = match self.run {
            Some(run) => self.desk.detach_runner(run, departure),
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
            self.desk.ticket_for(answer)
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
        self.desk.settle(run, outcome);
    }

    pub(super) async fn fail(&mut self, place: RunPlace, error: &LinkError) {
        log_event!(warn, AgentEvent::UpstreamFailed, ?place, %error);
        if matches!(place, RunPlace::TicketHome(_)) && self.ask_next_home() {
            return;
        }
        if error.is_not_run() && matches!(place, RunPlace::Peer(_)) && self.grant.is_some() {
            return self.handle(RequestEvent::GrantLost).await;
        }
        let failure = if error.is_not_run() {
            AttemptFailure::NotRun
        } else {
            AttemptFailure::MayHaveRun
        };
        self.handle(RequestEvent::AttemptFailed(failure)).await;
    }

    /// Asks the next heir; heirs know tickets and never run a request.
    pub(super) fn ask_next_home(&mut self) -> bool {
        if self.later.is_empty() || self.body.is_none() {
            return false;
        }
        let next = self.later.remove(0);
        self.machine.start_at(RunPlace::TicketHome(next));
        true
    }

    /// Makes another attempt at a peer, or here if there is none.
    pub(super) fn open_elsewhere(&mut self) {
        self.grant = None;
        let peers: Vec<TargetKey> = self
            .desk
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

    /// Returns the body for an attempt, and keeps it if it can be sent again.
    pub(super) fn take_body(&mut self) -> Option<RequestBody> {
        match self.body.as_ref().and_then(RequestBody::copy) {
            Some(copy) => Some(copy),
            None => self.body.take(),
        }
    }

    pub(super) fn request_for(
        &mut self,
        place: RunPlace,
        body: RequestBody,
    ) -> http::Request<RequestBody> {
        let left = self.profile.deadline.since(self.desk.now());
        let purpose = match place {
            RunPlace::Own => return upstream_request(&self.head, body, left),
            RunPlace::Peer(_) => self.grant.map_or(PeerPurpose::Retry, PeerPurpose::Claim),
            RunPlace::TicketHome(_) => PeerPurpose::Ticket,
        };
        let keys = self.desk.secret().keys();
        peer_request(&self.head, body, left, purpose, &keys)
    }

    pub(super) fn answer_deadline(&self) -> DeadlineUse {
        match self.profile.answer_deadline {
            AnswerDeadline::Whole => DeadlineUse::Holds,
            AnswerDeadline::Begun => DeadlineUse::Past,
        }
    }
}
