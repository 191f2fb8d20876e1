use std::sync::Arc;

use bytes::Bytes;
use http::{Response, request};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{
    AnswerCollector, AnswerSink, AttemptError, CallerWatch, FINAL_HEADER, RelayConnection,
    RequestBody, RequestCoordinator, SlotPermit, SlotWait, StreamPermit, WaitOutcome,
    interruption::{DeadlineMode, InterruptionWatch},
    request_head::strip_hop_headers,
    request_server::sleep_until,
};
use crate::{
    agent::{
        AgentEvent,
        claim::ClaimKey,
        node::{OpenWorkGuard, OpenWorkKind},
        request::{
            AnswerDeadline, RequestEvent, RequestMachine, RequestProfile, RequestStage, RunPlace,
            SettledRun,
        },
        retry::AttemptFailure,
        ticket::RunKey,
    },
    clock::SpanMillis,
    event::log_event,
    key::TargetKey,
};

/// How long a caller that holds a slot may read no data.
const STALL_MILLIS: SpanMillis = SpanMillis::new(30_000);

/// Drives one request through the stages of its state machine, with the I/O and
/// timers that each stage needs.
pub(super) struct RequestDriver {
    pub(super) coordinator: Arc<RequestCoordinator>,
    pub(super) profile: RequestProfile,
    pub(super) machine: RequestMachine,
    pub(super) head: request::Parts,
    pub(super) body: Option<RequestBody>,
    pub(super) sink: Option<AnswerSink>,
    pub(super) interruptions: InterruptionWatch,
    pub(super) run: Option<RunKey>,
    pub(super) slot_wait: Option<SlotWait>,
    pub(super) slot_permit: Option<SlotPermit>,
    pub(super) stream_permit: Option<StreamPermit>,
    pub(super) grant: Option<ClaimKey>,
    /// The number of grants of peers that expired before the request arrived.
    pub(super) lost_grants: u32,
    pub(super) fallback_homes: Vec<TargetKey>,
    pub(super) connection: Option<RelayConnection>,
    pub(super) answer: Option<Response<Incoming>>,
    pub(super) collector: Option<AnswerCollector>,
    pub(super) work_guard: Option<OpenWorkGuard>,
}

impl RequestDriver {
    /// Creates the driver of a request; `run` is the run under its ticket.
    pub(super) fn new(
        coordinator: Arc<RequestCoordinator>,
        profile: RequestProfile,
        (head, body): (request::Parts, RequestBody),
        (sink, caller_watch): (AnswerSink, CallerWatch),
        run: Option<RunKey>,
    ) -> Self {
        let abandonment_signal = run.map(|run| coordinator.watch_run(run));
        let interruptions = InterruptionWatch::new(
            Arc::clone(&coordinator),
            caller_watch,
            abandonment_signal,
            profile.deadline,
        );
        let work_guard = coordinator.open_work().track(OpenWorkKind::Waiting);
        Self {
            coordinator,
            profile,
            machine: RequestMachine::new(profile),
            head,
            body: Some(body),
            sink: Some(sink),
            interruptions,
            run,
            slot_wait: None,
            slot_permit: None,
            stream_permit: None,
            grant: None,
            lost_grants: 0,
            fallback_homes: Vec::new(),
            connection: None,
            answer: None,
            collector: None,
            work_guard: Some(work_guard),
        }
    }

    /// Queues the request for a slot.
    pub(super) fn wait_for_slot(&mut self, claims_peers: bool) {
        let request = self.profile.slot_request();
        self.slot_wait = Some(self.coordinator.request_slot(request, claims_peers));
    }

    /// Starts a peer's request on the slot granted to its claim.
    pub(super) async fn start_on_slot(&mut self, slot_permit: SlotPermit) {
        let slot = slot_permit.slot();
        self.slot_permit = Some(slot_permit);
        self.work_guard = Some(self.coordinator.open_work().track(OpenWorkKind::Relayed));
        self.handle(RequestEvent::SlotGranted(slot)).await;
    }

    /// Starts the request as a stream, which needs no slot.
    pub(super) fn start_as_stream(&mut self, stream_permit: StreamPermit) {
        self.stream_permit = Some(stream_permit);
        self.work_guard = Some(self.coordinator.open_work().track(OpenWorkKind::Stream));
        self.machine.start_at(RunPlace::Own);
    }

    /// Relays the request to the agent that is responsible for its ticket.
    ///
    /// If that one does not know the ticket, the `fallback_homes` are tried in turn.
    pub(super) fn relay_to_home(&mut self, first: TargetKey, fallback_homes: Vec<TargetKey>) {
        self.fallback_homes = fallback_homes;
        self.machine.start_at(RunPlace::TicketHome(first));
    }

    /// Drives the request to its end.
    pub(super) async fn run(mut self) {
        loop {
            match self.machine.stage() {
                RequestStage::Waiting => self.await_slot().await,
                RequestStage::Opening(place) => self.open_connection(place).await,
                RequestStage::Sent(place) => self.exchange(place).await,
                RequestStage::Answering(_) => self.forward_answer().await,
                RequestStage::Closed => return,
            }
        }
    }

    async fn await_slot(&mut self) {
        let Some(slot_wait) = &mut self.slot_wait else {
            return self.handle(RequestEvent::Cut).await;
        };
        let outcome = tokio::select! {
            outcome = slot_wait.outcome() => outcome,
            interruption = self.interruptions.next(DeadlineMode::Enforced) => {
                return self.handle_interruption(interruption).await;
            }
        };
        let event = match outcome {
            Some(WaitOutcome::Slot(slot)) => {
                self.slot_permit = Some(SlotPermit::new(Arc::clone(&self.coordinator), slot));
                RequestEvent::SlotGranted(slot)
            }
            Some(WaitOutcome::Peer(grant)) => {
                self.grant = Some(grant.key);
                RequestEvent::PeerGranted(grant.granter)
            }
            Some(WaitOutcome::Refused(refusal)) => RequestEvent::SlotRefused(refusal),
            None => RequestEvent::Cut,
        };
        self.handle(event).await;
    }

