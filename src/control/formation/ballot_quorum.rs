use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::control::replica::ReplicaId;

/// The incarnations of the seeds as one of them knows them; each loss of its memory
/// gives a seed a new incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct SeedView {
    pub(crate) own: u64,
    /// The other seeds whose incarnation is known: those that have recovered with the
    /// help of this seed, and those that helped it.
    pub(crate) others: BTreeMap<ReplicaId, u64>,
}

impl SeedView {
    /// Returns whether a reply of `seed` in the incarnation `incarnation` may count
    /// beside one with this view.
    fn agrees_with(&self, seed: ReplicaId, incarnation: u64) -> bool {
        let known = self.others.get(&seed);
        known.is_none_or(|known| *known == incarnation)
    }
}

/// Returns the number of seeds whose replies decide a ballot.
pub(crate) fn quorum_of(seeds: usize) -> usize {
    seeds / 2 + 1
}

/// The replies of seeds to one phase of a ballot.
#[derive(Debug, Clone)]
pub(crate) struct BallotQuorum<T> {
    needed: usize,
    replies: BTreeMap<ReplicaId, (SeedView, T)>,
}

impl<T> BallotQuorum<T> {
    /// Creates the quorum of a ballot among `seeds` seeds, without replies.
    pub(crate) fn new(seeds: usize) -> Self {
        Self {
            needed: quorum_of(seeds),
            replies: BTreeMap::new(),
        }
    }

    /// Records a reply.
    pub(crate) fn insert(&mut self, seed: ReplicaId, view: SeedView, reply: T) {
        self.replies.insert(seed, (view, reply));
    }

    /// Returns replies that decide the ballot: enough of them, and none that its seed
    /// has forgotten, as far as the others know.
    pub(crate) fn decided(&self) -> Option<Vec<&T>> {
        let consistent: Vec<&(SeedView, T)> = self
            .replies
            .iter()
            .filter(|(seed, (view, _))| {
                let others = self.replies.values();
                let mut views = others.map(|(other, _)| other);
                views.all(|other| other.agrees_with(**seed, view.own))
            })
            .map(|(_, reply)| reply)
            .collect();
        (consistent.len() >= self.needed)
            .then(|| consistent.into_iter().map(|(_, reply)| reply).collect())
    }
}
