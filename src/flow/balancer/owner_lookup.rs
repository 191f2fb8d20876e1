use std::{
    collections::{HashMap, VecDeque},
    net::Ipv4Addr,
};

use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{FlowKey, FlowPacket, FlowReset, HopHeader, LookupProgress},
};

/// Maximum number of concurrent lookups; further ones are not recorded.
const MAX_LOOKUPS: usize = 4_096;
/// How long a lookup waits for the last agent's report; the caller retransmits
/// its packet after 200 ms, which starts a new lookup.
const LOOKUP_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(700);
/// How long the next packet of a flow counts as a further attempt of its lookup: callers
/// retransmit at intervals of up to 1.6 s.
const ATTEMPT_MEMORY_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// How long after its start a lookup asks all agents at once: nine agents that
/// answer take some 40 ms, and the caller retransmits after 200 ms.
const WIDE_AFTER_MILLIS: SpanMillis = SpanMillis::new(100);
/// How long after a wide round a flow is not looked up again: if no agent held it, its
/// target does not answer now.
const WIDE_WAIT_MILLIS: SpanMillis = SpanMillis::new(600);
/// How long agents whose target has ended have for an answer, each time that they are
/// asked. One that runs answers within a few milliseconds, but the VM may be gone.
const ENDED_ANSWER_MILLIS: SpanMillis = SpanMillis::new(50);
/// Maximum number of wide rounds a second; more would fill a thin link while many
/// targets don't answer.
const MAX_WIDE_ROUNDS: u32 = 5;
/// Maximum number of chains a second that attempts have besides their first one.
const MAX_FURTHER_CHAINS: usize = 50;
/// The span over which wide rounds and further chains are counted.
const WIDE_WINDOW_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// How a round of a lookup asks agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LookupRound {
    /// The first ones by ranking, one after the other.
    First,
    /// The others, along several chains at once.
    Others,
    /// All agents again, each by itself: an agent that does not answer ended an
    /// earlier chain.
    Wide,
    /// The agents whose target has ended, each by itself: the target may run again.
    Ended {
        /// Whether the agents that did not answer were asked a second time.
        repeated: bool,
    },
}

/// The search for the owner of a flow, with the packet that started it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnerLookup {
    /// The packet as the caller sent it.
    pub(crate) packet: Vec<u8>,
    /// The reset that ends the flow if no target holds it.
    pub(crate) reset: FlowReset,
    /// How many attempts before this one have found no owner.
    pub(crate) attempt: u32,
    /// The current round.
    pub(crate) round: LookupRound,
    /// The agents of all rounds so far.
    pub(crate) asked_agents: Vec<Ipv4Addr>,
    /// Agents that have answered in this lookup that they do not hold the flow.
    pub(crate) denied_agents: Vec<Ipv4Addr>,
    /// Agents that have answered so in earlier attempts. A flow stays where it is, so
    /// they are asked again only before it is reset.
    pub(crate) earlier_denied: Vec<Ipv4Addr>,
    /// The chains of the current round without a report; the last agent of each
    /// reports if no agent of its chain holds the flow.
    pub(crate) awaited_chains: Vec<Vec<Ipv4Addr>>,
    /// Identifies the current round.
    pub(crate) lookup_id: u32,
    /// The number of rounds so far.
    pub(crate) rounds: u32,
    /// When the first packet since the owner is unknown was sent.
    pub(crate) unknown_since: ClockMillis,
    /// When the first packet of this attempt was sent.
    pub(crate) started_at: ClockMillis,
    /// When the current round was sent.
    pub(crate) sent_at: ClockMillis,
}

impl OwnerLookup {
    /// Creates a lookup that has asked no agent yet.
    pub(super) fn new(bytes: &[u8], packet: &FlowPacket, now: ClockMillis) -> Self {
        Self {
            packet: bytes.to_vec(),
            reset: FlowReset::answering(packet),
            attempt: 0,
            round: LookupRound::First,
            asked_agents: Vec::new(),
            denied_agents: Vec::new(),
            earlier_denied: Vec::new(),
            awaited_chains: Vec::new(),
            lookup_id: 0,
            rounds: 0,
            unknown_since: now,
            started_at: now,
            sent_at: now,
        }
    }

