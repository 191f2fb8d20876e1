use crate::{agent::admission::AgentPhase, key::TargetKey, route::TargetChain};

/// The candidates for a connection after this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NextCandidates {
    /// Those that the balancer or the agent before this one named.
    Named(TargetChain),
    /// A peer that takes over from an agent that leaves.
    Successor(TargetKey),
}

impl NextCandidates {
    /// Returns the candidates after the agent `own`, which got the chain `named`.
    ///
    /// A balancer that does not know yet that an agent leaves may name it last, after
    /// candidates that passed the connection on only because they seemed more loaded.
    /// One of `successors` takes over then, chosen by `hash`.
    pub(super) fn new(
        named: TargetChain,
        own: TargetKey,
        phase: AgentPhase,
        successors: &[TargetKey],
        hash: u64,
    ) -> Self {
        let is_handed_over = named.iter().next() == Some(own);
        if is_handed_over {
            return Self::Named(TargetChain::new());
        }
        let index = hash % successors.len().max(1) as u64;
        let successor = usize::try_from(index)
            .ok()
            .and_then(|index| successors.get(index));
        match (phase, successor) {
            (AgentPhase::Leaving, Some(successor)) if named.is_empty() => {
                Self::Successor(*successor)
            }
            _ => Self::Named(named),
        }
    }

    /// Returns the candidates in their order.
    pub(super) fn chain(self) -> TargetChain {
        match self {
            Self::Named(chain) => chain,
            Self::Successor(peer) => TargetChain::new().with(peer),
        }
    }

    /// Returns the candidates that the next one is told, `rest` being those after it.
    ///
    /// A successor is told its own name: it must not hand the connection over again,
    /// since peers that leave at the same time could do so without end.
    pub(super) fn after_next(self, rest: TargetChain) -> TargetChain {
        match self {
            Self::Named(_) => rest,
            Self::Successor(peer) => TargetChain::new().with(peer),
        }
    }
}
