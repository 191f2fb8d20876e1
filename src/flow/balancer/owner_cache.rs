use std::{
    collections::{HashMap, hash_map::Entry},
    net::Ipv4Addr,
};

use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::FlowKey,
    key::IncarnationId,
};

/// Maximum number of cached flows; a full cache first drops idle flows, then all.
const MAX_OWNERS: usize = 65_536;

/// The owner of a flow as known to a balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FlowOwner {
    /// The agent next to the flow's target.
    pub(crate) agent: Ipv4Addr,
    /// Whether that agent reported that it holds the flow.
    pub(crate) confirmed: bool,
    /// The incarnation of the target, if the agent knew it.
    pub(crate) incarnation: Option<IncarnationId>,
    pub(crate) last_packet_at: ClockMillis,
}

/// Cache of flow owners. It only saves hops: any entry may be lost at any time.
#[derive(Debug)]
pub(crate) struct OwnerCache {
    owners: HashMap<FlowKey, FlowOwner>,
    idle_timeout: SpanMillis,
}

impl OwnerCache {
    /// Creates a cache that drops flows without a packet for `idle_timeout`.
    pub(crate) fn new(idle_timeout: SpanMillis) -> Self {
        Self {
            owners: HashMap::new(),
            idle_timeout,
        }
    }

    /// Returns the owner of a flow and marks the flow as used.
    pub(crate) fn get(&mut self, flow: FlowKey, now: ClockMillis) -> Option<FlowOwner> {
        let owner = self.owners.get_mut(&flow)?;
        owner.last_packet_at = now;
        Some(*owner)
    }

    /// Returns the owner of a flow without marking the flow as used.
    pub(crate) fn peek(&self, flow: FlowKey) -> Option<&FlowOwner> {
        self.owners.get(&flow)
    }

    /// Records where a flow was sent, unless its owner is confirmed.
    pub(crate) fn assume(&mut self, flow: FlowKey, agent: Ipv4Addr, now: ClockMillis) {
        self.evict_if_full(now);
        let assumed = FlowOwner {
            agent,
            confirmed: false,
            incarnation: None,
            last_packet_at: now,
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

    /// Records that an agent reported to hold a flow.
    pub(crate) fn confirm(
        &mut self,
        flow: FlowKey,
        agent: Ipv4Addr,
        incarnation: Option<IncarnationId>,
        now: ClockMillis,
    ) {
        self.evict_if_full(now);
        let owner = FlowOwner {
            agent,
            confirmed: true,
            incarnation,
            last_packet_at: now,
        };
        self.owners.insert(flow, owner);
    }

    /// Removes a flow that `agent` does not hold, unless another agent is its
    /// confirmed owner.
    pub(crate) fn invalidate(&mut self, flow: FlowKey, agent: Ipv4Addr) {
        let is_held_elsewhere = |owner: &FlowOwner| owner.confirmed && owner.agent != agent;
        if !self.owners.get(&flow).is_some_and(is_held_elsewhere) {
            self.owners.remove(&flow);
        }
    }

    /// Removes a flow.
    pub(crate) fn remove(&mut self, flow: FlowKey) {
        self.owners.remove(&flow);
    }

    /// Drops idle flows.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        let idle_timeout = self.idle_timeout;
        self.owners
            .retain(|_, owner| now.since(owner.last_packet_at) < idle_timeout);
    }

    /// Returns the number of flows.
    pub(crate) fn len(&self) -> usize {
        self.owners.len()
    }

    fn evict_if_full(&mut self, now: ClockMillis) {
        if self.owners.len() < MAX_OWNERS {
            return;
        }
        self.sweep(now);
        if self.owners.len() >= MAX_OWNERS {
            // A lookup finds any flow again by its ranking.
            self.owners.clear();
        }
    }
}
