use hdrhistogram::Histogram;
use serde::Serialize;

use super::{ModelMicros, RunSetup};
use crate::manifest::RequestPriority;

/// What a run counts while it goes on.
#[derive(Debug)]
pub(crate) struct RunMeasure {
    /// The waits of all measured requests, in microseconds.
    waits: Histogram<u64>,
    /// The waits of those that arrive once the last fault should be over.
    settled_waits: Histogram<u64>,
    /// The waits of the urgent ones.
    urgent_waits: Histogram<u64>,
    /// The time for which each target's slots were busy.
    pub(crate) busy: Vec<ModelMicros>,
    /// Requests that arrived.
    pub(crate) arrived: u64,
    /// Requests that were refused at once; they did not run.
    pub(crate) refused: u64,
    /// Requests whose deadline passed while they waited; they did not run.
    pub(crate) expired: u64,
    /// Requests that their callers withdrew while they waited.
    pub(crate) withdrawn: u64,
    /// Requests whose outcome their caller can't know.
    pub(crate) unknown: u64,
    /// Sends of a request beyond the first.
    pub(crate) resent: u64,
    /// Slot time spent on requests that were resent meanwhile.
    pub(crate) wasted: ModelMicros,
    /// Connections that broke.
    pub(crate) broken: u64,
    /// Connections that moved because they were asked to.
    pub(crate) moved: u64,
    /// Offers of a connection beyond the first.
    pub(crate) passed: u64,
    /// Messages between agents about requests.
    pub(crate) messages: u64,
}

/// The figures of a run.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct RunReport {
    /// The setup that gave them.
    pub(crate) setup: RunSetup,
    /// Requests that arrived.
    pub(crate) arrived: u64,
    /// The median wait, in milliseconds.
    pub(crate) wait_p50_millis: f64,
    /// The wait at the 99th percentile, in milliseconds.
    pub(crate) wait_p99_millis: f64,
    /// The same of requests that arrive a minute or more after the last fault.
    pub(crate) settled_p99_millis: f64,
    /// The same of urgent requests.
    pub(crate) urgent_p99_millis: f64,
    /// The busiest target's slot time over the mean.
    pub(crate) busiest_to_mean: f64,
    /// The largest number of connections at a target over the mean.
    pub(crate) connections_to_mean: f64,
    /// Refused requests.
    pub(crate) refused: u64,
    /// Requests that expired.
    pub(crate) expired: u64,
    /// Requests that were withdrawn while they waited.
    pub(crate) withdrawn: u64,
    /// Requests of unknown outcome.
    pub(crate) unknown: u64,
    /// Requests sent again.
    pub(crate) resent: u64,
    /// The share of slot time spent on requests that were resent meanwhile.
    pub(crate) wasted_share: f64,
    /// Broken connections.
    pub(crate) broken: u64,
    /// Connections that moved on request.
    pub(crate) moved: u64,
    /// Offers beyond the first, per connection.
    pub(crate) passed: u64,
    /// Messages between agents for each request.
    pub(crate) messages_per_request: f64,
}

impl RunMeasure {
    /// The longest wait that the histograms tell apart.
    const LONGEST: u64 = 600_000_000;
    /// The precise digits of the histograms.
    const DIGITS: u8 = 3;

    /// Creates empty counts for `targets`.
    pub(crate) fn new(targets: usize) -> Self {
        let histogram = || {
            Histogram::new_with_max(Self::LONGEST, Self::DIGITS)
                .expect("the bounds of the histogram are constants")
        };
        Self {
            waits: histogram(),
            settled_waits: histogram(),
            urgent_waits: histogram(),
            busy: vec![ModelMicros::ZERO; targets],
            arrived: 0,
            refused: 0,
            expired: 0,
            withdrawn: 0,
            unknown: 0,
            resent: 0,
            wasted: ModelMicros::ZERO,
            broken: 0,
            moved: 0,
            passed: 0,
            messages: 0,
        }
    }

