use std::{collections::HashMap, net::Ipv4Addr};

use crate::clock::{ClockMillis, SpanMillis};

/// How long an agent counts as running after it was last heard of.
const HEARD_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// When agents last showed that they run: by a report, or by passing a packet on to an
/// agent that reported.
#[derive(Debug, Default)]
pub(crate) struct HeardAgents {
    heard_at: HashMap<Ipv4Addr, ClockMillis>,
}

impl HeardAgents {
    /// Records that an agent ran at `heard_at`.
    pub(crate) fn note(&mut self, agent: Ipv4Addr, heard_at: ClockMillis) {
        let latest = self.heard_at.entry(agent).or_insert(heard_at);
        *latest = (*latest).max(heard_at);
    }

    /// Returns whether an agent was heard of just now.
    pub(crate) fn contains(&self, agent: Ipv4Addr, now: ClockMillis) -> bool {
        self.heard_at
            .get(&agent)
            .is_some_and(|heard_at| now.since(*heard_at) < HEARD_MILLIS)
    }

    /// Drops the agents that were not heard of for a while.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        self.heard_at
            .retain(|_, heard_at| now.since(*heard_at) < HEARD_MILLIS);
    }
}
