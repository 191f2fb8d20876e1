use std::{collections::HashMap, net::Ipv4Addr};

use super::{
    FlowVerdict, KnownTargets, RefusalCause,
    balancer_lookups::ATTEMPT_CHAINS,
    flow_verdict::GoneTarget,
    heard_agents::HeardAgents,
    link_admission::{EndedWait, LinkAdmission, LinkVerdict},
    owner_cache::OwnerCache,
    owner_lookup::{OwnerLookup, PendingLookups},
    parked_packets::ParkedPackets,
    report_timer::{MIN_TIMEOUT_MILLIS, ReportTimer},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        BalancerFlowInfo, FlowKey, FlowOwnerInfo, FlowPacket, FlowReset, HopHeader, LookupProgress,
        hop_frame::MAX_CANDIDATES, pending_openings::PendingOpenings,
    },
    listener::{ListenerTable, ServiceTag},
};

/// Number of unreported openings in a row after which a balancer counts as
/// isolated.
const ISOLATION_THRESHOLD: u32 = 4;

/// Flow state of a balancer, which decides which agent gets each packet.
#[derive(Debug)]
pub(crate) struct BalancerFlows {
    pub(super) own_address: Ipv4Addr,
    pub(super) table: ListenerTable,
    pub(super) targets: KnownTargets,
    pub(super) lookups: PendingLookups,
    /// The id of the last round of any owner lookup.
    pub(super) last_lookup_id: u32,
    pub(super) owners: OwnerCache,
    pub(super) openings: PendingOpenings,
    /// Bounds the large requests on this VM's link, if its rate is known.
    pub(super) link: Option<LinkAdmission>,
    /// How long openings wait for their reports.
    pub(super) report_timer: ReportTimer,
    /// The agent that each pending opening was sent to.
    pub(in crate::flow) opening_agents: HashMap<FlowKey, Ipv4Addr>,
    /// Agents that new flows avoid, each with the time when the suspicion ends.
    pub(super) suspects: HashMap<Ipv4Addr, ClockMillis>,
    /// The chains of the last verdict's lookup besides the first one.
    pub(super) further_chains: Vec<(Ipv4Addr, HopHeader)>,
    /// Agents that were heard of just now.
    pub(super) heard_agents: HeardAgents,
    /// Openings that timed out without a report since the last report.
    pub(super) unreported_openings: u32,
    /// Whether routes and targets are current, so that flows may be refused.
    pub(super) current: bool,
    /// Whether they were ever current since this balancer started.
    pub(super) was_ever_current: bool,
    /// Packets held until routes and targets are known.
    pub(super) parked: ParkedPackets,
}

impl BalancerFlows {
    /// Creates the state of a balancer without routes or targets. Flows that
    /// carry no packet for `idle_timeout` are dropped.
    pub(crate) fn new(
        own_address: Ipv4Addr,
        table: ListenerTable,
        idle_timeout: SpanMillis,
    ) -> Self {
        Self {
            own_address,
            table,
            targets: KnownTargets::default(),
            lookups: PendingLookups::default(),
            last_lookup_id: 0,
            owners: OwnerCache::new(idle_timeout),
            openings: PendingOpenings::new(MIN_TIMEOUT_MILLIS),
            link: None,
            report_timer: ReportTimer::default(),
            opening_agents: HashMap::new(),
            suspects: HashMap::new(),
            further_chains: Vec::new(),
            heard_agents: HeardAgents::default(),
            unreported_openings: 0,
            current: false,
            was_ever_current: false,
            parked: ParkedPackets::default(),
        }
    }

    /// Bounds the large requests that cross this VM's link of `bytes_per_second` at
    /// the same time.
    pub(crate) fn with_link(mut self, bytes_per_second: u64) -> Self {
        self.link = Some(LinkAdmission::new(bytes_per_second));
        self
    }

    /// Returns the routes in force.
    pub(crate) fn table(&self) -> &ListenerTable {
        &self.table
    }

    /// Returns the routes in force for an update.
    pub(crate) fn table_mut(&mut self) -> &mut ListenerTable {
        &mut self.table
    }

    /// Replaces the known targets.
    pub(crate) fn set_targets(&mut self, targets: KnownTargets) {
        self.targets = targets;
    }

    /// Sets whether routes and targets are current.
    pub(crate) fn set_current(&mut self, current: bool) {
        self.current = current;
        self.was_ever_current |= current;
    }

