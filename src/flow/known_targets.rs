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
    /// Returns whether the target that held a flow is known to be gone.
    pub(crate) fn is_gone(&self, agent: Ipv4Addr, target: Option<IncarnationId>) -> bool {
        let (Some(start), Some(target)) = (self.starts.get(&agent), target) else {
            return false;
        };
        match start.target {
            Some(current) if current == target => start.ended,
            Some(_) => true,
            None => false,
        }
    }
}
