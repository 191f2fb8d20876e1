use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use super::demo_counters::{DemoCounters, RequestOutcome};
use crate::{
    caller::{CallRequest, CallResponse, CallerError, ResponseStream, ServiceCaller},
    program::StopSignal,
    tls::TrustedRoots,
};

/// Requests per connection of a caller.
const REQUESTS_PER_CONNECTION: u32 = 6;
/// The pause between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(10);
/// The timeout for a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// What callers need to reach a service.
#[derive(Debug, Clone)]
pub(super) struct DemoService {
    /// The name of the service.
    pub(super) name: &'static str,
    /// The address of the service.
    pub(super) address: SocketAddrV4,
    /// The root that signed the certificate of the agents.
    pub(super) trusted_roots: TrustedRoots,
}

impl DemoService {
    /// Connects to a target chosen by the balancers; none if that fails or times out.
    pub(super) async fn connect(&self) -> Option<ServiceCaller> {
        let attempt = ServiceCaller::connect(self.address, self.name, self.trusted_roots.clone());
        tokio::time::timeout(CONNECT_TIMEOUT, attempt)
            .await
            .ok()?
            .ok()
    }

    /// Returns whether an upstream belongs to this service; upstream names start with
    /// the name of their service.
    fn is_from_service(&self, upstream: &[u8]) -> bool {
        upstream.starts_with(self.name.as_bytes())
    }
}

/// Sends requests until the stop, with a new connection after every few.
pub(super) async fn send_requests(
    service: DemoService,
    caller_number: usize,
    counters: Arc<DemoCounters>,
    stop: StopSignal,
) {
    let mut number = 0_u64;
    while !stop.is_stopped() {
        let start = Instant::now();
        let connected = service.connect().await;
        counters.record_connect_time(start.elapsed());
        let Some(caller) = connected else {
            counters.count_unconnected();
            continue;
        };
        for _ in 0..REQUESTS_PER_CONNECTION {
            if stop.is_stopped() {
                break;
            }
            number += 1;
            let id = format!("{}-{caller_number}-{number}", service.name);
            if !send_request(&service, &caller, number, &id, &counters).await {
                break;
            }
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
        // The close runs in parallel with the next connection attempt.
        tokio::spawn(caller.close());
    }
}

/// Sends a lookup or a command; returns whether the connection is still usable.
async fn send_request(
    service: &DemoService,
    caller: &ServiceCaller,
    number: u64,
    id: &str,
    counters: &DemoCounters,
) -> bool {
    let is_command = number.is_multiple_of(2);
    let request = if is_command {
        CallRequest::new("POST", &format!("/run/{id}"))
    } else {
        CallRequest::new("GET", "/name")
    };
    let answer = caller.send(request).await;
    let Some(outcome) = classify_response(service, is_command, &answer) else {
        return false;
    };
    if let (RequestOutcome::Cut, Err(error)) = (outcome, &answer) {
        counters.record_cut(format!("{id}: {error}"));
    }
    if is_command && outcome == RequestOutcome::NotRun {
        counters.record_refused_command(id.to_owned());
    }
    counters.count(outcome);
    outcome != RequestOutcome::Cut
}

/// Returns the outcome of a request; none if it was never sent.
fn classify_response(
    service: &DemoService,
    is_command: bool,
    response: &Result<CallResponse, CallerError>,
) -> Option<RequestOutcome> {
    match response {
        Ok(response) if response.is_success() && is_command => Some(RequestOutcome::Answered),
        Ok(response) if response.is_success() && service.is_from_service(&response.body) => {
            Some(RequestOutcome::Answered)
        }
        Ok(response) if response.is_success() => Some(RequestOutcome::Misrouted),
        Ok(response) if response.is_not_run() => Some(RequestOutcome::NotRun),
        Ok(_) => Some(RequestOutcome::Failed),
        Err(error) if error.is_not_processed() => None,
        Err(_) => Some(RequestOutcome::Cut),
    }
}

/// Reads a stream until the stop and counts its lines and faults.
pub(super) async fn follow_stream(
    service: DemoService,
    caller: ServiceCaller,
    mut stream: ResponseStream,
    counters: Arc<DemoCounters>,
    stop: StopSignal,
) {
    let mut reader = LineReader::default();
    loop {
        let chunk = tokio::select! {
            chunk = stream.next_chunk() => chunk,
            () = stop.stopped() => break,
        };
        let lines = match chunk {
            Ok(Some(chunk)) => reader
                .read_part(&chunk)
                .ok_or("a line is missing".to_owned()),
            Ok(None) => Err("it ended".to_owned()),
            Err(error) => Err(error.to_string()),
        };
        let lines = match lines {
            Ok(lines) => lines,
            Err(cause) => {
                counters.count_broken_stream();
                counters.record_cut(format!("a stream of {}: {cause}", service.name));
                break;
            }
        };
        counters.count_lines(lines);
        if !reader.source().is_empty() && !service.is_from_service(reader.source()) {
            counters.count(RequestOutcome::Misrouted);
        }
    }
    drop(stream);
    caller.close().await;
}

/// Checks that the numbered lines of a stream are complete and in order.
#[derive(Debug, Default)]
pub(super) struct LineReader {
    buffer: Vec<u8>,
    source: Vec<u8>,
    next_number: u64,
}

impl LineReader {
    /// Reads a part of the stream; returns the number of lines completed by it.
    ///
    /// Returns none if a line is missing, out of order or from another upstream.
    pub(super) fn read_part(&mut self, part: &[u8]) -> Option<u64> {
        self.buffer.extend_from_slice(part);
        let mut count = 0;
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
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
        if self.next_number == 0 {
            self.source = source.as_bytes().to_vec();
        }
        let is_next = number.parse() == Ok(self.next_number) && source.as_bytes() == self.source;
        self.next_number += 1;
        is_next.then_some(())
    }
}
