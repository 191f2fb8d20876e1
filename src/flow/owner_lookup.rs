use std::{collections::HashMap, net::Ipv4Addr};

use super::{FlowKey, FlowReset};
use crate::clock::{ClockMillis, SpanMillis};

/// Maximum number of concurrent lookups; further ones are not recorded.
const MAX_LOOKUPS: usize = 4_096;
/// How long a lookup waits for the last agent's report; the caller retransmits
/// its packet after 200 ms, which starts a new lookup.
const LOOKUP_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(500);

/// The search for the owner of a flow, with the packet that started it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnerLookup {
    /// The packet as the caller sent it.
    pub(crate) packet: Vec<u8>,
    /// The reset that ends the flow if no target holds it.
    pub(crate) reset: FlowReset,
    /// The agents of all rounds so far.
    pub(crate) asked_agents: Vec<Ipv4Addr>,
    /// The last agent of each chain of the current round; it reports if no agent of
    /// its chain holds the flow.
    pub(crate) awaited_agents: Vec<Ipv4Addr>,
    /// Identifies the current round.
    pub(crate) lookup_id: u32,
    /// When the current round was sent.
    pub(crate) sent_at: ClockMillis,
}

/// Owner lookups in progress, by flow.
#[derive(Debug, Default)]
pub(crate) struct PendingLookups {
    lookups: HashMap<FlowKey, OwnerLookup>,
}

impl PendingLookups {
    /// Adds or updates a lookup.
    pub(crate) fn insert(&mut self, flow: FlowKey, lookup: OwnerLookup) {
        if self.lookups.len() < MAX_LOOKUPS || self.lookups.contains_key(&flow) {
            self.lookups.insert(flow, lookup);
        }
    }

    /// Records that no agent of the chain that ends at `agent` holds the flow.
    ///
    /// Removes and returns the lookup once all chains of its current round have
    /// reported. A late report on an earlier round says nothing about the agents
    /// asked since.
    pub(crate) fn end_chain(
        &mut self,
        flow: FlowKey,
        agent: Ipv4Addr,
        lookup_id: u32,
    ) -> Option<OwnerLookup> {
        let lookup = self.lookups.get_mut(&flow)?;
        if lookup.lookup_id != lookup_id {
            return None;
        }
        let position = lookup
            .awaited_agents
            .iter()
            .position(|awaited| *awaited == agent)?;
        lookup.awaited_agents.swap_remove(position);
        if !lookup.awaited_agents.is_empty() {
            return None;
        }
        self.lookups.remove(&flow)
    }

    /// Removes the lookup of a flow.
    pub(crate) fn remove(&mut self, flow: FlowKey) {
        self.lookups.remove(&flow);
    }

    /// Drops the lookups whose last agent did not report in time.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        self.lookups
            .retain(|_, lookup| now.since(lookup.sent_at) < LOOKUP_TIMEOUT_MILLIS);
    }
}
