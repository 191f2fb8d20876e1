use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::Ipv4Addr,
};

use super::{DirectoryUpdate, EvacuatedDomains, TargetRecord, TargetStatus};
use crate::{
    flow::{KnownTargets, RankedTarget, ServiceTargets, TargetIncarnation, TargetRanking},
    listener::ServiceTag,
};

/// Weight of a target that has just started, relative to a warm one: cold targets
/// run at about half their speed.
const WARMING_WEIGHT: f64 = 0.5;

/// The targets that a balancer knows from the directory that it watches.
#[derive(Debug, Default)]
pub(crate) struct TargetView {
    records: BTreeMap<Ipv4Addr, TargetRecord>,
    /// The agents in the watched directory.
    listed: BTreeSet<Ipv4Addr>,
    complete: bool,
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

    /// Applies an update of a directory; returns the records that changed.
    ///
    /// Records that an unsettled directory does not list are kept, and so are those
    /// that are newer than what the directory lists. The evacuated domains with the
    /// highest revision are in force: a replica may be behind the one watched before.
    pub(crate) fn apply_update(&mut self, mut update: DirectoryUpdate) -> Vec<TargetRecord> {
        update.unmask();
        if update.evacuation.evacuated.revision > self.evacuated.revision {
            self.evacuated = update.evacuation.evacuated;
        }
        if update.full {
            self.listed.clear();
        }
        self.listed
            .extend(update.records.iter().map(|record| record.agent));
        let settles = update.settled && (update.full || !self.complete);
        self.complete = update.settled;
        if settles {
            self.records.retain(|agent, _| self.listed.contains(agent));
        }
        let mut changed = Vec::new();
        for record in update.records {
            let old = self.records.get(&record.agent);
            if old.is_some_and(|old| record.is_older_than(old)) {
                continue;
            }
            if !old.is_some_and(|old| old.has_same_state(&record)) {
                changed.push(record);
            }
            self.records.insert(record.agent, record);
        }
        changed
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
        let mut accepting: HashMap<ServiceTag, Vec<RankedTarget>> = HashMap::new();
        let mut possible_owners: HashMap<ServiceTag, Vec<RankedTarget>> = HashMap::new();
        for record in self.records.values() {
            let weight = match record.status {
                _ if self.evacuated.masks(record) => None,
                TargetStatus::Warming => Some(WARMING_WEIGHT),
                TargetStatus::Serving => Some(1.0),
                TargetStatus::Leaving | TargetStatus::Silent | TargetStatus::Ended => None,
            };
            let agent = record.agent;
            if let Some(weight) = weight {
                let ranked = RankedTarget { agent, weight };
                accepting.entry(record.service).or_default().push(ranked);
            }
            if record.status != TargetStatus::Ended {
                let ranked = RankedTarget { agent, weight: 1.0 };
                possible_owners
                    .entry(record.service)
                    .or_default()
                    .push(ranked);
            }
        }
        let mut services: HashMap<ServiceTag, ServiceTargets> = HashMap::new();
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
    };
    (record.agent, incarnation)
}