    /// Returns whether routes are in force and any target accepts new flows, or would
    /// if its domain were not evacuated: openings are then refused, which no other
    /// balancer would do better.
    pub(crate) fn is_ready(&self) -> bool {
        let mut services = self.targets.services.values();
        self.table.version().is_some()
            && (self.targets.any_evacuated || services.any(|targets| targets.accepting.len() > 0))
    }

    /// Returns whether a flow that no known target holds may be reset.
    pub(crate) fn can_reset_flows(&self) -> bool {
        self.targets.complete && (self.current || !self.was_ever_current)
    }

    /// Removes and returns the parked packets, each with the time that it was
    /// parked.
    pub(crate) fn drain_parked(&mut self, now: ClockMillis) -> Vec<(SpanMillis, Vec<u8>)> {
        self.parked.drain(now)
    }

    /// Returns whether no agent reports openings, so that this balancer may be cut
    /// off from all of them.
    pub(crate) fn is_isolated(&self) -> bool {
        self.unreported_openings >= ISOLATION_THRESHOLD
    }

    /// Returns the number of flows in the owner cache.
    pub(crate) fn cached_owners(&self) -> usize {
        self.owners.len()
    }

    /// Returns the number of agents that new flows avoid.
    pub(crate) fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the state of a flow for inspection.
    pub(crate) fn find(&self, flow: FlowKey, now: ClockMillis) -> BalancerFlowInfo {
        let choice = self.table.choose(flow.listener, flow.stable_hash(), now);
        let ranked = choice.as_ref().map_or_else(Vec::new, |choice| {
            let targets = self.targets.services.get(&choice.new_flow_service);
            targets.map_or_else(Vec::new, |targets| {
                targets.accepting.rank(flow, MAX_CANDIDATES)
            })
        });
        BalancerFlowInfo {
            service: choice.map(|choice| choice.new_flow_service),
            owner: self.owners.peek(flow).map(|owner| FlowOwnerInfo {
                agent: owner.agent,
                confirmed: owner.confirmed,
                incarnation: owner.incarnation,
                idle: now.since(owner.last_packet_at),
                gone: self.targets.has_ended(owner.agent, owner.incarnation),
            }),
            ranked,
        }
    }

    /// Returns how far the lookup of a flow's owner has come, if it is looked up.
    pub(crate) fn lookup_progress(
        &self,
        flow: FlowKey,
        now: ClockMillis,
    ) -> Option<LookupProgress> {
        self.lookups.get(flow).map(|lookup| lookup.progress(now))
    }

    /// Returns whether the known targets include every running one.
    pub(crate) fn knows_all_targets(&self) -> bool {
        self.targets.complete
    }

    /// Returns whether routes and targets are current.
    pub(crate) fn is_current(&self) -> bool {
        self.current
    }

    /// Returns how long a flow's opening has waited for its report, if it is
    /// pending.
    pub(crate) fn opening_age(&self, flow: FlowKey, now: ClockMillis) -> Option<SpanMillis> {
        self.openings.age(flow, now)
    }

    /// Decides what to do with a packet from a caller.
    pub(crate) fn handle_packet(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: ClockMillis,
    ) -> FlowVerdict {
        let flow = packet.caller_flow();
        let Some(choice) = self.table.choose(flow.listener, flow.stable_hash(), now) else {
            self.owners.remove(flow);
            if !packet.is_opening() && !self.table.has_removed(flow.listener) {
                // Another balancer may have opened the flow on a route that this one has
                // not heard of yet.
                self.parked.park(flow, bytes, now);
                return FlowVerdict::Park(RefusalCause::NotReady);
            }
            return self.refuse(packet, bytes, RefusalCause::NoRoute, now);
        };
        if packet.is_opening() {
            let verdict = self
                .link
                .as_mut()
                .map(|link| link.offer(packet, bytes, now));
            return match verdict {
                Some(LinkVerdict::Wait) => FlowVerdict::Wait,
                Some(LinkVerdict::Refuse) => {
                    FlowVerdict::Reset(FlowReset::answering(packet), RefusalCause::LinkFull)
                }
                Some(LinkVerdict::Admit) | None => self.open_flow(packet, bytes, &choice, now),
            };
        }
        if let Some(link) = &mut self.link {
            link.record(packet, now);
        }
        self.continue_flow(packet, bytes, &choice.owner_services, now)
    }

    /// Removes and returns where the packet that was just forwarded goes as well: a
    /// further attempt of a lookup may have several chains.
    pub(crate) fn take_further_chains(&mut self) -> Vec<(Ipv4Addr, HopHeader)> {
        std::mem::take(&mut self.further_chains)
    }

