use std::sync::Arc;

use bytes::Bytes;
use http::{Response, request};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{
    AnswerCollector, AnswerSink, CallerWatch, FINAL_HEADER, LinkError, RequestBody, RequestDesk,
    SlotPermit, SlotWait, StreamPermit, UpstreamLink, WaitEnd,
    interrupt::{DeadlineUse, Interrupt},
    request_head::strip_hop_headers,
    request_server::sleep_until,
};
use crate::{
    agent::{
        AgentEvent,
        claim::ClaimKey,
        node::{OpenGuard, OpenKind},
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

/// How long a caller that holds a slot may take no data.
const STALL_MILLIS: SpanMillis = SpanMillis::new(30_000);

/// Leads one request through its machine's stages, with sockets and timers.
pub(super) struct RequestRun {
    pub(super) desk: Arc<RequestDesk>,
    pub(super) profile: RequestProfile,
    pub(super) machine: RequestMachine,
    pub(super) head: request::Parts,
    pub(super) body: Option<RequestBody>,
    pub(super) sink: Option<AnswerSink>,
    pub(super) interrupt: Interrupt,
    pub(super) run: Option<RunKey>,
    pub(super) wait: Option<SlotWait>,
    pub(super) permit: Option<SlotPermit>,
    pub(super) stream: Option<StreamPermit>,
    pub(super) grant: Option<ClaimKey>,
    pub(super) later: Vec<TargetKey>,
    pub(super) link: Option<UpstreamLink>,
    pub(super) answer: Option<Response<Incoming>>,
    pub(super) collector: Option<AnswerCollector>,
    pub(super) open: Option<OpenGuard>,
}

impl RequestRun {
    /// Prepares a request; `run` names the run under its ticket.
    pub(super) fn new(
        desk: Arc<RequestDesk>,
        profile: RequestProfile,
        (head, body): (request::Parts, RequestBody),
        (sink, watch): (AnswerSink, CallerWatch),
        run: Option<RunKey>,
    ) -> Self {
        let abandoned = run.map(|run| desk.watch_run(run));
        let interrupt = Interrupt::new(Arc::clone(&desk), watch, abandoned, profile.deadline);
        let open = desk.open_gauge().open(OpenKind::Waiting);
        Self {
            desk,
            profile,
            machine: RequestMachine::new(profile),
            head,
            body: Some(body),
            sink: Some(sink),
            interrupt,
            run,
            wait: None,
            permit: None,
            stream: None,
            grant: None,
            later: Vec::new(),
            link: None,
            answer: None,
            collector: None,
            open: Some(open),
        }
    }

    /// Queues the request for a slot.
    pub(super) fn wait_for_slot(&mut self, claims_peers: bool) {
        let request = self.profile.slot_request();
        self.wait = Some(self.desk.request_slot(request, claims_peers));
    }

    /// Starts the request on a slot that was granted to it before.
    pub(super) async fn hold_slot(&mut self, permit: SlotPermit) {
        let slot = permit.slot();
        self.permit = Some(permit);
        self.open = Some(self.desk.open_gauge().open(OpenKind::Relayed));
        self.handle(RequestEvent::SlotGranted(slot)).await;
    }

    /// Starts the request as a stream that holds no slot.
    pub(super) fn hold_stream(&mut self, permit: StreamPermit) {
        self.stream = Some(permit);
        self.open = Some(self.desk.open_gauge().open(OpenKind::Stream));
        self.machine.start_at(RunPlace::Own);
    }

    /// Sends the request to the agent that answers for its ticket.
    ///
    /// `later` are asked in turn if that one does not know the ticket.
    pub(super) fn ask_ticket_home(&mut self, first: TargetKey, later: Vec<TargetKey>) {
        self.later = later;
        self.machine.start_at(RunPlace::TicketHome(first));
    }

    /// Takes the request to its end.
    pub(super) async fn run(mut self) {
        loop {
            match self.machine.stage() {
                RequestStage::Waiting => self.wait_slot().await,
                RequestStage::Opening(place) => self.open_link(place).await,
                RequestStage::Sent(place) => self.exchange(place).await,
                RequestStage::Answering(_) => self.pass_answer().await,
                RequestStage::Closed => return,
            }
        }
    }

    async fn wait_slot(&mut self) {
        let Some(wait) = &mut self.wait else {
            return self.handle(RequestEvent::Cut).await;
        };
        let end = tokio::select! {
            end = wait.end() => end,
            interruption = self.interrupt.next(DeadlineUse::Holds) => {
                return self.take_interruption(interruption).await;
            }
        };
        let event = match end {
            Some(WaitEnd::Slot(slot)) => {
                self.permit = Some(SlotPermit::new(Arc::clone(&self.desk), slot));
                RequestEvent::SlotGranted(slot)
            }
            Some(WaitEnd::Peer(grant)) => {
                self.grant = Some(grant.key);
                RequestEvent::PeerGranted(grant.granter)
            }
            Some(WaitEnd::Refused(refusal)) => RequestEvent::SlotRefused(refusal),
            None => RequestEvent::Cut,
        };
        self.handle(event).await;
    }

    async fn open_link(&mut self, place: RunPlace) {
        if matches!(place, RunPlace::Own) && self.stream.is_none() && self.grant.is_none() {
            let kind = OpenKind::Running;
            self.open = Some(self.desk.open_gauge().open(kind));
        }
        let desk = Arc::clone(&self.desk);
        let link = tokio::select! {
            link = connect(&desk, place, self.profile.idempotent) => link,
            interruption = self.interrupt.next(DeadlineUse::Holds) => {
                return self.take_interruption(interruption).await;
            }
        };
        match link {
            Ok(link) => {
                self.link = Some(link);
                self.handle(RequestEvent::Connected).await;
            }
            Err(error) => self.fail(place, &error).await,
        }
    }

    async fn exchange(&mut self, place: RunPlace) {
        let (Some(link), Some(body)) = (self.link.take(), self.take_body()) else {
            let failure = AttemptFailure::NotRun;
            return self.handle(RequestEvent::AttemptFailed(failure)).await;
        };
        let request = self.request_for(place, body);
        let mut attempt = Box::pin(link.send(request));
        loop {
            let result = tokio::select! {
                result = &mut attempt => result,
                interruption = self.interrupt.next(DeadlineUse::Holds) => {
                    self.take_interruption(interruption).await;
                    if self.machine.stage() == RequestStage::Closed {
                        return;
                    }
                    continue;
                }
            };
            return match result {
                Ok((link, response)) => self.take_answer(place, link, response).await,
                Err(error) => self.fail(place, &error).await,
            };
        }
    }

    async fn take_answer(
        &mut self,
        place: RunPlace,
        link: UpstreamLink,
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
            (RunPlace::TicketHome(_), Some(b"unknown")) if self.ask_next_home() => {}
            _ => {
                strip_hop_headers(response.headers_mut());
                if self.run.is_some() {
                    let collector = AnswerCollector::new(response.status(), response.headers());
                    self.collector = Some(collector);
                }
                self.link = Some(link);
                self.answer = Some(response);
                self.handle(RequestEvent::AnswerHead).await;
            }
        }
    }

    async fn pass_answer(&mut self) {
        let Some(answer) = self.answer.take() else {
            return self.handle(RequestEvent::AnswerBroken).await;
        };
        let mut body = answer.into_body();
        let deadline = self.answer_deadline();
        while self.machine.stage() != RequestStage::Closed {
            tokio::select! {
                frame = body.frame() => self.take_frame(frame).await,
                interruption = self.interrupt.next(deadline) => {
                    self.take_interruption(interruption).await;
                }
            }
        }
    }

    async fn take_frame(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) {
        match frame {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.pass_data(data).await;
                }
            }
            Some(Err(error)) => {
                log_event!(warn, AgentEvent::AnswerCut, %error);
                self.handle(RequestEvent::AnswerBroken).await;
            }
            None => {
                if let Some(link) = self.link.take()
                    && self.machine.stage() == RequestStage::Answering(RunPlace::Own)
                {
                    self.desk.pool().put_back(link);
                }
                self.handle(RequestEvent::AnswerEnd).await;
            }
        }
    }

    async fn pass_data(&mut self, data: Bytes) {
        if let Some(collector) = &mut self.collector {
            collector.push(&data);
        }
        let Some(sink) = &mut self.sink else {
            return;
        };
        let deadline = self.profile.deadline;
        let is_timed = self.profile.answer_deadline == AnswerDeadline::Whole;
        let holds_slot = self.permit.is_some();
        let sent = tokio::select! {
            sent = sink.send_data(data) => sent.is_ok(),
            () = sleep_until(&self.desk, deadline), if is_timed => {
                return self.handle(RequestEvent::Deadline).await;
            }
            // A caller that reads nothing must not keep a slot for ever.
            () = tokio::time::sleep(STALL_MILLIS.duration()), if holds_slot => false,
        };
        if !sent {
            self.lose_sink().await;
        }
    }
}

impl Drop for RequestRun {
    fn drop(&mut self) {
        // A run that was broken off by a fault may have run.
        self.settle(SettledRun::Unknown);
    }
}

async fn connect(
    desk: &RequestDesk,
    place: RunPlace,
    idempotent: bool,
) -> Result<UpstreamLink, LinkError> {
    let (RunPlace::Peer(target) | RunPlace::TicketHome(target)) = place else {
        return desk.pool().take(idempotent).await;
    };
    match desk.peer(target) {
        Some(peer) => UpstreamLink::connect(peer.peer_address).await,
        None => Err(LinkError::Unknown { target }),
    }
}
