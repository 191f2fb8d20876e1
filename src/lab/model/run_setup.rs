use serde::Serialize;

use super::{
    AcceptRule, FaultEntry, FaultKind, ModelMicros, RelayRule, RequestClass, ServiceProfile,
};
use crate::agent::slot::SlotLimits;

/// The input of a run; the same setup gives the same results.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct RunSetup {
    /// The seed of both random generators.
    pub(crate) seed: u64,
    /// The simulated service.
    #[serde(rename = "system")]
    pub(crate) service: ServiceProfile,
    /// How the target of a new connection is chosen.
    pub(crate) accept: AcceptRule,
    /// Where requests wait for a slot.
    pub(crate) relay: RelayRule,
    /// The offered load in percent of all slots.
    pub(crate) load_percent: u32,
    /// The number of callers that connect in the first half of the warm-up.
    pub(crate) callers: usize,
    /// The shortest delay of a message between failure domains.
    pub(crate) domain_delay: ModelMicros,
    /// Lost messages per thousand.
    pub(crate) lost_per_mille: u32,
    /// How long a slot is held for a granted claim.
    #[serde(rename = "hold")]
    pub(crate) hold_time: ModelMicros,
    /// The time between two load reports of a target.
    pub(crate) report_period: ModelMicros,
    /// The time before requests are counted.
    pub(crate) warm_up: ModelMicros,
    /// The number of requests after the warm-up.
    pub(crate) requests: u64,
    /// Additional targets that join only through `FaultKind::ColdStart`.
    #[serde(rename = "absent")]
    pub(crate) absent_targets: usize,
    /// The mean service time of bulk requests, if not the profile's.
    #[serde(rename = "bulk_work")]
    pub(crate) bulk_service_time: Option<ModelMicros>,
    /// The slots of each target that bulk requests leave free.
    pub(crate) reserve: u16,
    /// The faults and load changes of the run.
    pub(crate) faults: Vec<FaultEntry>,
    /// How callers and agents handle retries.
    pub(crate) retry: RetryPolicy,
}

/// What callers do after a refusal or a timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RetryPolicy {
    /// They never resend.
    Never,
    /// They resend without backoff, up to a number of times.
    #[serde(rename = "at_once")]
    Immediate {
        /// The most resends of a request.
        #[serde(rename = "times")]
        max_resends: u8,
        /// How long a caller waits for an answer before it resends.
        #[serde(rename = "patience")]
        caller_timeout: ModelMicros,
        /// Retries admitted per hundred first sends; unlimited if absent.
        budget_percent: Option<u8>,
        /// Whether a caller that resends cancels the earlier request if that still waits.
        cancels: bool,
        /// Whether the request's deadline is the caller's timeout.
        #[serde(rename = "tells_deadline")]
        sends_deadline: bool,
    },
}

impl RunSetup {
    /// The mean number of callers per target.
    const CALLERS_PER_TARGET: usize = 200;
    /// The most requests that wait at one target.
    pub(crate) const QUEUE_LIMIT: u16 = 64;
    /// The time after the last fault until the service should have recovered.
    const SETTLE_TIME: ModelMicros = ModelMicros::from_seconds(60);
    /// The retry percentage that stands for no limit.
    pub(crate) const UNLIMITED_RETRIES: u8 = u8::MAX;
    /// The deadline of a request that carries none, from its arrival.
    const DEFAULT_DEADLINE: ModelMicros = ModelMicros::from_seconds(10);
    /// The default number of requests after the warm-up.
    const DEFAULT_REQUESTS: u64 = 200_000;

    /// Creates a run of `service` at 80% load without faults, under the given rules.
    pub(crate) fn new(service: ServiceProfile, accept: AcceptRule, relay: RelayRule) -> Self {
        Self {
            seed: 1,
            service,
            accept,
            relay,
            load_percent: 80,
            callers: Self::CALLERS_PER_TARGET * service.targets(),
            domain_delay: service.domain_delay(),
            lost_per_mille: 0,
            hold_time: ModelMicros::from_millis(20),
            report_period: ModelMicros::from_seconds(1),
            warm_up: ModelMicros::from_seconds(30),
            requests: Self::DEFAULT_REQUESTS,
            absent_targets: 0,
            bulk_service_time: None,
            reserve: service.reserve(),
            faults: Vec::new(),
            retry: RetryPolicy::Never,
        }
    }