    fn continue_flow(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        services: &[ServiceTag],
        now: ClockMillis,
    ) -> FlowVerdict {
        let flow = packet.caller_flow();
        if let Some(target) = self.gone_owner(flow) {
            self.owners.remove(flow);
            let cause = RefusalCause::TargetGone(target);
            return FlowVerdict::Reset(FlowReset::answering(packet), cause);
        }
        if let Some(to) = self.live_owner(flow, now) {
            let header = HopHeader::new(services[0], self.own_address);
            return FlowVerdict::Forward { to, header };
        }
        let lookup = match self.lookups.get(flow) {
            // The caller sends this packet again if the flow is not found by then.
            // A few agents that are left may be asked again: one may have been restarted.
            Some(lookup)
                if lookup.is_wide_pending(now) && lookup.unanswered_agents() > ATTEMPT_CHAINS =>
            {
                return FlowVerdict::Park(RefusalCause::OwnerUnknown);
            }
            Some(lookup) => OwnerLookup::new(bytes, packet, now).following(lookup, now),
            None => OwnerLookup::new(bytes, packet, now),
        };
        // What a failed attempt assumed of the owner counts no more.
        let assumed_owner = self.owners.peek(flow);
        let assumed_owner = assumed_owner
            .filter(|owner| owner.confirmed || lookup.attempt == 0)
            .map(|owner| owner.agent);
        let mut hops = self.send_lookup(lookup.clone(), services, assumed_owner, now);
        if hops.is_empty() {
            // All agents have answered, but the flow can't be reset.
            let mut lookup = lookup;
            lookup.ask_denied_again();
            hops = self.send_lookup(lookup, services, assumed_owner, now);
        }
        self.further_chains = hops.split_off(hops.len().min(1));
        let Some((to, header)) = hops.first().copied() else {
            self.parked.park(flow, bytes, now);
            return FlowVerdict::Park(RefusalCause::NoTarget);
        };
        self.owners.assume(flow, to, now);
        FlowVerdict::Forward { to, header }
    }

    /// Returns the agent that reported the flow as held, if its target still runs.
    pub(super) fn live_owner(&mut self, flow: FlowKey, now: ClockMillis) -> Option<Ipv4Addr> {
        let owner = self.owners.get(flow, now).filter(|owner| owner.confirmed)?;
        let lost = self.targets.has_ended(owner.agent, owner.incarnation)
            || self.targets.has_restarted(owner.agent, owner.incarnation);
        (!lost).then_some(owner.agent)
    }

    /// Returns the target that was reported to hold the flow, if it has ended.
    pub(super) fn gone_owner(&self, flow: FlowKey) -> Option<GoneTarget> {
        let owner = self.owners.peek(flow).filter(|owner| owner.confirmed)?;
        let ended = self.targets.has_ended(owner.agent, owner.incarnation);
        ended.then_some(GoneTarget {
            agent: owner.agent,
            incarnation: owner.incarnation,
        })
    }

    /// Returns when an opening or the round of a lookup may next time out.
    pub(crate) fn next_due(&self) -> Option<ClockMillis> {
        let openings = self.openings.next_due().into_iter();
        let waits = self.link.as_ref().and_then(LinkAdmission::next_due);
        openings.chain(self.lookups.next_due()).chain(waits).min()
    }

    /// Removes and returns an opening whose wait for the link has ended; an admitted
    /// one is handled again as a new packet.
    pub(crate) fn take_ended_wait(&mut self, now: ClockMillis) -> Option<EndedWait> {
        self.link.as_mut()?.take_ended(now)
    }

    /// Returns the number of large requests that cross the link, and of openings that
    /// wait for it.
    pub(crate) fn link_load(&self) -> (usize, usize) {
        self.link
            .as_ref()
            .map_or((0, 0), |link| (link.under_way(), link.waiting()))
    }

    /// Drops idle flows, lookups that timed out and parked packets that are too
    /// old.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        self.owners.sweep(now);
        self.lookups.sweep(now);
        self.heard_agents.sweep(now);
        self.report_timer.sweep(now);
        if let Some(link) = &mut self.link {
            link.sweep(now);
        }
        self.parked.sweep(now);
    }

    /// Resets a flow that can't be served, or parks its packet while routes and
    /// targets may be outdated.
    pub(super) fn refuse(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        cause: RefusalCause,
        now: ClockMillis,
    ) -> FlowVerdict {
        if self.current && self.table.version().is_some() {
            return FlowVerdict::Reset(FlowReset::answering(packet), cause);
        }
        self.parked.park(packet.caller_flow(), bytes, now);
        FlowVerdict::Park(RefusalCause::NotReady)
    }
}