    /// Returns how far the lookup has come.
    pub(super) fn progress(&self, now: ClockMillis) -> LookupProgress {
        LookupProgress {
            flow: self.reset.flow,
            asked: self.asked_agents.len(),
            unanswered: self.awaited_chains.len(),
            rounds: self.rounds,
            unknown_for: now.since(self.unknown_since),
        }
    }

    /// Continues the search of `previous` with the flow's next packet. Once that search
    /// had time to end, this is a further attempt.
    pub(super) fn following(mut self, previous: &Self, now: ClockMillis) -> Self {
        self.unknown_since = previous.unknown_since;
        self.earlier_denied = previous.known_denied().collect();
        self.asked_agents.clone_from(&self.earlier_denied);
        let has_failed = previous.round == LookupRound::Wide || previous.wide_at() <= now;
        if has_failed {
            self.attempt = previous.attempt.saturating_add(1);
        } else {
            self.attempt = previous.attempt;
            self.started_at = previous.started_at;
        }
        self
    }

    /// Counts agents that answered in earlier attempts as not asked.
    pub(super) fn ask_denied_again(&mut self) {
        let denied = std::mem::take(&mut self.earlier_denied);
        self.asked_agents.retain(|agent| !denied.contains(agent));
    }

    /// Returns the number of agents of the chains without a report.
    pub(super) fn unanswered_agents(&self) -> usize {
        self.awaited_chains.iter().map(Vec::len).sum()
    }

    /// Returns the agents that are known not to hold the flow.
    pub(super) fn known_denied(&self) -> impl Iterator<Item = Ipv4Addr> {
        let denied = self.earlier_denied.iter().chain(&self.denied_agents);
        denied.copied()
    }

    /// Returns the agents that passed the packet on before `agent` got it, if it is one
    /// of a chain without a report.
    pub(super) fn agents_before(&self, agent: Ipv4Addr) -> &[Ipv4Addr] {
        let mut chains = self.awaited_chains.iter();
        let before = chains.find_map(|chain| {
            let position = chain.iter().position(|asked| *asked == agent)?;
            Some(&chain[..position])
        });
        before.unwrap_or_default()
    }

    /// Returns whether all agents were asked just now, so that asking them again for
    /// the flow's next packet would only add load.
    pub(super) fn is_wide_pending(&self, now: ClockMillis) -> bool {
        self.round == LookupRound::Wide && now.since(self.sent_at) < WIDE_WAIT_MILLIS
    }

    fn wide_at(&self) -> ClockMillis {
        self.started_at.after(WIDE_AFTER_MILLIS)
    }
}

/// A lookup whose packet goes to all agents at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WideLookup {
    pub(crate) flow: FlowKey,
    /// The packet as the caller sent it.
    pub(crate) packet: Vec<u8>,
    /// The first agent of each chain, with the frame's header.
    pub(crate) hops: Vec<(Ipv4Addr, HopHeader)>,
    /// How far the lookup had come before.
    pub(crate) progress: LookupProgress,
}

/// Owner lookups in progress, by flow.
#[derive(Debug, Default)]
pub(crate) struct PendingLookups {
    lookups: HashMap<FlowKey, OwnerLookup>,
    /// Flows in the order in which their lookups started.
    started: VecDeque<(ClockMillis, FlowKey)>,
    /// Flows with a round of agents whose target has ended, in the order in which
    /// these rounds were sent, each with the id of its round.
    ended_rounds: VecDeque<(ClockMillis, FlowKey, u32)>,
    /// When the current window of wide rounds began, and their number in it.
    wide_window: (ClockMillis, u32),
    /// The same for chains that attempts have besides their first one.
    chain_window: (ClockMillis, usize),
}

impl PendingLookups {
    /// Adds or updates a lookup.
    pub(crate) fn insert(&mut self, flow: FlowKey, lookup: OwnerLookup) {
        let known_start = self.lookups.get(&flow).map(|known| known.started_at);
        if self.lookups.len() >= MAX_LOOKUPS && known_start.is_none() {
            return;
        }
        if lookup.round == LookupRound::First && known_start != Some(lookup.started_at) {
            self.started.push_back((lookup.started_at, flow));
        }
        if matches!(lookup.round, LookupRound::Ended { .. }) {
            self.ended_rounds
                .push_back((lookup.sent_at, flow, lookup.lookup_id));
        }
        self.lookups.insert(flow, lookup);
    }

