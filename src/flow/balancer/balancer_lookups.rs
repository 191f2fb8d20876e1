//! Owner lookup: a balancer asks agent after agent for a flow whose owner it does
//! not know.

use std::{collections::HashSet, net::Ipv4Addr};

use super::{
    BalancerFlows, ReportAction,
    owner_lookup::{LookupRound, OwnerLookup, WideLookup},
};
use crate::{
    clock::ClockMillis,
    flow::{FlowKey, FlowReport, HopHeader, ReportKind, UnheldFlow, hop_frame::MAX_CANDIDATES},
    listener::ServiceTag,
};

/// Number of agents of the first round, which nearly always finds the owner of a
/// flow that is held.
const FIRST_ROUND_AGENTS: usize = 9;
/// Number of agents that are each asked by themselves once a chain has not answered.
const WIDE_ROUND_AGENTS: usize = 16;
/// Number of agents of the other chains of a wide round: few, since all agents of a chain
/// without a report may hold the flow.
const WIDE_CHAIN_AGENTS: usize = 4;
/// Number of targets beyond which no wide round is sent: the chains of a service of
/// hundreds of targets take longer than the wait for one, and after an outage wide
/// rounds filled links of 2 Mbit/s.
const MAX_WIDE_TARGETS: usize = 64;
/// Maximum number of chains of a further attempt, so that an agent that is down hides few
/// others.
pub(super) const ATTEMPT_CHAINS: usize = 4;
/// Number of agents that a chain of the second round, or of a further attempt, passes
/// one after the other.
const CHAIN_AGENTS: usize = MAX_CANDIDATES + 1;
/// Number of attempts after which the orders of the agents begin anew.
const ATTEMPT_ORDERS: u32 = 3;

impl BalancerFlows {
    /// Starts a round of a lookup. The first round is one chain of agents, the second
    /// asks all others along several chains at once, a wide one asks all again, most
    /// of them each by itself, and the last one those whose target has ended. Returns
    /// the first agent of each chain and the header that lists the others, nothing if
    /// all agents were asked.
    pub(super) fn send_lookup(
        &mut self,
        mut lookup: OwnerLookup,
        services: &[ServiceTag],
        assumed_owner: Option<Ipv4Addr>,
        now: ClockMillis,
    ) -> Vec<(Ipv4Addr, HopHeader)> {
        let flow = lookup.reset.flow;
        if lookup.round == LookupRound::Wide {
            lookup.asked_agents = lookup.known_denied().collect();
        }
        let mut next: Vec<Ipv4Addr> = assumed_owner.into_iter().collect();
        next.extend(self.agents_of_round(&lookup, services, now));
        let mut seen: HashSet<Ipv4Addr> = lookup.asked_agents.iter().copied().collect();
        next.retain(|agent| seen.insert(*agent));
        if lookup.round == LookupRound::First {
            reorder_for_attempt(&mut next, lookup.attempt);
        }
        // An agent that does not answer ends its chain, so such agents come last.
        next.sort_by_key(|agent| {
            self.suspects.contains_key(agent) || self.targets.is_silent(*agent)
        });
        let mut chain_count = 1;
        if lookup.round == LookupRound::First {
            let mut limit = FIRST_ROUND_AGENTS;
            if lookup.attempt > 0 {
                if next.len() <= MAX_WIDE_TARGETS {
                    let wanted = next.len().clamp(1, ATTEMPT_CHAINS) - 1;
                    chain_count += self.lookups.take_further_chains(wanted, now);
                }
                limit = chain_count * CHAIN_AGENTS;
            }
            next.truncate(limit);
        }
        let is_chained = matches!(lookup.round, LookupRound::First | LookupRound::Others);
        if is_chained && !takes_ranking(lookup.attempt) {
            // The agent that ended the chain before is one that was not heard of since.
            next.sort_by_key(|agent| !self.heard_agents.contains(*agent, now));
        }
        if next.is_empty() {
            return Vec::new();
        }
        self.last_lookup_id = self.last_lookup_id.wrapping_add(1).max(1);
        let header =
            HopHeader::new(services[0], self.own_address).with_lookup_id(self.last_lookup_id);
        let alone = match lookup.round {
            LookupRound::First | LookupRound::Others => 0,
            LookupRound::Wide | LookupRound::Ended { repeated: false } => {
                next.len().min(WIDE_ROUND_AGENTS)
            }
            // An agent that is gone must not hide others from their last question.
            LookupRound::Ended { repeated: true } => next.len(),
        };
        let (single, chained) = next.split_at(alone);
        let chains: Vec<Vec<Ipv4Addr>> = match lookup.round {
            LookupRound::First => deal_chains(&next, chain_count),
            LookupRound::Others | LookupRound::Wide | LookupRound::Ended { .. } => {
                let chain_agents = match lookup.round {
                    LookupRound::Wide => WIDE_CHAIN_AGENTS,
                    _ => CHAIN_AGENTS,
                };
                let chains = single.chunks(1).chain(chained.chunks(chain_agents));
                chains.map(<[Ipv4Addr]>::to_vec).collect()
            }
        };
        let hops = chains
            .iter()
            .map(|chain| (chain[0], header.with_candidates(chain[1..].iter().copied())))
            .collect();
        lookup.lookup_id = self.last_lookup_id;
        lookup.rounds += 1;
        lookup.awaited_chains = chains;
        lookup.asked_agents.extend(&next);
        lookup.sent_at = now;
        self.lookups.insert(flow, lookup);
        hops
    }

