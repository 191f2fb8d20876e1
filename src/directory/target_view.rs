use std::{
    collections::{BTreeMap, HashMap},
    net::Ipv4Addr,
};

use super::{DirectoryNews, TargetRecord, TargetStanding};
use crate::{
    flow::{KnownTargets, RankedTarget, ServiceTargets, TargetRanking, TargetStart},
    listener::ServiceTag,
};

/// The share of a target that has just started, relative to a warm one: cold
/// targets work at about half their speed.
const WARMING_WEIGHT: f64 = 0.5;

/// The targets that a balancer knows, from the directory that it follows.
#[derive(Debug, Default)]
pub(crate) struct TargetView {
    records: BTreeMap<Ipv4Addr, TargetRecord>,
    complete: bool,
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

    /// Takes news of a directory and returns the records that changed.
    ///
    /// What a directory that has just started does not list is kept.
    pub(crate) fn take_news(&mut self, news: DirectoryNews) -> Vec<TargetRecord> {
        let mut changed = Vec::new();
        self.complete = news.settled;
        if news.whole && news.settled {
            let listed =
                |agent: &Ipv4Addr| news.records.iter().any(|record| record.agent == *agent);
            self.records.retain(|agent, _| listed(agent));
        }
        for record in news.records {
            let old = self.records.insert(record.agent, record);
            if !old.is_some_and(|old| old.is_like(&record)) {
                changed.push(record);
            }
        }
        changed
    }

    /// Returns all that is known of the targets, for the balancer's decisions.
    pub(crate) fn known_targets(&self) -> KnownTargets {
        KnownTargets {
            services: self.services(),
            starts: self.records.values().map(start_of).collect(),
            complete: self.complete,
        }
    }

    /// Returns the targets of every service, ready to be ranked.
    fn services(&self) -> HashMap<ServiceTag, ServiceTargets> {
        let mut open: HashMap<ServiceTag, Vec<RankedTarget>> = HashMap::new();
        let mut hold: HashMap<ServiceTag, Vec<RankedTarget>> = HashMap::new();
        for record in self.records.values() {
            let weight = match record.standing {
                TargetStanding::Warming => Some(WARMING_WEIGHT),
                TargetStanding::Serving => Some(1.0),
                TargetStanding::Leaving | TargetStanding::Silent | TargetStanding::Ended => None,
            };
            let agent = record.agent;
            if let Some(weight) = weight {
                let ranked = RankedTarget { agent, weight };
                open.entry(record.service).or_default().push(ranked);
            }
            if record.standing != TargetStanding::Ended {
                let ranked = RankedTarget { agent, weight: 1.0 };
                hold.entry(record.service).or_default().push(ranked);
            }
        }
        let mut services: HashMap<ServiceTag, ServiceTargets> = HashMap::new();
        for (service, targets) in open {
            services.entry(service).or_default().open = TargetRanking::new(targets);
        }
        for (service, targets) in hold {
            services.entry(service).or_default().hold = TargetRanking::new(targets);
        }
        services
    }
}

fn start_of(record: &TargetRecord) -> (Ipv4Addr, TargetStart) {
    let start = TargetStart {
        target: record.target,
        ended: record.standing == TargetStanding::Ended,
    };
    (record.agent, start)
}
