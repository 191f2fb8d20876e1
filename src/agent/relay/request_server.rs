use std::sync::Arc;

use http::request::Parts;

use super::{
    AnswerSink, BodySource, CallerWatch, PeerPurpose, RequestBody, RequestCoordinator,
    RequestDriver, request_head::DEADLINE_HEADER,
};
use crate::{
    agent::{
        outcome::{FinalAnswer, NotRunCause},
        request::{CallerDeparture, ProfileError, RequestKind, RequestProfile},
        ticket::{RequestFingerprint, RunKey, SealedTicket, TicketVerdict, choose_successors},
    },
    clock::{ClockMillis, SpanMillis},
    key::TargetKey,
};

/// The header with a ticket.
const TICKET_HEADER: &str = "idempotency-key";
/// Retry-after for a run that is still in progress.
const RUNNING_RETRY_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// Retry-after for a lost grant, a full stream limit or a deadline that passed
/// before the body was read.
const SHORT_RETRY_MILLIS: SpanMillis = SpanMillis::new(200);

/// A request as it arrives at this agent, with its body unread.
pub(super) struct IncomingRequest {
    /// The head, without the headers that agents add for each other.
    pub(super) head: Parts,
    /// Where the body comes from.
    pub(super) body: BodySource,
    /// Where the answer goes.
    pub(super) sink: AnswerSink,
    /// Detects the caller's departure.
    pub(super) watch: CallerWatch,
    /// The purpose if a peer sent the request; `None` if a caller did.
    pub(super) purpose: Option<PeerPurpose>,
}

/// Serves one request to its end.
pub(super) async fn serve_request(incoming: IncomingRequest, coordinator: Arc<RequestCoordinator>) {
    let profile = match read_profile(&incoming.head, &coordinator) {
        Ok(profile) => profile,
        Err(ProfileError::MalformedDeadline) => {
            let detail = "x-deadline-millis is no number of milliseconds";
            let answer = FinalAnswer::BadRequest { detail };
            return incoming.sink.send_final(&answer, None).await;
        }
    };
    if incoming.purpose.is_none() {
        coordinator.record_request();
    }
    let key = ticket_key(&incoming, profile);
    let Some(request) = read_body(incoming, profile, coordinator).await else {
        return;
    };
    match key {
        Some(key) => request.execute_once(&key).await,
        None => request.execute(None).await,
    }
}

/// A request whose body is buffered, completely or up to the limit.
struct ReadyRequest {
    head: Parts,
    body: RequestBody,
    sink: AnswerSink,
    watch: CallerWatch,
    purpose: Option<PeerPurpose>,
    profile: RequestProfile,
    coordinator: Arc<RequestCoordinator>,
}

impl ReadyRequest {
    /// Executes a request at most once under the ticket `key`.
    async fn execute_once(mut self, key: &str) {
        let fingerprint = fingerprint(&self.head);
        match self.coordinator.present(key, fingerprint) {
            TicketVerdict::Run(run) => {
                self.profile = self.profile.with_ticket();
                self.execute(Some(run)).await;
            }
            TicketVerdict::Await(run) => self.await_run(run).await,
            TicketVerdict::Replay(outcome) => self.sink.send_kept(&outcome).await,
            TicketVerdict::Answer(answer) => self.send_final(&answer).await,
            TicketVerdict::Relay(ticket) => self.relay_ticket(ticket).await,
        }
    }