    /// Returns the agents that a round may ask, those first that most likely hold the
    /// flow.
    fn agents_of_round(
        &self,
        lookup: &OwnerLookup,
        services: &[ServiceTag],
        now: ClockMillis,
    ) -> Vec<Ipv4Addr> {
        let mut searched_services = services.to_vec();
        let searches_all = match lookup.round {
            // The flow may have been opened under newer routes than the known ones.
            LookupRound::First | LookupRound::Wide => !self.was_ever_current,
            // It may be on a service that its route had before.
            LookupRound::Others | LookupRound::Ended { .. } => {
                !self.was_ever_current || self.table.may_lack_former_services(now)
            }
        };
        if searches_all {
            searched_services.extend(self.targets.services.keys());
        }
        let targets = searched_services
            .iter()
            .filter_map(|service| self.targets.services.get(service));
        let flow = lookup.reset.flow;
        match lookup.round {
            LookupRound::First if lookup.attempt == 0 => {
                let limit = FIRST_ROUND_AGENTS + self.suspects.len();
                targets
                    .flat_map(|targets| targets.possible_owners.rank(flow, limit))
                    .collect()
            }
            LookupRound::First | LookupRound::Others | LookupRound::Wide => targets
                .flat_map(|targets| {
                    let owners = &targets.possible_owners;
                    owners.rank(flow, owners.len())
                })
                .collect(),
            LookupRound::Ended { .. } => targets
                .flat_map(|targets| targets.ended.iter().copied())
                .collect(),
        }
    }

    /// Starts a wide round for each lookup that has not ended in time.
    pub(crate) fn expire_lookups(&mut self, now: ClockMillis) -> Vec<WideLookup> {
        let mut sent = Vec::new();
        loop {
            let (table, targets) = (&self.table, &self.targets);
            let choose = |flow: FlowKey| table.choose(flow.listener, flow.stable_hash(), now);
            let may_widen = |flow: FlowKey| {
                choose(flow).is_some_and(|choice| {
                    targets.count_possible_owners(&choice.owner_services) <= MAX_WIDE_TARGETS
                })
            };
            let Some((flow, lookup)) = self.lookups.take_due(now, may_widen) else {
                return sent;
            };
            let Some(choice) = choose(flow) else {
                continue;
            };
            let packet = lookup.packet.clone();
            let progress = lookup.progress(now);
            let lookup = OwnerLookup {
                round: LookupRound::Wide,
                ..lookup
            };
            let hops = self.send_lookup(lookup, &choice.owner_services, None, now);
            sent.push(WideLookup {
                flow,
                packet,
                hops,
                progress,
            });
        }
    }

    /// Asks the agents with an ended target again that did not answer; flows of which
    /// they were asked twice are reset.
    pub(crate) fn expire_ended_rounds(&mut self, now: ClockMillis) -> Vec<ReportAction> {
        let mut actions = Vec::new();
        while let Some(mut lookup) = self.lookups.take_unanswered(now) {
            let silent = std::mem::take(&mut lookup.awaited_chains);
            let is_silent = |agent: &Ipv4Addr| silent.iter().any(|chain| chain.contains(agent));
            if lookup.round == (LookupRound::Ended { repeated: true }) {
                // Those whose target runs again by now may hold the flow.
                let services = self.targets.services.values();
                let ended: HashSet<Ipv4Addr> = services
                    .flat_map(|targets| targets.ended.iter().copied())
                    .collect();
                lookup
                    .asked_agents
                    .retain(|agent| !is_silent(agent) || ended.contains(agent));
                actions.push(self.send_next_round(lookup, now));
                continue;
            }
            lookup.asked_agents.retain(|agent| !is_silent(agent));
            lookup.round = LookupRound::Ended { repeated: true };
            actions.push(self.send_or_end(lookup, now));
        }
        actions
    }

