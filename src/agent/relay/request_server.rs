use std::sync::Arc;

use http::request::Parts;

use super::{
    AnswerSink, BodySource, CallerWatch, PeerPurpose, RequestBody, RequestDesk, RequestRun,
    request_head::DEADLINE_HEADER,
};
use crate::{
    agent::{
        outcome::{FinalAnswer, NotRunCause},
        request::{CallerDeparture, ProfileError, RequestKind, RequestProfile},
        ticket::{RequestFingerprint, RunKey, SealedTicket, TicketVerdict, choose_heirs},
    },
    clock::{ClockMillis, SpanMillis},
    key::TargetKey,
};

/// The header that carries a ticket.
const TICKET_HEADER: &str = "idempotency-key";
/// When to come back for the answer of a run that is on its way.
const RUNNING_RETRY_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// When to come back after a peer's slot was lost or streams are full.
const SOON_RETRY_MILLIS: SpanMillis = SpanMillis::new(200);

/// A request as it arrives at this agent.
pub(super) struct IncomingRequest {
    /// The head, without what agents add for each other.
    pub(super) head: Parts,
    /// Where the body comes from.
    pub(super) body: BodySource,
    /// Where the answer goes.
    pub(super) sink: AnswerSink,
    /// Notices when the caller goes away.
    pub(super) watch: CallerWatch,
    /// Why a peer sent it; nothing if a caller did.
    pub(super) purpose: Option<PeerPurpose>,
}

/// Takes one request to its end.
pub(super) async fn serve_request(incoming: IncomingRequest, desk: Arc<RequestDesk>) {
    let profile = match read_profile(&incoming.head, &desk) {
        Ok(profile) => profile,
        Err(ProfileError::MalformedDeadline) => {
            let detail = "x-deadline-millis is no number of milliseconds";
            let answer = FinalAnswer::BadRequest { detail };
            return incoming.sink.send_final(&answer, None).await;
        }
    };
    if incoming.purpose.is_none() {
        desk.record_request();
    }
    let key = ticket_key(&incoming, profile);
    let Some(ready) = read_body(incoming, profile, desk).await else {
        return;
    };
    match key {
        Some(key) => ready.serve_ticketed(&key).await,
        None => ready.serve_plain(None).await,
    }
}

/// A request whose body is here or follows.
struct ReadyRequest {
    head: Parts,
    body: RequestBody,
    sink: AnswerSink,
    watch: CallerWatch,
    purpose: Option<PeerPurpose>,
    profile: RequestProfile,
    desk: Arc<RequestDesk>,
}

impl ReadyRequest {
    /// Serves a request whose outcome is kept under the ticket `key`.
    async fn serve_ticketed(mut self, key: &str) {
        let print = fingerprint(&self.head);
        match self.desk.present(key, print) {
            TicketVerdict::Run(run) => {
                self.profile = self.profile.with_ticket();
                self.serve_plain(Some(run)).await;
            }
            TicketVerdict::Await(run) => self.await_run(run).await,
            TicketVerdict::Replay(outcome) => self.sink.send_kept(&outcome).await,
            TicketVerdict::Answer(answer) => self.send_final(&answer).await,
            TicketVerdict::Relay(ticket) => self.relay_ticket(ticket).await,
        }
    }

    /// Waits for the run that another request with the same ticket began.
    async fn await_run(mut self, run: RunKey) {
        let mut settled = self.desk.settled_signal();
        let deadline = self.profile.deadline;
        loop {
            if let Some(verdict) = self.desk.outcome(run) {
                return self.send_verdict(verdict).await;
            }
            tokio::select! {
                _ = settled.changed() => {}
                departure = self.watch.left() => {
                    return self.desk.detach_waiter(run, departure);
                }
                () = sleep_until(&self.desk, deadline) => {
                    self.desk.detach_waiter(run, CallerDeparture::Lost);
                    let retry_after = RUNNING_RETRY_MILLIS;
                    return self.send_final(&FinalAnswer::StillRunning { retry_after }).await;
                }
            }
        }
    }

    async fn send_verdict(self, verdict: TicketVerdict) {
        match verdict {
            TicketVerdict::Replay(outcome) => self.sink.send_kept(&outcome).await,
            TicketVerdict::Answer(answer) => self.send_final(&answer).await,
            TicketVerdict::Run(_) | TicketVerdict::Await(_) | TicketVerdict::Relay(_) => {
                self.send_final(&FinalAnswer::OutcomeUnknown).await;
            }
        }
    }