    /// Counts the wait of a request that starts now.
    pub(crate) fn record_wait(&mut self, priority: RequestPriority, wait: ModelMicros) {
        self.waits.saturating_record(wait.micros());
        if priority == RequestPriority::Urgent {
            self.urgent_waits.saturating_record(wait.micros());
        }
    }

    /// Counts the wait of a request that arrived after the faults.
    pub(crate) fn record_settled(&mut self, wait: ModelMicros) {
        self.settled_waits.saturating_record(wait.micros());
    }

    /// Counts the slot time of a request at a target.
    pub(crate) fn record_busy(&mut self, target: usize, span: ModelMicros) {
        self.busy[target] = self.busy[target].after(span);
    }

    /// Sums up; `members` are the targets that take part at the end, each with
    /// its number of connections.
    pub(crate) fn report(&self, setup: &RunSetup, members: &[(usize, usize)]) -> RunReport {
        let busy: Vec<f64> = members
            .iter()
            .map(|&(target, _)| self.busy[target].as_millis())
            .collect();
        let connections: Vec<f64> = members.iter().map(|&(_, count)| count as f64).collect();
        let total: f64 = self.busy.iter().map(|span| span.as_millis()).sum();
        let millis = |micros: u64| ModelMicros::new(micros).as_millis();
        RunReport {
            setup: setup.clone(),
            arrived: self.arrived,
            wait_p50_millis: millis(self.waits.value_at_quantile(0.5)),
            wait_p99_millis: millis(self.waits.value_at_quantile(0.99)),
            settled_p99_millis: millis(self.settled_waits.value_at_quantile(0.99)),
            urgent_p99_millis: millis(self.urgent_waits.value_at_quantile(0.99)),
            busiest_to_mean: largest_to_mean(&busy),
            connections_to_mean: largest_to_mean(&connections),
            refused: self.refused,
            expired: self.expired,
            withdrawn: self.withdrawn,
            unknown: self.unknown,
            resent: self.resent,
            wasted_share: self.wasted.as_millis() / total.max(1.0),
            broken: self.broken,
            moved: self.moved,
            passed: self.passed,
            messages_per_request: self.messages as f64 / self.arrived.max(1) as f64,
        }
    }
}

impl RunReport {
    /// Returns the means of several runs of one setup; counts are added up.
    pub(crate) fn mean_of(setup: &RunSetup, reports: &[Self]) -> Self {
        let mean = |pick: fn(&Self) -> f64| {
            reports.iter().map(pick).sum::<f64>() / reports.len().max(1) as f64
        };
        let sum = |pick: fn(&Self) -> u64| reports.iter().map(pick).sum();
        Self {
            setup: setup.clone(),
            arrived: sum(|it| it.arrived),
            wait_p50_millis: mean(|it| it.wait_p50_millis),
            wait_p99_millis: mean(|it| it.wait_p99_millis),
            settled_p99_millis: mean(|it| it.settled_p99_millis),
            urgent_p99_millis: mean(|it| it.urgent_p99_millis),
            busiest_to_mean: mean(|it| it.busiest_to_mean),
            connections_to_mean: mean(|it| it.connections_to_mean),
            refused: sum(|it| it.refused),
            expired: sum(|it| it.expired),
            withdrawn: sum(|it| it.withdrawn),
            unknown: sum(|it| it.unknown),
            resent: sum(|it| it.resent),
            wasted_share: mean(|it| it.wasted_share),
            broken: sum(|it| it.broken),
            moved: sum(|it| it.moved),
            passed: sum(|it| it.passed),
            messages_per_request: mean(|it| it.messages_per_request),
        }
    }
}

fn largest_to_mean(values: &[f64]) -> f64 {
    let largest = values.iter().copied().fold(0.0, f64::max);
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    if mean > 0.0 { largest / mean } else { 0.0 }
}