    pub(crate) fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the offered load in percent of all slots.
    pub(crate) fn with_load(mut self, percent: u32) -> Self {
        self.load_percent = percent;
        self
    }

    /// Sets the shortest delay of a message between failure domains.
    pub(crate) fn with_delay(mut self, delay: ModelMicros) -> Self {
        self.domain_delay = delay;
        self
    }

    /// Sets the number of lost messages per thousand.
    pub(crate) fn with_loss(mut self, per_mille: u32) -> Self {
        self.lost_per_mille = per_mille;
        self
    }

    /// Sets how long a slot is held for a granted claim.
    pub(crate) fn with_hold(mut self, hold: ModelMicros) -> Self {
        self.hold_time = hold;
        self
    }

    /// Sets the time between two load reports.
    pub(crate) fn with_report_period(mut self, period: ModelMicros) -> Self {
        self.report_period = period;
        self
    }

    /// Sets the number of requests after the warm-up.
    pub(crate) fn with_requests(mut self, requests: u64) -> Self {
        self.requests = requests;
        self
    }

    /// Adds a fault; `at` counts from the end of the warm-up.
    pub(crate) fn with_fault(mut self, at: ModelMicros, kind: FaultKind) -> Self {
        let at = self.warm_up.after(at);
        self.faults.push(FaultEntry { at, kind });
        self
    }

    /// Adds `count` targets that are absent until a cold start.
    pub(crate) fn with_absent_targets(mut self, count: usize) -> Self {
        self.absent_targets = count;
        self
    }

    /// Sets what callers do after a refusal or a timeout.
    pub(crate) fn with_retry(mut self, habit: RetryPolicy) -> Self {
        self.retry = habit;
        self
    }

    /// Sets the slots of each target that bulk requests leave free.
    pub(crate) fn with_reserve(mut self, reserve: u16) -> Self {
        self.reserve = reserve;
        self
    }

    /// Sets the mean service time of bulk requests.
    pub(crate) fn with_bulk_service_time(mut self, service_time: ModelMicros) -> Self {
        self.bulk_service_time = Some(service_time);
        self
    }

    /// Returns the request classes.
    pub(crate) fn classes(&self) -> [RequestClass; 3] {
        let mut classes = self.service.classes();
        if let Some(service_time) = self.bulk_service_time {
            classes[2].mean_service_time = service_time;
        }
        classes
    }

    /// Returns the mean service time over all classes.
    pub(crate) fn mean_service_time(&self) -> ModelMicros {
        let classes = self.classes();
        let weighted =
            |class: &RequestClass| u64::from(class.percent) * class.mean_service_time.micros();
        let micros: u64 = classes.iter().map(weighted).sum();
        ModelMicros::new(micros / 100)
    }

    /// Returns when the service should have recovered from the last fault, if there are faults.
    pub(crate) fn settled_at(&self) -> Option<ModelMicros> {
        let last = self.faults.iter().map(|fault| fault.at).max()?;
        Some(last.after(Self::SETTLE_TIME))
    }

    /// Returns the retries that a target admits per hundred first sends.
    pub(crate) const fn retry_percent(&self) -> u8 {
        match self.retry {
            RetryPolicy::Immediate {
                budget_percent: Some(percent),
                ..
            } => percent,
            RetryPolicy::Immediate { .. } | RetryPolicy::Never => Self::UNLIMITED_RETRIES,
        }
    }

    /// Returns the deadline of a request, from its arrival.
    pub(crate) const fn deadline(&self) -> ModelMicros {
        match self.retry {
            RetryPolicy::Immediate {
                caller_timeout,
                sends_deadline: true,
                ..
            } => caller_timeout,
            RetryPolicy::Immediate { .. } | RetryPolicy::Never => Self::DEFAULT_DEADLINE,
        }
    }

    /// Returns the slot limits of each target.
    pub(crate) fn limits(&self) -> SlotLimits {
        let is_central = self.relay == RelayRule::CentralQueue;
        SlotLimits {
            slots: ServiceProfile::SLOTS as u16,
            queue: Self::QUEUE_LIMIT,
            reserve: if is_central { 0 } else { self.reserve },
        }
    }

    /// Returns the number of targets, including absent ones.
    pub(crate) fn target_count(&self) -> usize {
        self.service.targets() + self.absent_targets
    }
}
