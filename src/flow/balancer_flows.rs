use std::{collections::HashMap, net::Ipv4Addr};

use super::{
    FlowFinding, FlowKey, FlowPacket, FlowReport, FlowReset, FlowVerdict, FoundOwner, HopHeader,
    KnownTargets, RefusalCause, ReportKind, ReportStep,
    flow_walk::{FlowWalk, WalkTable},
    hop_frame::MAX_CANDIDATES,
    opening_watch::{OpeningWatch, WatchedOpening},
    owner_cache::OwnerCache,
    parked_packets::ParkedPackets,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    listener::{ListenerTable, RouteChoice, ServiceTag},
};

/// How long an agent may take to report an opening; it waits for its target
/// half as long before it passes the packet on.
const REPORT_MILLIS: SpanMillis = SpanMillis::new(60);
/// How long new flows avoid an agent that left an opening unreported.
const SUSPECT_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The unreported openings in a row after which a balancer may be cut off.
const ISOLATED_OPENINGS: u32 = 4;
/// The candidates that an opening is offered to besides the first one.
const OPENING_CANDIDATES: usize = 5;

/// The flows of a balancer: which agent gets which packet.
#[derive(Debug)]
pub(crate) struct BalancerFlows {
    pub(super) own: Ipv4Addr,
    pub(super) table: ListenerTable,
    pub(super) targets: KnownTargets,
    pub(super) walks: WalkTable,
    /// The number of the last search for an owner.
    pub(super) last_walk: u32,
    pub(super) owners: OwnerCache,
    pub(super) openings: OpeningWatch,
    /// Where each watched opening was sent first.
    pub(super) sent_to: HashMap<FlowKey, Ipv4Addr>,
    pub(super) suspects: HashMap<Ipv4Addr, ClockMillis>,
    /// The openings that nobody reported since the last report.
    pub(super) unreported: u32,
    /// Whether routes and targets are current, so that refusals are true.
    pub(super) current: bool,
    /// Whether they have been so since this balancer started.
    pub(super) was_current: bool,
    /// Packets that wait until routes and targets are known.
    pub(super) parked: ParkedPackets,
}

impl BalancerFlows {
    /// Creates the state of a balancer that knows nothing yet.
    pub(crate) fn new(own: Ipv4Addr, table: ListenerTable, idle: SpanMillis) -> Self {
        Self {
            own,
            table,
            targets: KnownTargets::default(),
            walks: WalkTable::default(),
            last_walk: 0,
            owners: OwnerCache::new(idle),
            openings: OpeningWatch::new(REPORT_MILLIS),
            sent_to: HashMap::new(),
            suspects: HashMap::new(),
            unreported: 0,
            current: false,
            was_current: false,
            parked: ParkedPackets::default(),
        }
    }

    /// Returns the routes in force.
    pub(crate) fn table(&self) -> &ListenerTable {
        &self.table
    }

    /// Returns the routes in force, to replace them.
    pub(crate) fn table_mut(&mut self) -> &mut ListenerTable {
        &mut self.table
    }

    /// Replaces what is known of the targets.
    pub(crate) fn set_targets(&mut self, targets: KnownTargets) {
        self.targets = targets;
    }

    /// Sets whether routes and targets are known to be current.
    pub(crate) fn set_current(&mut self, current: bool) {
        self.current = current;
        self.was_current |= current;
    }

    /// Returns whether there are routes and targets to forward to.
    pub(crate) fn is_ready(&self) -> bool {
        self.table.version() > 0
            && self
                .targets
                .services
                .values()
                .any(|targets| targets.open.len() > 0)
    }

    /// Returns whether a flow that every known target gave back is gone.
    pub(crate) fn can_end_flows(&self) -> bool {
        self.targets.complete && (self.current || !self.was_current)
    }

