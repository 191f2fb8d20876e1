use serde::Serialize;

use super::{AcceptRule, FaultEntry, ModelMicros, RelayRule, SystemProfile};

/// Everything that decides a run; the same setup gives the same figures.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct RunSetup {
    /// The seed of every draw.
    pub(crate) seed: u64,
    /// The modelled service.
    pub(crate) system: SystemProfile,
    /// How connections find their target.
    pub(crate) accept: AcceptRule,
    /// Where requests wait.
    pub(crate) relay: RelayRule,
    /// The offered work in percent of all slots.
    pub(crate) load_percent: u32,
    /// The callers that are connected at the usual rate.
    pub(crate) callers: usize,
    /// The time of a message between failure domains.
    pub(crate) domain_delay: ModelMicros,
    /// The messages lost in a thousand.
    pub(crate) lost_per_mille: u32,
    /// The time between two load reports of a target.
    pub(crate) report_period: ModelMicros,
    /// The time before the measures count.
    pub(crate) warm_up: ModelMicros,
    /// The requests that are measured.
    pub(crate) requests: u64,
    /// Targets that exist in the model but join only by a cold start.
    pub(crate) absent: usize,
    /// What happens during the run.
    pub(crate) faults: Vec<FaultEntry>,
    /// What callers and agents do about refusals.
    pub(crate) retry: RetryHabit,
}

/// What callers do after a refusal or a wait that is too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RetryHabit {
    /// They give up.
    Never,
    /// They resend at once, up to a number of times.
    AtOnce {
        /// How often one request is resent.
        times: u8,
        /// How long a caller waits for an answer before it resends.
        patience: ModelMicros,
        /// Retries admitted per hundred first sends; none for any number.
        budget_percent: Option<u8>,
    },
}

impl RunSetup {
    /// The callers that each target has on average.
    const CALLERS_PER_TARGET: usize = 200;
    /// The requests that a run measures.
    const REQUESTS: u64 = 200_000;

    /// Sets up a steady run of `system` with the rules that it is to try.
    pub(crate) fn new(system: SystemProfile, accept: AcceptRule, relay: RelayRule) -> Self {
        Self {
            seed: 1,
            system,
            accept,
            relay,
            load_percent: 80,
            callers: Self::CALLERS_PER_TARGET * system.targets(),
            domain_delay: system.domain_delay(),
            lost_per_mille: 0,
            report_period: ModelMicros::from_seconds(1),
            warm_up: ModelMicros::from_seconds(30),
            requests: Self::REQUESTS,
            absent: 0,
            faults: Vec::new(),
            retry: RetryHabit::Never,
        }
    }

    /// Sets the seed.
    pub(crate) fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the offered work in percent of all slots.
    pub(crate) fn with_load(mut self, percent: u32) -> Self {
        self.load_percent = percent;
        self
    }

    /// Sets the time of a message between failure domains.
    pub(crate) fn with_delay(mut self, delay: ModelMicros) -> Self {
        self.domain_delay = delay;
        self
    }

    /// Sets the share of lost messages.
    pub(crate) fn with_loss(mut self, per_mille: u32) -> Self {
        self.lost_per_mille = per_mille;
        self
    }

    /// Sets the time between two load reports.
    pub(crate) fn with_report_period(mut self, period: ModelMicros) -> Self {
        self.report_period = period;
        self
    }

    /// Sets the number of measured requests.
    pub(crate) fn with_requests(mut self, requests: u64) -> Self {
        self.requests = requests;
        self
    }

    /// Adds a fault at a time after the warm-up.
    pub(crate) fn with_fault(mut self, at: ModelMicros, kind: super::FaultKind) -> Self {
        let at = self.warm_up.after(at);
        self.faults.push(FaultEntry { at, kind });
        self
    }

    /// Lets `count` further targets be absent until they start.
    pub(crate) fn with_absent(mut self, count: usize) -> Self {
        self.absent = count;
        self
    }

    /// Sets what callers do after a refusal.
    pub(crate) fn with_retry(mut self, habit: RetryHabit) -> Self {
        self.retry = habit;
        self
    }

    /// Returns the targets that take part at some time.
    pub(crate) fn target_count(&self) -> usize {
        self.system.targets() + self.absent
    }
}