    /// Returns the lookup of a flow.
    pub(crate) fn get(&self, flow: FlowKey) -> Option<&OwnerLookup> {
        self.lookups.get(&flow)
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
            .awaited_chains
            .iter()
            .position(|chain| chain.last() == Some(&agent))?;
        let chain = lookup.awaited_chains.swap_remove(position);
        lookup.denied_agents.extend(chain);
        if !lookup.awaited_chains.is_empty() {
            return None;
        }
        self.lookups.remove(&flow)
    }

    /// Removes the lookup of a flow.
    pub(crate) fn remove(&mut self, flow: FlowKey) {
        self.lookups.remove(&flow);
    }

    /// Removes and returns the next lookup that has not ended in the time after which
    /// all agents are asked at once, if `may_widen` allows that for its flow.
    pub(crate) fn take_due(
        &mut self,
        now: ClockMillis,
        may_widen: impl Fn(FlowKey) -> bool,
    ) -> Option<(FlowKey, OwnerLookup)> {
        while let Some((started_at, flow)) = self.started.front().copied() {
            if started_at.after(WIDE_AFTER_MILLIS) > now {
                return None;
            }
            if now.since(self.wide_window.0) >= WIDE_WINDOW_MILLIS {
                self.wide_window = (now, 0);
            }
            self.started.pop_front();
            let is_due = |lookup: &OwnerLookup| match lookup.round {
                LookupRound::First | LookupRound::Others => lookup.wide_at() <= now,
                LookupRound::Wide | LookupRound::Ended { .. } => false,
            };
            if self.lookups.get(&flow).is_some_and(is_due)
                && self.wide_window.1 < MAX_WIDE_ROUNDS
                && may_widen(flow)
            {
                self.wide_window.1 += 1;
                return self.lookups.remove(&flow).map(|lookup| (flow, lookup));
            }
        }
        None
    }

    /// Returns how many of `wanted` further chains an attempt may have, and counts them.
    pub(crate) fn take_further_chains(&mut self, wanted: usize, now: ClockMillis) -> usize {
        if now.since(self.chain_window.0) >= WIDE_WINDOW_MILLIS {
            self.chain_window = (now, 0);
        }
        let allowed = wanted.min(MAX_FURTHER_CHAINS - self.chain_window.1);
        self.chain_window.1 += allowed;
        allowed
    }

    /// Removes and returns the next lookup whose agents with an ended target had time
    /// for an answer and did not all give one.
    pub(crate) fn take_unanswered(&mut self, now: ClockMillis) -> Option<OwnerLookup> {
        while let Some((sent_at, flow, lookup_id)) = self.ended_rounds.front().copied() {
            if sent_at.after(ENDED_ANSWER_MILLIS) > now {
                return None;
            }
            self.ended_rounds.pop_front();
            let lookup = self.lookups.get(&flow);
            if lookup.is_some_and(|lookup| lookup.lookup_id == lookup_id) {
                return self.lookups.remove(&flow);
            }
        }
        None
    }

    /// Returns when a lookup may next be due; it may end before.
    pub(crate) fn next_due(&self) -> Option<ClockMillis> {
        if self.lookups.is_empty() {
            return None;
        }
        let wide_rounds = self.started.front();
        let wide_at = wide_rounds.map(|(started_at, _)| started_at.after(WIDE_AFTER_MILLIS));
        let ended_rounds = self.ended_rounds.front();
        let ended_at = ended_rounds.map(|(sent_at, ..)| sent_at.after(ENDED_ANSWER_MILLIS));
        wide_at.into_iter().chain(ended_at).min()
    }

    /// Ends the wait for reports of lookups that did not get them in time, and drops
    /// those whose flow sent no other packet since.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        self.lookups
            .retain(|_, lookup| now.since(lookup.sent_at) < ATTEMPT_MEMORY_MILLIS);
        for lookup in self.lookups.values_mut() {
            if now.since(lookup.sent_at) >= LOOKUP_TIMEOUT_MILLIS {
                lookup.awaited_chains.clear();
            }
        }
    }
}