    /// Takes the packets that waited for what is known now, each with the time
    /// that it was kept.
    pub(crate) fn take_parked(&mut self, now: ClockMillis) -> Vec<(SpanMillis, Vec<u8>)> {
        self.parked.take_all(now)
    }

    /// Returns whether no agent answers: this balancer may be cut off from all
    /// of them.
    pub(crate) fn is_isolated(&self) -> bool {
        self.unreported >= ISOLATED_OPENINGS
    }

    /// Returns the number of remembered flows.
    pub(crate) fn remembered(&self) -> usize {
        self.owners.len()
    }

    /// Returns the agents that new flows avoid.
    pub(crate) fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Returns what is known of a flow.
    pub(crate) fn find(&self, flow: FlowKey, now: ClockMillis) -> FlowFinding {
        let choice = self.table.choose(flow.listener, flow.spread(), now);
        let ranked = choice.as_ref().map_or_else(Vec::new, |choice| {
            let targets = self.targets.services.get(&choice.opens);
            targets.map_or_else(Vec::new, |targets| targets.open.rank(flow, MAX_CANDIDATES))
        });
        FlowFinding {
            service: choice.map(|choice| choice.opens),
            owner: self.owners.peek(flow).map(|owner| FoundOwner {
                agent: owner.agent,
                confirmed: owner.confirmed,
                target: owner.target,
                idle: now.since(owner.used_at),
                gone: self.targets.has_ended(owner.agent, owner.target),
            }),
            ranked,
        }
    }

    /// Returns how long an opening has waited for its report, if it does.
    pub(crate) fn opening_age(&self, flow: FlowKey, now: ClockMillis) -> Option<SpanMillis> {
        self.openings.age(flow, now)
    }

    /// Takes a packet of a caller.
    pub(crate) fn take_packet(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: ClockMillis,
    ) -> FlowVerdict {
        let flow = packet.caller_flow();
        let Some(choice) = self.table.choose(flow.listener, flow.spread(), now) else {
            self.owners.forget(flow);
            return self.refuse(packet, bytes, RefusalCause::NoRoute, now);
        };
        if packet.opens() {
            return self.open_flow(packet, bytes, &choice, now);
        }
        self.continue_flow(packet, bytes, &choice.holds, now)
    }

