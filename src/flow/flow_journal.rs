use std::{collections::BTreeMap, net::Ipv4Addr};

use super::{FlowKey, FlowReset, LongFlow, LongFlowList};
use crate::{
    clock::{ClockMillis, SpanMillis},
    key::IncarnationId,
};

/// How long after an agent last told of a flow the flow is kept; agents tell of open
/// ones every eight seconds.
const RETENTION_MILLIS: SpanMillis = SpanMillis::new(20_000);
/// Maximum number of flows; further ones are not recorded.
const MAX_FLOWS: usize = 65_536;

/// The long flows of one incarnation of a target.
#[derive(Debug)]
struct TargetFlows {
    incarnation: IncarnationId,
    /// The sequence number that the caller of each flow had acknowledged, and when the
    /// agent told of it.
    flows: BTreeMap<FlowKey, (u32, ClockMillis)>,
}

/// The long flows of all targets, kept by a control replica and on its disk.
///
/// A VM that loses power takes its target's flows with it, and nobody is left who
/// could tell their callers: each would wait for its next request to be answered with
/// a reset. Once the target runs again as another incarnation, the replica resets the
/// flows of the earlier one.
#[derive(Debug, Default)]
pub(crate) struct FlowJournal {
    targets: BTreeMap<Ipv4Addr, TargetFlows>,
}

impl FlowJournal {
    /// Records flows that an agent tells of, whose target was last announced to this
    /// replica as `announced`.
    ///
    /// Flows of another incarnation are ignored until it is announced: the two may come
    /// in any order, and an earlier announcement must not end the flows of a later one.
    pub(crate) fn record(
        &mut self,
        list: LongFlowList,
        announced: Option<IncarnationId>,
        now: ClockMillis,
    ) {
        if announced == Some(list.incarnation) {
            self.insert(list, now);
        }
    }

    fn insert(&mut self, list: LongFlowList, now: ClockMillis) {
        let has_room = self.len() + list.flows.len() <= MAX_FLOWS;
        let target = self
            .targets
            .entry(list.agent)
            .or_insert_with(|| TargetFlows {
                incarnation: list.incarnation,
                flows: BTreeMap::new(),
            });
        if target.incarnation != list.incarnation {
            // The agent saw its target restart and has reset the earlier flows.
            target.incarnation = list.incarnation;
            target.flows.clear();
        }
        for LongFlow { flow, acknowledged } in list.flows {
            if has_room || target.flows.contains_key(&flow) {
                target.flows.insert(flow, (acknowledged, now));
            }
        }
    }

    /// Removes the flows of an agent whose target runs as another incarnation than the
    /// one that held them; returns the resets that end them.
    pub(crate) fn take_dead(
        &mut self,
        agent: Ipv4Addr,
        incarnation: Option<IncarnationId>,
    ) -> Vec<FlowReset> {
        let is_other = |target: &TargetFlows| {
            incarnation.is_some_and(|incarnation| incarnation != target.incarnation)
        };
        if !self.targets.get(&agent).is_some_and(is_other) {
            return Vec::new();
        }
        let dead = self.targets.remove(&agent);
        dead.into_iter()
            .flat_map(|target| target.flows)
            .map(|(flow, (sequence, _))| FlowReset { flow, sequence })
            .collect()
    }

    /// Returns the incarnation of an agent's target whose flows are kept.
    pub(crate) fn incarnation_of(&self, agent: Ipv4Addr) -> Option<IncarnationId> {
        self.targets.get(&agent).map(|target| target.incarnation)
    }

    /// Adds flows that were written to disk before this replica started, unless their
    /// agents have told of others since.
    pub(crate) fn restore(&mut self, lists: Vec<LongFlowList>, now: ClockMillis) {
        for list in lists {
            if !self.targets.contains_key(&list.agent) {
                self.insert(list, now);
            }
        }
    }

    /// Returns all flows, to be written to disk.
    pub(crate) fn lists(&self) -> Vec<LongFlowList> {
        let list = |(agent, target): (&Ipv4Addr, &TargetFlows)| LongFlowList {
            agent: *agent,
            incarnation: target.incarnation,
            flows: target
                .flows
                .iter()
                .map(|(flow, (acknowledged, _))| LongFlow {
                    flow: *flow,
                    acknowledged: *acknowledged,
                })
                .collect(),
        };
        self.targets.iter().map(list).collect()
    }

    /// Drops the flows that their agents no longer tell of.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        for target in self.targets.values_mut() {
            target
                .flows
                .retain(|_, (_, told_at)| now.since(*told_at) < RETENTION_MILLIS);
        }
        self.targets.retain(|_, target| !target.flows.is_empty());
    }

    /// Returns the number of flows.
    pub(crate) fn len(&self) -> usize {
        self.targets.values().map(|target| target.flows.len()).sum()
    }
}