    /// Waits for the run that another request with the same ticket started.
    async fn await_run(mut self, run: RunKey) {
        let mut settled = self.coordinator.settled_signal();
        let deadline = self.profile.deadline;
        loop {
            if let Some(verdict) = self.coordinator.outcome(run) {
                return self.send_verdict(verdict).await;
            }
            tokio::select! {
                _ = settled.changed() => {}
                departure = self.watch.await_departure() => {
                    return self.coordinator.detach_waiter(run, departure);
                }
                () = sleep_until(&self.coordinator, deadline) => {
                    self.coordinator.detach_waiter(run, CallerDeparture::Lost);
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

    /// Relays to the agent that minted the ticket, or to a successor of it.
    async fn relay_ticket(self, ticket: SealedTicket) {
        // A request that a peer relayed is not relayed again.
        let targets = if self.purpose.is_none() {
            ticket_targets(&self.coordinator, ticket)
        } else {
            Vec::new()
        };
        let Some(first) = targets.first().copied() else {
            return self.send_final(&FinalAnswer::OutcomeUnknown).await;
        };
        let fallback_homes = targets[1..].to_vec();
        let mut driver = self.into_driver(None);
        driver.relay_to_home(first, fallback_homes);
        driver.run().await;
    }

    /// Runs the request on a granted slot, as a stream, or once a slot is free.
    async fn execute(self, run: Option<RunKey>) {
        match self.purpose {
            Some(PeerPurpose::Claim(key)) => {
                let Some(permit) = self.coordinator.bind(key) else {
                    return self.refuse(run, NotRunCause::GrantLost).await;
                };
                let mut driver = self.into_driver(run);
                driver.start_on_slot(permit).await;
                driver.run().await;
            }
            _ if self.profile.kind == RequestKind::Stream => {
                let Some(permit) = self.coordinator.open_stream() else {
                    return self.refuse(run, NotRunCause::StreamLimit).await;
                };
                let mut driver = self.into_driver(run);
                driver.start_as_stream(permit);
                driver.run().await;
            }
            purpose => {
                let claims_peers = purpose.is_none();
                let mut driver = self.into_driver(run);
                driver.wait_for_slot(claims_peers);
                driver.run().await;
            }
        }
    }

    async fn refuse(self, run: Option<RunKey>, cause: NotRunCause) {
        if let Some(run) = run {
            self.coordinator
                .settle(run, crate::agent::ticket::RunOutcome::NotRun);
        }
        let retry_after = SHORT_RETRY_MILLIS;
        self.send_final(&FinalAnswer::NotRun { cause, retry_after })
            .await;
    }

    async fn send_final(self, answer: &FinalAnswer) {
        let ticket = if self.profile.idempotent {
            None
        } else {
            self.coordinator.ticket_for(answer)
        };
        self.sink.send_final(answer, ticket).await;
    }

    fn into_driver(self, run: Option<RunKey>) -> RequestDriver {
        RequestDriver::new(
            self.coordinator,
            self.profile,
            (self.head, self.body),
            (self.sink, self.watch),
            run,
        )
    }
}

/// Sleeps until `instant` on the agent's clock.
pub(super) async fn sleep_until(coordinator: &RequestCoordinator, instant: ClockMillis) {
    tokio::time::sleep(instant.since(coordinator.now()).duration()).await;
}

fn read_profile(
    head: &Parts,
    coordinator: &RequestCoordinator,
) -> Result<RequestProfile, ProfileError> {
    let field = match head.headers.get(DEADLINE_HEADER) {
        Some(value) => Some(
            value
                .to_str()
                .map_err(|_| ProfileError::MalformedDeadline)?,
        ),
        None => None,
    };
    let method = head.method.as_str();
    RequestProfile::new(
        &coordinator.spec(),
        method,
        head.uri.path(),
        field,
        coordinator.now(),
    )
}

/// Returns the ticket of a request that must not run twice, if this agent
/// decides on it.
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

/// Buffers the body up to the limit.
///
/// Returns `None` if the caller is gone or the deadline has passed.
async fn read_body(
    incoming: IncomingRequest,
    mut profile: RequestProfile,
    coordinator: Arc<RequestCoordinator>,
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
        _ = watch.await_departure() => return None,
        () = sleep_until(&coordinator, profile.deadline) => {
            let cause = NotRunCause::DeadlineTooNear;
            let retry_after = SHORT_RETRY_MILLIS;
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
        coordinator,
    })
}

/// Returns the peers that may be responsible for a ticket, in the order to try.
fn ticket_targets(coordinator: &RequestCoordinator, ticket: SealedTicket) -> Vec<TargetKey> {
    let peers = coordinator.peers();
    let home = peers
        .iter()
        .find(|entry| entry.key == ticket.home && entry.incarnation == ticket.incarnation);
    match home {
        Some(entry) => vec![entry.key],
        None => choose_successors(ticket.incarnation, peers.iter().map(|entry| entry.key)),
    }
}
