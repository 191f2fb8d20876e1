use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::Ipv4Addr,
};

use super::{TargetRecord, service_weights::ServiceWeights, target_weight::TargetWeight};
use crate::{
    clock::{ClockMillis, SpanMillis},
    listener::ServiceTag,
};

/// The least time between two computations of the weights: a service of 10,000
/// targets changes some figure with every update.
const WEIGHT_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(250);

/// The weights in force at a balancer.
#[derive(Debug, Default)]
pub(super) struct WeightTable {
    /// The weights of the targets that are not weighted by their status.
    in_force: HashMap<Ipv4Addr, TargetWeight>,
    /// The targets among them that are set aside.
    set_aside: BTreeSet<Ipv4Addr>,
    /// Whether records changed since the last computation.
    outdated: bool,
    /// When weights may be computed again.
    due_at: ClockMillis,
}

impl WeightTable {
    /// Marks the weights as outdated by a change of records.
    pub(super) fn mark_outdated(&mut self) {
        self.outdated = true;
    }

    /// Returns when outdated weights are to be computed; `None` if they are current.
    pub(super) fn due_at(&self) -> Option<ClockMillis> {
        self.outdated.then_some(self.due_at)
    }

    /// Returns the weight in force of a target; `None` if it accepts no new flows.
    pub(super) fn weight(&self, record: &TargetRecord) -> Option<f64> {
        let weight = self.in_force.get(&record.agent);
        weight.copied().unwrap_or_default().of(record)
    }

    /// Returns the targets that are set aside. One that stopped accepting flows is
    /// among them until the next computation.
    pub(super) fn set_aside(&self) -> &BTreeSet<Ipv4Addr> {
        &self.set_aside
    }

    /// Returns whether outdated weights may be computed now.
    pub(super) fn is_due(&self, now: ClockMillis) -> bool {
        self.due_at().is_some_and(|due_at| due_at <= now)
    }

    /// Computes the weights of the accepting targets among `records`; returns whether
    /// any weight changed.
    pub(super) fn update<'a>(
        &mut self,
        records: impl Iterator<Item = &'a TargetRecord>,
        now: ClockMillis,
    ) -> bool {
        self.outdated = false;
        self.due_at = now.after(WEIGHT_INTERVAL_MILLIS);
        let mut accepting: BTreeMap<ServiceTag, Vec<&TargetRecord>> = BTreeMap::new();
        for record in records {
            if self.weight(record).is_some() {
                accepting.entry(record.service).or_default().push(record);
            }
        }
        let next: HashMap<Ipv4Addr, TargetWeight> = accepting
            .values()
            .flat_map(|targets| ServiceWeights::new(targets, &self.in_force).next_weights())
            .collect();
        let changed = next != self.in_force;
        self.in_force = next;
        self.set_aside = self
            .in_force
            .iter()
            .filter(|(_, weight)| **weight == TargetWeight::SetAside)
            .map(|(agent, _)| *agent)
            .collect();
        changed
    }
}
