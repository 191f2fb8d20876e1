use std::{collections::HashMap, net::Ipv4Addr};

use super::TargetRanking;
use crate::{key::IncarnationId, listener::ServiceTag};

/// The targets of a service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceTargets {
    /// Those that take new flows.
    pub(crate) open: TargetRanking,
    /// Those that may hold flows.
    pub(crate) hold: TargetRanking,
}

/// The start of the target beside an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TargetStart {
    /// Which start it is, if the target has announced itself.
    pub(crate) target: Option<IncarnationId>,
    /// Whether the target has ended and holds nothing.
    pub(crate) ended: bool,
}

/// What a balancer knows of all targets.
#[derive(Debug, Clone, Default)]
pub(crate) struct KnownTargets {
    /// The targets by service.
    pub(crate) services: HashMap<ServiceTag, ServiceTargets>,
    /// The start of each target, by agent.
    pub(crate) starts: HashMap<Ipv4Addr, TargetStart>,
    /// Whether no running target is missing.
    pub(crate) complete: bool,
}

impl KnownTargets {
    /// Returns whether the start of a target that held a flow has ended.
    pub(crate) fn has_ended(&self, agent: Ipv4Addr, target: Option<IncarnationId>) -> bool {
        let start = self.starts.get(&agent);
        target.is_some() && start.is_some_and(|start| start.ended && start.target == target)
    }

    /// Returns whether an agent's target has started again since it was reported
    /// as `target`. A flow of that time may be on either start: the agent may
    /// have reported it before it heard of the newer one.
    pub(crate) fn has_restarted(&self, agent: Ipv4Addr, target: Option<IncarnationId>) -> bool {
        let current = self.starts.get(&agent).and_then(|start| start.target);
        current.is_some() && target.is_some() && current != target
    }
}
