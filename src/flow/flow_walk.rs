use std::{collections::HashMap, net::Ipv4Addr};

use super::{FlowKey, FlowReset};
use crate::clock::{ClockMillis, SpanMillis};

/// The most flows that are looked for at a time.
const MAX_WALKS: usize = 4_096;
/// How long a walk waits for the last agent's word; the caller repeats its
/// packet after 200 ms and so starts another one.
const WALK_MILLIS: SpanMillis = SpanMillis::new(500);

/// A packet whose owner is looked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FlowWalk {
    /// The packet as the caller sent it.
    pub(crate) packet: Vec<u8>,
    /// The reset that ends the flow if nobody holds it.
    pub(crate) reset: FlowReset,
    /// The agents that were asked; the last one reports if none of them holds
    /// the flow.
    pub(crate) asked: Vec<Ipv4Addr>,
    /// Names this round of asking.
    pub(crate) number: u32,
    /// When the agents were asked.
    pub(crate) asked_at: ClockMillis,
}

/// The flows whose owners are looked for.
#[derive(Debug, Default)]
pub(crate) struct WalkTable {
    walks: HashMap<FlowKey, FlowWalk>,
}

impl WalkTable {
    /// Starts or continues a walk.
    pub(crate) fn insert(&mut self, flow: FlowKey, walk: FlowWalk) {
        if self.walks.len() < MAX_WALKS || self.walks.contains_key(&flow) {
            self.walks.insert(flow, walk);
        }
    }

    /// Takes the walk if its round `number` ended at `agent`; a word on an earlier
    /// round says nothing of those asked since.
    pub(crate) fn take(&mut self, flow: FlowKey, agent: Ipv4Addr, number: u32) -> Option<FlowWalk> {
        let walk = self.walks.get(&flow)?;
        if walk.number != number || walk.asked.last() != Some(&agent) {
            return None;
        }
        self.walks.remove(&flow)
    }

    /// Ends the walk of a flow that was found.
    pub(crate) fn end(&mut self, flow: FlowKey) {
        self.walks.remove(&flow);
    }

    /// Drops the walks whose last agent did not report.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        self.walks
            .retain(|_, walk| now.since(walk.asked_at) < WALK_MILLIS);
    }
}