    async fn open_connection(&mut self, place: RunPlace) {
        if matches!(place, RunPlace::Own) && self.stream_permit.is_none() && self.grant.is_none() {
            let kind = OpenWorkKind::Running;
            self.work_guard = Some(self.coordinator.open_work().track(kind));
        }
        let coordinator = Arc::clone(&self.coordinator);
        let connection = tokio::select! {
            connection = connect(&coordinator, place) => connection,
            interruption = self.interruptions.next(DeadlineMode::Enforced) => {
                return self.handle_interruption(interruption).await;
            }
        };
        match connection {
            Ok(connection) => {
                self.connection = Some(connection);
                self.handle(RequestEvent::Connected).await;
            }
            Err(error) => self.handle_attempt_error(place, &error).await,
        }
    }

    async fn exchange(&mut self, place: RunPlace) {
        let (Some(connection), Some(body)) = (self.connection.take(), self.body_for_attempt())
        else {
            let failure = AttemptFailure::NotRun;
            return self.handle(RequestEvent::AttemptFailed(failure)).await;
        };
        let request = self.build_request(place, body);
        let mut attempt = Box::pin(connection.send(request));
        loop {
            let result = tokio::select! {
                result = &mut attempt => result,
                interruption = self.interruptions.next(DeadlineMode::Enforced) => {
                    self.handle_interruption(interruption).await;
                    if self.machine.stage() == RequestStage::Closed {
                        return;
                    }
                    continue;
                }
            };
            return match result {
                Ok((connection, response)) => self.handle_answer(place, connection, response).await,
                Err(error) => self.handle_attempt_error(place, &error).await,
            };
        }
    }

    async fn handle_answer(
        &mut self,
        place: RunPlace,
        connection: RelayConnection,
        mut response: Response<Incoming>,
    ) {
        let mark = response.headers_mut().remove(FINAL_HEADER);
        let mark = mark.as_ref().map(http::HeaderValue::as_bytes);
        match (place, mark) {
            (RunPlace::Peer(_), Some(b"grant-lost")) => {
                self.handle(RequestEvent::GrantLost).await;
            }
            (RunPlace::Peer(_), Some(b"not-run")) => {
                let failure = AttemptFailure::NotRun;
                self.handle(RequestEvent::AttemptFailed(failure)).await;
            }
            (RunPlace::TicketHome(_), Some(b"unknown")) if self.try_next_home() => {}
            _ => {
                strip_hop_headers(response.headers_mut());
                if self.run.is_some() {
                    let collector = AnswerCollector::new(response.status(), response.headers());
                    self.collector = Some(collector);
                }
                self.connection = Some(connection);
                self.answer = Some(response);
                self.handle(RequestEvent::AnswerHead).await;
            }
        }
    }

    async fn forward_answer(&mut self) {
        let Some(answer) = self.answer.take() else {
            return self.handle(RequestEvent::AnswerTruncated).await;
        };
        let mut body = answer.into_body();
        let deadline = self.deadline_mode();
        while self.machine.stage() != RequestStage::Closed {
            tokio::select! {
                frame = body.frame() => self.handle_body_frame(frame).await,
                interruption = self.interruptions.next(deadline) => {
                    self.handle_interruption(interruption).await;
                }
            }
        }
    }

    async fn handle_body_frame(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) {
        match frame {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.forward_data(data).await;
                }
            }
            Some(Err(error)) => {
                log_event!(warn, AgentEvent::AnswerCut, %error);
                self.handle(RequestEvent::AnswerTruncated).await;
            }
            None => {
                self.connection = None;
                self.handle(RequestEvent::AnswerEnd).await;
            }
        }
    }

    async fn forward_data(&mut self, data: Bytes) {
        if let Some(collector) = &mut self.collector {
            collector.push(&data);
        }
        let Some(sink) = &mut self.sink else {
            return;
        };
        let deadline = self.profile.deadline;
        let is_timed = self.profile.answer_deadline == AnswerDeadline::Complete;
        let holds_slot = self.slot_permit.is_some();
        let sent = tokio::select! {
            sent = sink.send_data(data) => sent.is_ok(),
            () = sleep_until(&self.coordinator, deadline), if is_timed => {
                return self.handle(RequestEvent::Deadline).await;
            }
            // A caller that reads nothing must not hold a slot forever.
            () = tokio::time::sleep(STALL_MILLIS.duration()), if holds_slot => false,
        };
        if !sent {
            self.handle_sink_closed().await;
        }
    }
}

impl Drop for RequestDriver {
    fn drop(&mut self) {
        // A run that is still unsettled was aborted by a fault and may have run.
        self.settle(SettledRun::Unknown);
    }
}

/// Connects to the place of a run. Every attempt has a connection of its own: on a
/// reused one, a late second copy of an earlier answer would pass for the answer.
async fn connect(
    coordinator: &RequestCoordinator,
    place: RunPlace,
) -> Result<RelayConnection, AttemptError> {
    let (RunPlace::Peer(target) | RunPlace::TicketHome(target)) = place else {
        return RelayConnection::connect(coordinator.upstream()).await;
    };
    match coordinator.peer(target) {
        Some(peer) => RelayConnection::connect(peer.peer_address).await,
        None => Err(AttemptError::Unregistered { target }),
    }
}
