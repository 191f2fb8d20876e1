use std::collections::BTreeMap;

use super::{
    AcceptorState, FormationBody, acceptor_state::SeedMemo, ballot_number::BallotNumber,
    formation_limits::MAX_ROUND_STEP, group_proposal::GroupProposal,
};
use crate::control::replica::ReplicaId;

/// An acceptor of Paxos that notices when it has forgotten its promises.
#[derive(Debug)]
pub(crate) struct SeedAcceptor {
    state: AcceptorState,
    /// Whether the state may lack promises that were made before a restart.
    forgotten: bool,
    /// What the other seeds have told this incarnation since it has forgotten.
    recovery: BTreeMap<ReplicaId, SeedMemo>,
}

/// An answer of the acceptor.
#[derive(Debug)]
pub(crate) struct AcceptorReply {
    /// The answer, `None` if there is none.
    pub(crate) body: Option<FormationBody>,
    /// Whether the state has changed and is to be synced before the answer is sent.
    pub(crate) changed: bool,
}

impl AcceptorReply {
    const NONE: Self = Self {
        body: None,
        changed: false,
    };

    fn new(body: FormationBody, changed: bool) -> Self {
        Self {
            body: Some(body),
            changed,
        }
    }
}

impl SeedAcceptor {
    /// Creates an acceptor that remembers `state`.
    pub(crate) fn new(state: AcceptorState) -> Self {
        Self {
            state,
            forgotten: false,
            recovery: BTreeMap::new(),
        }
    }

    /// Creates an acceptor that has forgotten; it answers no ballot until it has
    /// recovered. `state` is an empty one of a new incarnation.
    pub(crate) fn without_memory(state: AcceptorState) -> Self {
        Self {
            forgotten: true,
            ..Self::new(state)
        }
    }

    pub(crate) fn has_forgotten(&self) -> bool {
        self.forgotten
    }

    pub(crate) fn state(&self) -> &AcceptorState {
        &self.state
    }

    /// Counts as having promised nothing.
    pub(crate) fn trust_empty_state(&mut self) {
        self.forgotten = false;
    }

    /// Handles `Prepare`.
    pub(crate) fn prepare(&mut self, ballot: BallotNumber) -> AcceptorReply {
        if let Some(refusal) = self.refusal(ballot) {
            return refusal;
        }
        let changed = self.state.promised != Some(ballot);
        self.state.promised = Some(ballot);
        let promise = FormationBody::Promise {
            ballot,
            view: self.state.view.clone(),
            accepted: self.state.accepted.clone(),
        };
        AcceptorReply::new(promise, changed)
    }

    /// Handles `Accept`.
    pub(crate) fn accept(
        &mut self,
        ballot: BallotNumber,
        proposal: &GroupProposal,
    ) -> AcceptorReply {
        if !proposal.is_valid() {
            return AcceptorReply::NONE;
        }
        if let Some(refusal) = self.refusal(ballot) {
            return refusal;
        }
        let accepted = Some((ballot, proposal.clone()));
        let changed = self.state.accepted != accepted || self.state.promised != Some(ballot);
        self.state.promised = Some(ballot);
        self.state.accepted = accepted;
        let view = self.state.view.clone();
        AcceptorReply::new(FormationBody::Accepted { ballot, view }, changed)
    }

    /// Returns the answer to a ballot that is not considered.
    fn refusal(&self, ballot: BallotNumber) -> Option<AcceptorReply> {
        let known_round = self.state.promised.map_or(0, |promised| promised.round);
        if self.forgotten || ballot.round > known_round.saturating_add(MAX_ROUND_STEP) {
            return Some(AcceptorReply::NONE);
        }
        let promised = self.state.promised.filter(|promised| *promised > ballot)?;
        let rejected = FormationBody::Rejected { ballot, promised };
        Some(AcceptorReply::new(rejected, false))
    }

    /// Tells a seed that has forgotten what this one remembers. From then on, replies of
    /// that seed's earlier incarnations don't count beside replies of this one.
    pub(crate) fn help_recovery(&mut self, seed: ReplicaId, incarnation: u64) -> AcceptorReply {
        if self.forgotten {
            return AcceptorReply::NONE;
        }
        let known = self.state.view.others.insert(seed, incarnation);
        let memo = SeedMemo {
            view: self.state.view.clone(),
            promised: self.state.promised,
            accepted: self.state.accepted.clone(),
        };
        let answer = FormationBody::RecoveryState { incarnation, memo };
        AcceptorReply::new(answer, known != Some(incarnation))
    }

    /// Records what another seed remembers; returns whether this one has recovered.
    ///
    /// That takes all others: each quorum with a reply that was forgotten then includes
    /// one that remembers.
    pub(crate) fn recover(&mut self, from: ReplicaId, incarnation: u64, memo: SeedMemo) -> bool {
        if !self.forgotten || incarnation != self.state.view.own {
            return false;
        }
        self.recovery.insert(from, memo);
        if self.recovery.len() + 1 < self.state.seeds.len() {
            return false;
        }
        for (seed, memo) in std::mem::take(&mut self.recovery) {
            self.state.merge(seed, memo);
        }
        self.forgotten = false;
        true
    }
}
