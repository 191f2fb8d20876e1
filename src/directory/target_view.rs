use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::Ipv4Addr,
};

use super::{
    DirectoryUpdate, EvacuatedDomains, SetAsideChange, TargetRecord, TargetStatus,
    TargetWeightInfo, weight_table::WeightTable,
};
use crate::{
    clock::ClockMillis,
    flow::{KnownTargets, RankedTarget, ServiceTargets, TargetIncarnation, TargetRanking},
    listener::ServiceTag,
};

/// Weight of every target in the ranking of owner lookups, whatever its weight for
/// new flows. Flows were opened under weights that this balancer may not know any
/// more; equal weights are the closest to all of them, and all balancers have them.
const LOOKUP_WEIGHT: f64 = 1.0;

/// The targets that a balancer knows from the directory that it watches.
#[derive(Debug, Default)]
pub(crate) struct TargetView {
    records: BTreeMap<Ipv4Addr, TargetRecord>,
    /// The agents in the watched directory.
    listed: BTreeSet<Ipv4Addr>,
    complete: bool,
    weights: WeightTable,
    /// Whether the known targets changed since they were last taken.
    outdated: bool,
    evacuated: EvacuatedDomains,
}

impl TargetView {
    /// Returns the number of known targets.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the known targets.
    pub(crate) fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Returns the evacuated domains.
    pub(crate) fn evacuated(&self) -> &EvacuatedDomains {
        &self.evacuated
    }

    /// Applies an update of a directory; returns the records that changed in more
    /// than their attributes.
    ///
    /// Records that an unsettled directory does not list are kept, and so are those
    /// that are newer than what the directory lists. The evacuated domains with the
    /// highest revision are in force: a replica may be behind the one watched before.
    pub(crate) fn apply_update(&mut self, mut update: DirectoryUpdate) -> Vec<TargetRecord> {
        update.unmask();
        if update.evacuation.evacuated.revision > self.evacuated.revision {
            self.evacuated = update.evacuation.evacuated;
            self.outdated = true;
            self.weights.mark_outdated();
        }
        if update.full {
            self.listed.clear();
        }
        self.listed
            .extend(update.records.iter().map(|record| record.agent));
        let settles = update.settled && (update.full || !self.complete);
        self.outdated |= self.complete != update.settled;
        self.complete = update.settled;
        if settles {
            let count_before = self.records.len();
            self.records.retain(|agent, _| self.listed.contains(agent));
            if self.records.len() < count_before {
                self.outdated = true;
                self.weights.mark_outdated();
            }
        }
        let mut changed = Vec::new();
        for record in update.records {
            if !record.is_possible() {
                continue;
            }
            let old = self.records.get(&record.agent);
            if old.is_some_and(|old| record.is_older_than(old)) {
                continue;
            }
            if !old.is_some_and(|old| old.has_same_state(&record)) {
                self.weights.mark_outdated();
            }
            if !old.is_some_and(|old| old.has_same_status(&record)) {
                self.outdated = true;
                changed.push(record);
            }
            self.records.insert(record.agent, record);
        }
        changed
    }

    /// Returns when `update_weights` is to be called; `None` if the weights are
    /// current.
    pub(crate) fn weights_due_at(&self) -> Option<ClockMillis> {
        self.weights.due_at()
    }

    /// Computes the weights of the accepting targets if they are outdated and due;
    /// returns the targets that were set aside or taken back.
    pub(crate) fn update_weights(&mut self, now: ClockMillis) -> Vec<SetAsideChange> {
        if !self.weights.is_due(now) {
            return Vec::new();
        }
        let before = self.weights.set_aside().clone();
        let records = self.records.values();
        let accepting = records.filter(|record| !self.evacuated.masks(record));
        self.outdated |= self.weights.update(accepting, now);
        let after = self.weights.set_aside();
        let changed = before.symmetric_difference(after);
        changed
            .filter_map(|agent| self.records.get(agent))
            .filter(|record| self.weights.weight(record).is_some())
            .map(|record| SetAsideChange {
                agent: record.agent,
                service: record.service,
                failures: record.attributes.failures,
                set_aside: after.contains(&record.agent),
            })
            .collect()
    }

    /// Returns the accepting targets that are set aside.
    pub(crate) fn set_aside(&self) -> impl Iterator<Item = Ipv4Addr> {
        let agents = self.weights.set_aside().iter().copied();
        agents.filter(|agent| {
            let record = self.records.get(agent);
            record.is_some_and(|record| self.weights.weight(record).is_some())
        })
    }

    /// Returns the weights in force of the accepting targets.
    pub(crate) fn weight_infos(&self) -> impl Iterator<Item = TargetWeightInfo> {
        self.records.values().filter_map(|record| {
            let weight = self.weights.weight(record)?;
            Some(TargetWeightInfo {
                agent: record.agent,
                service: record.service,
                weight,
                set_aside: self.weights.set_aside().contains(&record.agent),
                speed: record.attributes.speed,
                failures: record.attributes.failures,
            })
        })
    }

    /// Returns the known targets if they changed since the last call.
    pub(crate) fn take_known_targets(&mut self) -> Option<KnownTargets> {
        std::mem::take(&mut self.outdated).then(|| self.known_targets())
    }

    /// Returns the known targets in the form that the balancer's decisions use.
    pub(crate) fn known_targets(&self) -> KnownTargets {
        KnownTargets {
            services: self.services(),
            incarnations: self.records.values().map(incarnation_of).collect(),
            complete: self.complete,
            any_evacuated: self
                .records
                .values()
                .any(|record| self.evacuated.masks(record)),
        }
    }

    /// Returns the rankings of the targets of every service.
    fn services(&self) -> HashMap<ServiceTag, ServiceTargets> {
        let mut services: HashMap<ServiceTag, ServiceTargets> = HashMap::new();
        let mut accepting: HashMap<ServiceTag, Vec<RankedTarget>> = HashMap::new();
        let mut possible_owners: HashMap<ServiceTag, Vec<RankedTarget>> = HashMap::new();
        for record in self.records.values() {
            let agent = record.agent;
            let weight = self.weights.weight(record);
            if let Some(weight) = weight.filter(|_| !self.evacuated.masks(record)) {
                let ranked = RankedTarget { agent, weight };
                accepting.entry(record.service).or_default().push(ranked);
            }
            if record.status == TargetStatus::Ended {
                services
                    .entry(record.service)
                    .or_default()
                    .ended
                    .push(agent);
            } else {
                let ranked = RankedTarget {
                    agent,
                    weight: LOOKUP_WEIGHT,
                };
                possible_owners
                    .entry(record.service)
                    .or_default()
                    .push(ranked);
            }
        }
        for (service, targets) in accepting {
            services.entry(service).or_default().accepting = TargetRanking::new(targets);
        }
        for (service, targets) in possible_owners {
            services.entry(service).or_default().possible_owners = TargetRanking::new(targets);
        }
        services
    }
}

fn incarnation_of(record: &TargetRecord) -> (Ipv4Addr, TargetIncarnation) {
    let incarnation = TargetIncarnation {
        id: record.incarnation,
        ended: record.status == TargetStatus::Ended,
        silent: record.status == TargetStatus::Silent,
    };
    (record.agent, incarnation)
}
