use serde::Serialize;

use super::{AcceptRule, FaultEntry, FaultKind, ModelMicros, RelayRule, SystemProfile, WorkClass};
use crate::agent::slot::SlotLimits;

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
    /// How long a slot is held for a granted claim.
    pub(crate) hold: ModelMicros,
    /// The time between two load reports of a target.
    pub(crate) report_period: ModelMicros,
    /// The time before the measures count.
    pub(crate) warm_up: ModelMicros,
    /// The requests that are measured.
    pub(crate) requests: u64,
    /// Targets that exist in the model but join only by a cold start.
    pub(crate) absent: usize,
    /// The mean work of bulk requests, if not the usual one.
    pub(crate) bulk_work: Option<ModelMicros>,
    /// The slots of a target that bulk requests leave free.
    pub(crate) reserve: u16,
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
        /// Whether a caller that resends withdraws what it sent before.
        cancels: bool,
        /// Whether a request tells for how long its caller waits.
        tells_deadline: bool,
    },
}

impl RunSetup {
    /// The callers that each target has on average.
    const CALLERS_PER_TARGET: usize = 200;
    /// Requests that wait at one target at most.
    pub(crate) const QUEUE: u16 = 64;
    /// The time after the last fault in which the system should settle.
    const SETTLE: ModelMicros = ModelMicros::from_seconds(60);
    /// The share of retries that stands for no limit.
    pub(crate) const NO_BUDGET: u8 = u8::MAX;
    /// The deadline of a request that brings none.
    const DEADLINE: ModelMicros = ModelMicros::from_seconds(10);
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
            hold: ModelMicros::from_millis(20),
            report_period: ModelMicros::from_seconds(1),
            warm_up: ModelMicros::from_seconds(30),
            requests: Self::REQUESTS,
            absent: 0,
            bulk_work: None,
            reserve: system.reserve(),
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

    /// Sets how long a slot is held for a granted claim.
    pub(crate) fn with_hold(mut self, hold: ModelMicros) -> Self {
        self.hold = hold;
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
    pub(crate) fn with_fault(mut self, at: ModelMicros, kind: FaultKind) -> Self {
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

    /// Sets the slots of a target that bulk requests leave free.
    pub(crate) fn with_reserve(mut self, reserve: u16) -> Self {
        self.reserve = reserve;
        self
    }

    /// Sets the mean work of bulk requests.
    pub(crate) fn with_bulk_work(mut self, work: ModelMicros) -> Self {
        self.bulk_work = Some(work);
        self
    }

    /// Returns the kinds of request.
    pub(crate) fn classes(&self) -> [WorkClass; 3] {
        let mut classes = self.system.classes();
        if let Some(work) = self.bulk_work {
            classes[2].mean_work = work;
        }
        classes
    }

    /// Returns the mean time in a slot over all kinds.
    pub(crate) fn mean_work(&self) -> ModelMicros {
        let classes = self.classes();
        let weighed = |class: &WorkClass| u64::from(class.percent) * class.mean_work.micros();
        let micros: u64 = classes.iter().map(weighed).sum();
        ModelMicros::new(micros / 100)
    }

    /// Returns when the last fault should be over, if there are faults.
    pub(crate) fn settled_at(&self) -> Option<ModelMicros> {
        let last = self.faults.iter().map(|fault| fault.at).max()?;
        Some(last.after(Self::SETTLE))
    }

    /// Returns the retries that a target admits per hundred first sends.
    pub(crate) const fn retry_percent(&self) -> u8 {
        match self.retry {
            RetryHabit::AtOnce {
                budget_percent: Some(percent),
                ..
            } => percent,
            RetryHabit::AtOnce { .. } | RetryHabit::Never => Self::NO_BUDGET,
        }
    }

    /// Returns how long after its arrival a request is of use to its caller.
    pub(crate) const fn deadline(&self) -> ModelMicros {
        match self.retry {
            RetryHabit::AtOnce {
                patience,
                tells_deadline: true,
                ..
            } => patience,
            RetryHabit::AtOnce { .. } | RetryHabit::Never => Self::DEADLINE,
        }
    }

    /// Returns the limits of each target's slots.
    pub(crate) fn limits(&self) -> SlotLimits {
        let is_central = self.relay == RelayRule::CentralQueue;
        SlotLimits {
            slots: SystemProfile::SLOTS as u16,
            queue: Self::QUEUE,
            reserve: if is_central { 0 } else { self.reserve },
        }
    }

    /// Returns the targets that take part at some time.
    pub(crate) fn target_count(&self) -> usize {
        self.system.targets() + self.absent
    }
}
