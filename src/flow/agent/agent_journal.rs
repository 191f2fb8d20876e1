//! Which flows an agent tells the control replicas, so that these can reset them after
//! a loss of the agent and its target.

use super::{AgentFlows, tracked_flow::TrackedFlow};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{LongFlow, LongFlowList},
};

/// How long a flow must have been in use. A target that has restarted announces itself
/// within its heartbeat and the second that it waits for an answer, so a longer flow is
/// not on an incarnation that the agent does not know yet.
const LONG_FLOW_MILLIS: SpanMillis = SpanMillis::new(3_000);
/// How long after its last packet a flow is no longer told: it may have been closed.
const IDLE_MILLIS: SpanMillis = SpanMillis::new(15_000);
/// How often a flow is told again, so that replicas may drop those that are not.
const RETELL_MILLIS: SpanMillis = SpanMillis::new(8_000);
/// How many bytes a caller may acknowledge before its flow is told again: half of the
/// distance at which callers ignore a reset.
const RETELL_BYTES: u32 = 38_400;
/// Maximum number of flows told at a time, which bounds the agent's traffic to a
/// replica to about 2.5 kB a second.
const MAX_TOLD_FLOWS: usize = 64;

impl AgentFlows {
    /// Returns long flows that are new or have changed since they were last told, `None`
    /// if there are none or the target has not announced itself.
    pub(crate) fn take_changed_long_flows(&mut self, now: ClockMillis) -> Option<LongFlowList> {
        let incarnation = self.incarnation?;
        let due = self
            .tracked
            .iter_mut()
            .filter(|(_, tracked)| is_long(tracked, now) && is_changed(tracked, now));
        let mut flows = Vec::new();
        for (flow, tracked) in due.take(MAX_TOLD_FLOWS) {
            tracked.told = Some((now, tracked.acknowledged));
            flows.push(LongFlow {
                flow: *flow,
                acknowledged: tracked.acknowledged,
            });
        }
        (!flows.is_empty()).then_some(LongFlowList {
            agent: self.own_address,
            incarnation,
            flows,
        })
    }
}

fn is_long(tracked: &TrackedFlow, now: ClockMillis) -> bool {
    tracked.established
        && tracked.last_packet_at.since(tracked.first_seen_at) >= LONG_FLOW_MILLIS
        && now.since(tracked.last_packet_at) < IDLE_MILLIS
}

fn is_changed(tracked: &TrackedFlow, now: ClockMillis) -> bool {
    tracked.told.is_none_or(|(told_at, acknowledged)| {
        now.since(told_at) >= RETELL_MILLIS
            || tracked.acknowledged.wrapping_sub(acknowledged) >= RETELL_BYTES
    })
}
