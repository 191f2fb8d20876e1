use std::{
    collections::{HashMap, hash_map::Entry},
    net::Ipv4Addr,
};

use super::FlowKey;
use crate::{
    clock::{ClockMillis, SpanMillis},
    key::IncarnationId,
};

/// The most flows that a balancer remembers; beyond, unused ones are dropped.
const MAX_FLOWS: usize = 65_536;

/// Who holds a flow, as far as a balancer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FlowOwner {
    /// The agent beside the flow's target.
    pub(crate) agent: Ipv4Addr,
    /// Whether that agent has said so.
    pub(crate) confirmed: bool,
    /// The start of the target that holds the flow, if the agent knew it.
    pub(crate) target: Option<IncarnationId>,
    /// When a packet of the flow was last seen.
    pub(crate) used_at: ClockMillis,
}

/// Remembers the owners of flows to save hops; it may be lost at any time.
#[derive(Debug)]
pub(crate) struct OwnerCache {
    owners: HashMap<FlowKey, FlowOwner>,
    idle: SpanMillis,
}

impl OwnerCache {
    /// Creates a cache that forgets flows without a packet for `idle`.
    pub(crate) fn new(idle: SpanMillis) -> Self {
        Self {
            owners: HashMap::new(),
            idle,
        }
    }

    /// Returns the owner of a flow and notes that it is in use.
    pub(crate) fn find(&mut self, flow: FlowKey, now: ClockMillis) -> Option<FlowOwner> {
        let owner = self.owners.get_mut(&flow)?;
        owner.used_at = now;
        Some(*owner)
    }

    /// Returns the owner of a flow without noting a use.
    pub(crate) fn peek(&self, flow: FlowKey) -> Option<&FlowOwner> {
        self.owners.get(&flow)
    }

    /// Notes where a flow was sent; a confirmed owner stays.
    pub(crate) fn assume(&mut self, flow: FlowKey, agent: Ipv4Addr, now: ClockMillis) {
        self.make_room(now);
        let assumed = FlowOwner {
            agent,
            confirmed: false,
            target: None,
            used_at: now,
        };
        match self.owners.entry(flow) {
            Entry::Occupied(mut entry) if !entry.get().confirmed => {
                entry.insert(assumed);
            }
            Entry::Occupied(_) => {}
            Entry::Vacant(entry) => {
                entry.insert(assumed);
            }
        }
    }

    /// Notes that an agent holds a flow.
    pub(crate) fn confirm(
        &mut self,
        flow: FlowKey,
        agent: Ipv4Addr,
        target: Option<IncarnationId>,
        now: ClockMillis,
    ) {
        self.make_room(now);
        let owner = FlowOwner {
            agent,
            confirmed: true,
            target,
            used_at: now,
        };
        self.owners.insert(flow, owner);
    }

    /// Forgets a flow unless another agent than `agent` has said that it holds it.
    pub(crate) fn doubt(&mut self, flow: FlowKey, agent: Ipv4Addr) {
        let stays = |owner: &FlowOwner| owner.confirmed && owner.agent != agent;
        if !self.owners.get(&flow).is_some_and(stays) {
            self.owners.remove(&flow);
        }
    }

    /// Forgets a flow.
    pub(crate) fn forget(&mut self, flow: FlowKey) {
        self.owners.remove(&flow);
    }

    /// Forgets the flows that are idle.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        let idle = self.idle;
        self.owners
            .retain(|_, owner| now.since(owner.used_at) < idle);
    }

    /// Returns the number of flows.
    pub(crate) fn len(&self) -> usize {
        self.owners.len()
    }

    fn make_room(&mut self, now: ClockMillis) {
        if self.owners.len() < MAX_FLOWS {
            return;
        }
        self.sweep(now);
        if self.owners.len() >= MAX_FLOWS {
            // Any flow can be found again by the ranking.
            self.owners.clear();
        }
    }
}
