use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use super::demo_tally::{DemoTally, RequestOutcome};
use crate::{
    caller::{AnswerStream, CallAnswer, CallRequest, CallerError, ServiceCaller},
    program::StopSignal,
    tls::ServerTrust,
};

/// The requests that a caller sends over one connection.
const REQUESTS_PER_CONNECTION: u32 = 6;
/// The pause between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(10);
/// The time within which a connection must stand.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Where the callers of one service send to, and whom they expect to answer.
#[derive(Debug, Clone)]
pub(super) struct DemoService {
    /// The service's name.
    pub(super) name: &'static str,
    /// The service's address.
    pub(super) address: SocketAddrV4,
    /// The root that signed the agents' certificate.
    pub(super) trust: ServerTrust,
}

impl DemoService {
    /// Connects to whichever target the balancers choose.
    pub(super) async fn connect(&self) -> Option<ServiceCaller> {
        let attempt = ServiceCaller::connect(self.address, self.name, self.trust.clone());
        tokio::time::timeout(CONNECT_TIMEOUT, attempt)
            .await
            .ok()?
            .ok()
    }

    /// Upstreams are named after their service.
    fn is_own(&self, upstream: &[u8]) -> bool {
        upstream.starts_with(self.name.as_bytes())
    }
}

/// Sends requests over ever new connections until the stop.
pub(super) async fn send_requests(
    service: DemoService,
    caller_number: usize,
    tally: Arc<DemoTally>,
    stop: StopSignal,
) {
    let mut number = 0_u64;
    while !stop.is_stopped() {
        let start = Instant::now();
        let connected = service.connect().await;
        tally.note_connect(start.elapsed());
        let Some(caller) = connected else {
            tally.count_unconnected();
            continue;
        };
        for _ in 0..REQUESTS_PER_CONNECTION {
            if stop.is_stopped() {
                break;
            }
            number += 1;
            let id = format!("{}-{caller_number}-{number}", service.name);
            if !send_one(&service, &caller, number, &id, &tally).await {
                break;
            }
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
        // The other end is told while the next connection is made.
        tokio::spawn(caller.close());
    }
}

/// Sends a lookup or a command; returns whether the connection can be used on.
async fn send_one(
    service: &DemoService,
    caller: &ServiceCaller,
    number: u64,
    id: &str,
    tally: &DemoTally,
) -> bool {
    let is_command = number.is_multiple_of(2);
    let request = if is_command {
        CallRequest::new("POST", &format!("/run/{id}"))
    } else {
        CallRequest::new("GET", "/name")
    };
    let answer = caller.send(request).await;
    let Some(outcome) = judge(service, is_command, &answer) else {
        return false;
    };
    if let (RequestOutcome::Cut, Err(error)) = (outcome, &answer) {
        tally.note_cut(format!("{id}: {error}"));
    }
    if is_command && outcome == RequestOutcome::NotRun {
        tally.note_refused_run(id.to_owned());
    }
    tally.count(outcome);
    outcome != RequestOutcome::Cut
}

/// Returns what became of a request; none if it was never sent.
fn judge(
    service: &DemoService,
    is_command: bool,
    answer: &Result<CallAnswer, CallerError>,
) -> Option<RequestOutcome> {
    match answer {
        Ok(answer) if answer.is_success() && is_command => Some(RequestOutcome::Answered),
        Ok(answer) if answer.is_success() && service.is_own(&answer.body) => {
            Some(RequestOutcome::Answered)
        }
        Ok(answer) if answer.is_success() => Some(RequestOutcome::Misrouted),
        Ok(answer) if answer.is_refused_unrun() => Some(RequestOutcome::NotRun),
        Ok(_) => Some(RequestOutcome::Failed),
        Err(error) if error.is_unsent() => None,
        Err(_) => Some(RequestOutcome::Cut),
    }
}

/// Reads a stream from its first line until the stop, and counts what it meets.
pub(super) async fn follow_stream(
    service: DemoService,
    caller: ServiceCaller,
    mut stream: AnswerStream,
    tally: Arc<DemoTally>,
    stop: StopSignal,
) {
    let mut reader = LineReader::default();
    loop {
        let part = tokio::select! {
            part = stream.next_part() => part,
            () = stop.stopped() => break,
        };
        let lines = match part {
            Ok(Some(part)) => reader.take(&part).ok_or("a line is missing".to_owned()),
            Ok(None) => Err("it ended".to_owned()),
            Err(error) => Err(error.to_string()),
        };
        let lines = match lines {
            Ok(lines) => lines,
            Err(cause) => {
                tally.count_broken_stream();
                tally.note_cut(format!("a stream of {}: {cause}", service.name));
                break;
            }
        };
        tally.count_lines(lines);
        if !reader.source().is_empty() && !service.is_own(reader.source()) {
            tally.count(RequestOutcome::Misrouted);
        }
    }
    drop(stream);
    caller.close().await;
}

/// Checks that the numbered lines of a stream come whole and in order.
#[derive(Debug, Default)]
pub(super) struct LineReader {
    text: Vec<u8>,
    source: Vec<u8>,
    next: u64,
}

impl LineReader {
    /// Takes a part of the stream; returns its whole lines, or none on a gap.
    pub(super) fn take(&mut self, part: &[u8]) -> Option<u64> {
        self.text.extend_from_slice(part);
        let mut count = 0;
        while let Some(end) = self.text.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.text.drain(..=end).collect();
            self.check_line(&line[..end])?;
            count += 1;
        }
        Some(count)
    }

    /// Returns the name of the upstream that the stream comes from.
    pub(super) fn source(&self) -> &[u8] {
        &self.source
    }

    fn check_line(&mut self, line: &[u8]) -> Option<()> {
        let line = std::str::from_utf8(line).ok()?;
        let (source, number) = line.rsplit_once(' ')?;
        if self.next == 0 {
            self.source = source.as_bytes().to_vec();
        }
        let is_next = number.parse() == Ok(self.next) && source.as_bytes() == self.source;
        self.next += 1;
        is_next.then_some(())
    }
}
