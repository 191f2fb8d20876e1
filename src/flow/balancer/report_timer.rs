use std::{collections::HashMap, net::Ipv4Addr};

use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::FlowKey,
};

/// The shortest time after which an opening counts as unreported, also if reports on
/// openings that were sent that much later have come; an agent waits for its target
/// half as long before it passes the opening on.
pub(super) const MIN_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(60);
/// The longest one: an opening whose agent is silent has to reach another one before
/// its caller gives up after 1.4 s.
const MAX_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The timeout is this many times the average delay of reports.
const DELAY_FACTOR: u64 = 3;
/// Each report has a weight of `1 / AVERAGE_DIVISOR` in the average delay.
const AVERAGE_DIVISOR: u64 = 8;
/// How many timed-out openings are remembered, to recognise late reports.
const MAX_TIMED_OUT: usize = 1_024;
/// How long they are remembered.
const TIMED_OUT_RETENTION_MILLIS: SpanMillis = SpanMillis::new(2_000);

/// An opening whose report did not come in time.
#[derive(Debug, Clone, Copy)]
struct TimedOutOpening {
    agent: Ipv4Addr,
    sent_at: ClockMillis,
}

/// Adapts the time that a balancer waits for reports to how long they take.
///
/// While the balancer's own link is full, packets and reports wait in its queues.
/// With a fixed timeout it would then suspect all agents and send every opening to
/// several of them.
#[derive(Debug, Default)]
pub(super) struct ReportTimer {
    /// Moving average of the delay, in units of `1 / AVERAGE_DIVISOR` ms.
    scaled_average: u64,
    timed_out: HashMap<FlowKey, TimedOutOpening>,
}

impl ReportTimer {
    /// Returns how long to wait for a report.
    pub(super) fn timeout(&self) -> SpanMillis {
        let timeout = self.scaled_average * DELAY_FACTOR / AVERAGE_DIVISOR;
        SpanMillis::new(timeout)
            .max(MIN_TIMEOUT_MILLIS)
            .min(MAX_TIMEOUT_MILLIS)
    }

    /// Records that an opening sent to `agent` at `sent_at` timed out.
    pub(super) fn record_timeout(&mut self, flow: FlowKey, agent: Ipv4Addr, sent_at: ClockMillis) {
        if self.timed_out.len() < MAX_TIMED_OUT {
            let opening = TimedOutOpening { agent, sent_at };
            self.timed_out.insert(flow, opening);
        }
    }

    /// Records a report on an opening; `delay` is the time since it was sent, `None`
    /// if it is not pending any more.
    pub(super) fn record_report(
        &mut self,
        flow: FlowKey,
        agent: Ipv4Addr,
        delay: Option<SpanMillis>,
        now: ClockMillis,
    ) {
        let late = self
            .timed_out
            .remove(&flow)
            .filter(|opening| opening.agent == agent)
            .map(|opening| now.since(opening.sent_at));
        let Some(delay) = late.or(delay) else {
            return;
        };
        let kept = self.scaled_average - self.scaled_average / AVERAGE_DIVISOR;
        // Without the limit one very late report would outweigh many.
        self.scaled_average = kept + delay.min(MAX_TIMEOUT_MILLIS).millis();
    }

    /// Forgets the openings that timed out long ago.
    pub(super) fn sweep(&mut self, now: ClockMillis) {
        self.timed_out
            .retain(|_, opening| now.since(opening.sent_at) < TIMED_OUT_RETENTION_MILLIS);
    }
}
