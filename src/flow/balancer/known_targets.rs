use std::{collections::HashMap, net::Ipv4Addr};

use super::TargetRanking;
use crate::{key::IncarnationId, listener::ServiceTag};

/// The targets of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceTargets {
    /// Targets that accept new flows.
    pub(crate) accepting: TargetRanking,
    /// Targets that may hold open flows.
    pub(crate) possible_owners: TargetRanking,
    /// Agents whose target has ended. It may run again and hold flows that other
    /// balancers opened, before this balancer hears of it.
    pub(crate) ended: Vec<Ipv4Addr>,
}

/// The last known incarnation of the target next to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TargetIncarnation {
    /// Its id, if the target has announced itself.
    pub(crate) id: Option<IncarnationId>,
    /// Whether it has ended and holds no flows.
    pub(crate) ended: bool,
    /// Whether it or its agent has not answered for a while.
    pub(crate) silent: bool,
}

/// All targets that a balancer knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct KnownTargets {
    /// The targets by service.
    pub(crate) services: HashMap<ServiceTag, ServiceTargets>,
    /// The incarnation of each target, by agent.
    pub(crate) incarnations: HashMap<Ipv4Addr, TargetIncarnation>,
    /// Whether every running target is included.
    pub(crate) complete: bool,
    /// Whether a target gets no new flows only because its domain is evacuated.
    pub(crate) any_evacuated: bool,
}

impl KnownTargets {
    /// Returns whether the incarnation of a target that held a flow has ended.
    pub(crate) fn has_ended(&self, agent: Ipv4Addr, incarnation: Option<IncarnationId>) -> bool {
        let current = self.incarnations.get(&agent);
        incarnation.is_some()
            && current.is_some_and(|current| current.ended && current.id == incarnation)
    }

    /// Returns how many targets of `services` may hold open flows.
    pub(crate) fn count_possible_owners(&self, services: &[ServiceTag]) -> usize {
        let targets = services
            .iter()
            .filter_map(|service| self.services.get(service));
        targets.map(|targets| targets.possible_owners.len()).sum()
    }

    /// Returns whether an agent or its target has not answered for a while.
    pub(crate) fn is_silent(&self, agent: Ipv4Addr) -> bool {
        self.incarnations
            .get(&agent)
            .is_some_and(|incarnation| incarnation.silent)
    }

    /// Returns whether an agent's target has restarted since it was reported as
    /// `incarnation`. A flow reported then may be on either incarnation, since the
    /// agent may not have known the newer one yet.
    pub(crate) fn has_restarted(
        &self,
        agent: Ipv4Addr,
        incarnation: Option<IncarnationId>,
    ) -> bool {
        let current = self.incarnations.get(&agent).and_then(|current| current.id);
        current.is_some() && incarnation.is_some() && current != incarnation
    }
}