    fn open_flow(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        choice: &RouteChoice,
        now: ClockMillis,
    ) -> FlowVerdict {
        let flow = packet.caller_flow();
        let ranked = self
            .targets
            .services
            .get(&choice.opens)
            .map_or_else(Vec::new, |targets| {
                targets.open.rank(flow, OPENING_CANDIDATES + 1)
            });
        self.suspects.retain(|_, until| *until > now);
        // A copy follows the first packet while its agent is trusted.
        let first = self
            .owners
            .find(flow, now)
            .map(|owner| owner.agent)
            .filter(|agent| ranked.contains(agent));
        let (trusted, doubted): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) = first
            .into_iter()
            .chain(ranked.iter().copied().filter(|agent| Some(*agent) != first))
            .partition(|agent| !self.suspects.contains_key(agent));
        let mut order = trusted.into_iter().chain(doubted);
        let Some(to) = order.next() else {
            return self.refuse(packet, bytes, RefusalCause::NoTarget, now);
        };
        let header = HopHeader::new(choice.opens, self.own)
            .with_urgency(choice.urgency)
            .with_age(packet.age)
            .with_candidates(order);
        self.owners.assume(flow, to, now);
        if !self.openings.holds(flow) {
            self.sent_to.insert(flow, to);
        }
        self.openings.watch(WatchedOpening {
            flow,
            header,
            packet: bytes.to_vec(),
            asked_at: now.before(packet.age),
            sent_at: now,
        });
        FlowVerdict::Forward { to, header }
    }

    fn continue_flow(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        services: &[ServiceTag],
        now: ClockMillis,
    ) -> FlowVerdict {
        let flow = packet.caller_flow();
        let owner = self.owners.find(flow, now);
        if let Some(owner) = owner.filter(|owner| owner.confirmed)
            && self.targets.has_ended(owner.agent, owner.target)
        {
            self.owners.forget(flow);
            return FlowVerdict::Reset(FlowReset::answering(packet), RefusalCause::TargetGone);
        }
        if let Some(owner) = owner.filter(|owner| owner.confirmed)
            && !self.targets.has_restarted(owner.agent, owner.target)
        {
            return FlowVerdict::Forward {
                to: owner.agent,
                header: HopHeader::new(services[0], self.own),
            };
        }
        let walk = FlowWalk {
            packet: bytes.to_vec(),
            reset: FlowReset::answering(packet),
            asked: Vec::new(),
            number: 0,
            asked_at: now,
        };
        let likely = owner.map(|owner| owner.agent);
        let Some((to, header)) = self.walk_on(walk, services, likely, now) else {
            self.parked.park(flow, bytes, now);
            return FlowVerdict::Park(RefusalCause::NoTarget);
        };
        self.owners.assume(flow, to, now);
        FlowVerdict::Forward { to, header }
    }

    /// Takes an agent's news of a flow; returns what is to be sent for it.
    pub(crate) fn take_report(&mut self, report: &FlowReport, now: ClockMillis) -> ReportStep {
        self.suspects.remove(&report.agent);
        self.unreported = 0;
        self.openings.take(report.flow);
        self.sent_to.remove(&report.flow);
        match report.kind {
            ReportKind::Held => {
                self.walks.end(report.flow);
                self.parked.forget(report.flow);
                self.owners
                    .confirm(report.flow, report.agent, report.target, now);
                ReportStep::Nothing
            }
            ReportKind::Waiting => {
                // Copies of the opening go where it waits.
                self.owners.assume(report.flow, report.agent, now);
                ReportStep::Nothing
            }
            ReportKind::NotHeld => {
                self.owners.doubt(report.flow, report.agent);
                self.continue_walk(report, now)
            }
            ReportKind::Refused | ReportKind::Gone => {
                self.walks.end(report.flow);
                self.owners.forget(report.flow);
                ReportStep::Nothing
            }
        }
    }

    /// Returns the openings that no agent reported, each with the agent that is
    /// tried next; the silent agents are suspected.
    pub(crate) fn expire_openings(
        &mut self,
        now: ClockMillis,
    ) -> Vec<(FlowKey, Vec<u8>, Ipv4Addr, HopHeader)> {
        let mut resent = Vec::new();
        while let Some(mut opening) = self.openings.take_due(now) {
            self.unreported = self.unreported.saturating_add(1);
            if let Some(silent) = self.sent_to.remove(&opening.flow) {
                self.suspects.insert(silent, now.after(SUSPECT_MILLIS));
            }
            let Some((to, header)) = opening.header.next_hop() else {
                continue;
            };
            self.owners.assume(opening.flow, to, now);
            resent.push((opening.flow, opening.packet.clone(), to, header));
            opening.header = header;
            opening.sent_at = now;
            self.sent_to.insert(opening.flow, to);
            self.openings.watch(opening);
        }
        resent
    }

    /// Returns when an opening may next be overdue.
    pub(crate) fn next_due(&self) -> Option<ClockMillis> {
        self.openings.next_due()
    }

    /// Forgets idle flows.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        self.owners.sweep(now);
        self.walks.sweep(now);
        self.parked.sweep(now);
    }

    /// Refuses a packet truthfully, or keeps it while that can't be known.
    fn refuse(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        cause: RefusalCause,
        now: ClockMillis,
    ) -> FlowVerdict {
        if self.current && self.table.version() > 0 {
            return FlowVerdict::Reset(FlowReset::answering(packet), cause);
        }
        self.parked.park(packet.caller_flow(), bytes, now);
        FlowVerdict::Park(RefusalCause::NotReady)
    }
}
