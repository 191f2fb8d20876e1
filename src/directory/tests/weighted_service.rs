//! A service as a balancer sees it, whose figures the tests set.

use std::net::Ipv4Addr;

use crate::{
    clock::{ClockMillis, SpanMillis},
    directory::{
        DirectoryPosition, DirectoryUpdate, EvacuationUpdate, SetAsideChange, TargetRecord,
        TargetStatus, TargetView,
    },
    flow::ServiceTargets,
    listener::ServiceTag,
};

/// Longer than the least time between two computations of the weights.
pub(super) const NEXT_COMPUTATION_MILLIS: SpanMillis = SpanMillis::new(300);
/// The speed of a usual target with two slots and 26 ms a request, in tenths.
pub(super) const USUAL_SPEED: u32 = 769;

/// One service, with the view of a balancer that watches it.
pub(super) struct WeightedService {
    pub(super) records: Vec<TargetRecord>,
    pub(super) view: TargetView,
    pub(super) now: ClockMillis,
}

impl WeightedService {
    /// Creates a service of serving targets without figures.
    pub(super) fn new(targets: u8) -> Self {
        let records = (0..targets).map(|number| super::record(number, 1, TargetStatus::Serving));
        Self {
            records: records.collect(),
            view: TargetView::default(),
            now: super::START,
        }
    }

    /// Creates a service whose targets are measured at `ratios` of the usual speed.
    pub(super) fn with_ratios(ratios: &[f64]) -> Self {
        let mut service = Self::new(u8::try_from(ratios.len()).unwrap());
        service.set_ratios(ratios);
        service
    }

    pub(super) fn set_ratios(&mut self, ratios: &[f64]) {
        for (record, ratio) in self.records.iter_mut().zip(ratios) {
            record.attributes.speed = speed(*ratio);
        }
    }

    pub(super) fn set_failures(&mut self, failures: &[u16]) {
        for (record, failures) in self.records.iter_mut().zip(failures) {
            record.attributes.failures = *failures;
        }
    }

    /// Sends the records to the balancer, which may compute its weights again.
    pub(super) fn announce(&mut self) -> Vec<SetAsideChange> {
        self.now = self.now.after(NEXT_COMPUTATION_MILLIS);
        self.announce_now()
    }

    /// Sends the records to the balancer without letting time pass.
    pub(super) fn announce_now(&mut self) -> Vec<SetAsideChange> {
        for record in &mut self.records {
            record.sequence += 1;
        }
        self.view.apply_update(DirectoryUpdate {
            evacuation: EvacuationUpdate::default(),
            position: DirectoryPosition::default(),
            full: true,
            settled: true,
            records: self.records.clone(),
        });
        self.view.update_weights(self.now)
    }

    /// Returns the weights in force of the accepting targets, by address.
    pub(super) fn weights(&self) -> Vec<f64> {
        self.view.weight_infos().map(|info| info.weight).collect()
    }

    /// Returns the numbers of the targets that are set aside.
    pub(super) fn set_aside(&self) -> Vec<u8> {
        let agents = self.view.set_aside();
        agents.map(|agent| agent.octets()[3]).collect()
    }

    /// Returns the rankings that the balancer uses.
    pub(super) fn rankings(&self) -> ServiceTargets {
        let known = self.view.known_targets();
        known.services[&ServiceTag::of("tavole")].clone()
    }
}

/// Returns a measured speed as agents announce it.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small positive figures"
)]
pub(super) fn speed(ratio: f64) -> u32 {
    (f64::from(USUAL_SPEED) * ratio).round() as u32
}

/// Returns the number of a target from the address of its agent.
pub(super) fn number_of(agent: Ipv4Addr) -> usize {
    usize::from(agent.octets()[3])
}