    /// Lets the agent answer that minted the ticket, or its heir.
    async fn relay_ticket(self, ticket: SealedTicket) {
        // A peer that relays expects the answer from here.
        let places = if self.purpose.is_none() {
            ticket_places(&self.desk, ticket)
        } else {
            Vec::new()
        };
        let Some(first) = places.first().copied() else {
            return self.send_final(&FinalAnswer::OutcomeUnknown).await;
        };
        let later = places[1..].to_vec();
        let mut run = self.into_run(None);
        run.ask_ticket_home(first, later);
        run.run().await;
    }

    async fn serve_plain(self, run: Option<RunKey>) {
        match self.purpose {
            Some(PeerPurpose::Claim(key)) => {
                let Some(permit) = self.desk.bind(key) else {
                    return self.refuse(run, NotRunCause::GrantLost).await;
                };
                let mut request = self.into_run(run);
                request.hold_slot(permit).await;
                request.run().await;
            }
            _ if self.profile.kind == RequestKind::Stream => {
                let Some(permit) = self.desk.open_stream() else {
                    return self.refuse(run, NotRunCause::StreamLimit).await;
                };
                let mut request = self.into_run(run);
                request.hold_stream(permit);
                request.run().await;
            }
            purpose => {
                let claims_peers = purpose.is_none();
                let mut request = self.into_run(run);
                request.wait_for_slot(claims_peers);
                request.run().await;
            }
        }
    }

    async fn refuse(self, run: Option<RunKey>, cause: NotRunCause) {
        if let Some(run) = run {
            self.desk
                .settle(run, crate::agent::ticket::RunOutcome::NotRun);
        }
        let retry_after = SOON_RETRY_MILLIS;
        self.send_final(&FinalAnswer::NotRun { cause, retry_after })
            .await;
    }

    async fn send_final(self, answer: &FinalAnswer) {
        let ticket = if self.profile.idempotent {
            None
        } else {
            self.desk.ticket_for(answer)
        };
        self.sink.send_final(answer, ticket).await;
    }

    fn into_run(self, run: Option<RunKey>) -> RequestRun {
        RequestRun::new(
            self.desk,
            self.profile,
            (self.head, self.body),
            (self.sink, self.watch),
            run,
        )
    }
}

/// Sleeps until an instant of the agent's clock.
pub(super) async fn sleep_until(desk: &RequestDesk, instant: ClockMillis) {
    tokio::time::sleep(instant.since(desk.now()).duration()).await;
}

fn read_profile(head: &Parts, desk: &RequestDesk) -> Result<RequestProfile, ProfileError> {
    let field = match head.headers.get(DEADLINE_HEADER) {
        Some(value) => Some(
            value
                .to_str()
                .map_err(|_| ProfileError::MalformedDeadline)?,
        ),
        None => None,
    };
    let method = head.method.as_str();
    RequestProfile::new(&desk.spec(), method, head.uri.path(), field, desk.now())
}

/// Returns the key of a request that must not run twice.
fn ticket_key(incoming: &IncomingRequest, profile: RequestProfile) -> Option<String> {
    let decides_here = matches!(incoming.purpose, None | Some(PeerPurpose::Ticket));
    if profile.idempotent || !decides_here {
        return None;
    }
    let value = incoming.head.headers.get(TICKET_HEADER)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

fn fingerprint(head: &Parts) -> RequestFingerprint {
    let length = head
        .headers
        .get(http::header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    let path = head
        .uri
        .path_and_query()
        .map_or(head.uri.path(), http::uri::PathAndQuery::as_str);
    RequestFingerprint::new(head.method.as_str(), path, length)
}

/// Reads the body as far as it is small; nothing if the caller is gone.
async fn read_body(
    incoming: IncomingRequest,
    mut profile: RequestProfile,
    desk: Arc<RequestDesk>,
) -> Option<ReadyRequest> {
    let IncomingRequest {
        head,
        body,
        sink,
        mut watch,
        purpose,
    } = incoming;
    let body = tokio::select! {
        body = RequestBody::read(body) => body.ok()?,
        _ = watch.left() => return None,
        () = sleep_until(&desk, profile.deadline) => {
            let cause = NotRunCause::DeadlineTooNear;
            let retry_after = SOON_RETRY_MILLIS;
            sink.send_final(&FinalAnswer::NotRun { cause, retry_after }, None).await;
            return None;
        }
    };
    profile.replayable = body.length().is_some();
    Some(ReadyRequest {
        head,
        body,
        sink,
        watch,
        purpose,
        profile,
        desk,
    })
}

/// Returns the peers that may answer for a ticket, in the order to ask.
fn ticket_places(desk: &RequestDesk, ticket: SealedTicket) -> Vec<TargetKey> {
    let peers = desk.peers();
    let home = peers
        .iter()
        .find(|entry| entry.key == ticket.home && entry.incarnation == ticket.incarnation);
    match home {
        Some(entry) => vec![entry.key],
        None => choose_heirs(ticket.incarnation, peers.iter().map(|entry| entry.key)),
    }
}
