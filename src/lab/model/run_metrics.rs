use hdrhistogram::Histogram;
use serde::Serialize;

use super::{ModelMicros, RunSetup};
use crate::manifest::RequestPriority;

/// The counters and histograms of a run.
#[derive(Debug)]
pub(crate) struct RunMetrics {
    /// The waits of all requests after the warm-up, in microseconds.
    waits: Histogram<u64>,
    /// The waits of requests that arrived after the settling time of the last fault.
    settled_waits: Histogram<u64>,
    /// The waits of urgent requests.
    urgent_waits: Histogram<u64>,
    /// The slot time used at each target.
    pub(crate) busy: Vec<ModelMicros>,
    /// Requests that arrived.
    pub(crate) arrived: u64,
    /// Requests refused on arrival; they did not run.
    pub(crate) refused: u64,
    /// Requests refused after a wait, mostly past their deadline; they did not run.
    pub(crate) expired: u64,
    /// Requests that their callers withdrew while they waited.
    pub(crate) withdrawn: u64,
    /// Requests of unknown outcome: they may have run.
    pub(crate) unknown: u64,
    /// Sends of a request beyond the first.
    pub(crate) resent: u64,
    /// Slot time of requests whose caller had already timed out.
    pub(crate) wasted: ModelMicros,
    /// Connections that broke.
    pub(crate) broken: u64,
    /// Connections moved away from a draining target.
    pub(crate) moved: u64,
    /// First packets sent to a candidate after the first one.
    pub(crate) passed_on: u64,
    /// Messages between agents, without first packets.
    pub(crate) messages: u64,
}

/// The results of a run, or their means over several seeds.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct RunReport {
    /// The setup of the run.
    pub(crate) setup: RunSetup,
    /// Requests that arrived.
    pub(crate) arrived: u64,
    /// The median wait, in milliseconds.
    pub(crate) wait_p50_millis: f64,
    /// The wait at the 99th percentile, in milliseconds.
    pub(crate) wait_p99_millis: f64,
    /// The same for requests that arrived a minute or more after the last fault.
    pub(crate) settled_p99_millis: f64,
    /// The same for urgent requests.
    pub(crate) urgent_p99_millis: f64,
    /// The slot time of the busiest target, relative to the mean.
    pub(crate) busiest_to_mean: f64,
    /// The largest number of connections at a target, relative to the mean.
    pub(crate) connections_to_mean: f64,
    /// Requests refused on arrival.
    pub(crate) refused: u64,
    /// Requests refused after a wait.
    pub(crate) expired: u64,
    /// Requests withdrawn by their callers while they waited.
    pub(crate) withdrawn: u64,
    /// Requests of unknown outcome.
    pub(crate) unknown: u64,
    /// Sends of a request beyond the first.
    pub(crate) resent: u64,
    /// The fraction of slot time of requests whose caller had already timed out.
    pub(crate) wasted_share: f64,
    /// Connections that broke.
    pub(crate) broken: u64,
    /// Connections moved away from a draining target.
    pub(crate) moved: u64,
    /// First packets sent to a candidate after the first one.
    #[serde(rename = "passed")]
    pub(crate) passed_on: u64,
    /// Messages between agents per request.
    pub(crate) messages_per_request: f64,
}

impl RunMetrics {
    /// The largest wait that the histograms record.
    const MAX_WAIT_MICROS: u64 = 600_000_000;
    /// The significant decimal digits of the histograms.
    const SIGNIFICANT_DIGITS: u8 = 3;

    /// Creates empty metrics for `targets` targets.
    pub(crate) fn new(targets: usize) -> Self {
        let histogram = || {
            Histogram::new_with_max(Self::MAX_WAIT_MICROS, Self::SIGNIFICANT_DIGITS)
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
            passed_on: 0,
            messages: 0,
        }
    }

    /// Records the wait of a request that starts now.
    pub(crate) fn record_wait(&mut self, priority: RequestPriority, wait: ModelMicros) {
        self.waits.saturating_record(wait.micros());
        if priority == RequestPriority::Urgent {
            self.urgent_waits.saturating_record(wait.micros());
        }
    }

    /// Records the wait of a request that arrived after the faults.
    pub(crate) fn record_settled_wait(&mut self, wait: ModelMicros) {
        self.settled_waits.saturating_record(wait.micros());
    }

    /// Adds the slot time of a request at a target.
    pub(crate) fn record_busy(&mut self, target: usize, span: ModelMicros) {
        self.busy[target] = self.busy[target].after(span);
    }

    /// Computes the results; `serving` are the targets that serve at the end, each with
    /// its number of connections.
    pub(crate) fn report(&self, setup: &RunSetup, serving: &[(usize, usize)]) -> RunReport {
        let busy: Vec<f64> = serving
            .iter()
            .map(|&(target, _)| self.busy[target].as_millis())
            .collect();
        let connections: Vec<f64> = serving.iter().map(|&(_, count)| count as f64).collect();
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
            passed_on: self.passed_on,
            messages_per_request: self.messages as f64 / self.arrived.max(1) as f64,
        }
    }
}

impl RunReport {
    /// Combines several runs of one setup: counters are summed, other values averaged.
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
            passed_on: sum(|it| it.passed_on),
            messages_per_request: mean(|it| it.messages_per_request),
        }
    }
}

fn largest_to_mean(values: &[f64]) -> f64 {
    let largest = values.iter().copied().fold(0.0, f64::max);
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    if mean > 0.0 { largest / mean } else { 0.0 }
}