    /// Records that the agent of a report runs, and those that passed the packet on to
    /// it.
    pub(super) fn note_heard(&mut self, report: &FlowReport, now: ClockMillis) {
        self.heard_agents.note(report.agent, now);
        let Some(lookup) = self.lookups.get(report.flow) else {
            return;
        };
        let is_of_round = lookup.lookup_id == report.lookup_id || report.kind == ReportKind::Held;
        if is_of_round {
            for agent in lookup.agents_before(report.agent) {
                self.heard_agents.note(*agent, lookup.sent_at);
            }
        }
    }

    /// Starts the next round after every chain of a round reported that it does not
    /// hold the flow. Once no target that may hold the flow has it, the flow is
    /// reset, or its packet parked while a target may be missing.
    pub(super) fn continue_lookup(
        &mut self,
        report: &FlowReport,
        now: ClockMillis,
    ) -> ReportAction {
        let lookup = self
            .lookups
            .end_chain(report.flow, report.agent, report.lookup_id);
        lookup.map_or(ReportAction::Nothing, |lookup| {
            self.send_next_round(lookup, now)
        })
    }

    /// Starts the next round of a lookup whose agents have answered, or ends it.
    fn send_next_round(&mut self, lookup: OwnerLookup, now: ClockMillis) -> ReportAction {
        let lookup = OwnerLookup {
            round: LookupRound::Others,
            ..lookup
        };
        self.send_or_end(lookup, now)
    }

    /// Sends a round to the agents that may hold the flow and were not asked, or else to
    /// those of ended targets, or ends the lookup. Agents of both kinds may have become
    /// known since the round before.
    fn send_or_end(&mut self, mut lookup: OwnerLookup, now: ClockMillis) -> ReportAction {
        let flow = lookup.reset.flow;
        let Some(choice) = self.table.choose(flow.listener, flow.stable_hash(), now) else {
            return ReportAction::Nothing;
        };
        let repeated = lookup.round == (LookupRound::Ended { repeated: true });
        loop {
            for round in [LookupRound::Others, LookupRound::Ended { repeated }] {
                lookup.round = round;
                let hops = self.send_lookup(lookup.clone(), &choice.owner_services, None, now);
                if !hops.is_empty() {
                    let packet = lookup.packet;
                    return ReportAction::Forward { packet, hops };
                }
            }
            if lookup.earlier_denied.is_empty() {
                return self.end_lookup(&lookup, now);
            }
            // A reset rests on answers of one lookup alone.
            lookup.ask_denied_again();
        }
    }

    /// Ends a lookup whose flow no target holds.
    fn end_lookup(&mut self, lookup: &OwnerLookup, now: ClockMillis) -> ReportAction {
        if self.can_reset_flows() {
            return ReportAction::Reset(UnheldFlow {
                reset: lookup.reset,
                progress: lookup.progress(now),
            });
        }
        self.parked.park(lookup.reset.flow, &lookup.packet, now);
        ReportAction::Nothing
    }
}

/// Deals the agents, best first, to this number of chains.
fn deal_chains(agents: &[Ipv4Addr], chain_count: usize) -> Vec<Vec<Ipv4Addr>> {
    let chains = (0..chain_count.min(agents.len()))
        .map(|first| agents.iter().skip(first).step_by(chain_count).copied());
    chains.map(Iterator::collect).collect()
}

/// Returns whether an attempt asks the agents by their ranking: the first one, and one
/// by which the owner's own agent may have been restarted.
fn takes_ranking(attempt: u32) -> bool {
    attempt.is_multiple_of(ATTEMPT_ORDERS)
}

/// Changes the order of the agents, best first, for a further attempt of a lookup: an
/// agent of the chain before does not answer, and those behind it were not asked.
fn reorder_for_attempt(agents: &mut [Ipv4Addr], attempt: u32) {
    let first_round = agents.len().min(FIRST_ROUND_AGENTS);
    match attempt % ATTEMPT_ORDERS {
        0 => {}
        1 => agents[..first_round].reverse(),
        _ => agents.rotate_left(first_round),
    }
}
