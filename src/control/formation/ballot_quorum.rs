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
    /// has forgotten, as far as the others of them know.
    pub(crate) fn decided(&self) -> Option<Vec<&T>> {
        let replies: Vec<(ReplicaId, &SeedView, &T)> = self
            .replies
            .iter()
            .map(|(seed, (view, reply))| (*seed, view, reply))
            .collect();
        self.select(&replies, &mut Vec::new())
    }

    /// Completes `selected` with replies from `rest` that agree with each other.
    fn select<'a>(
        &self,
        rest: &[(ReplicaId, &'a SeedView, &'a T)],
        selected: &mut Vec<(ReplicaId, &'a SeedView, &'a T)>,
    ) -> Option<Vec<&'a T>> {
        if selected.len() == self.needed {
            return Some(selected.iter().map(|(_, _, reply)| *reply).collect());
        }
        if selected.len() + rest.len() < self.needed {
            return None;
        }
        let (next, rest) = rest.split_first()?;
        let agrees = selected.iter().all(|(seed, view, _)| {
            view.agrees_with(next.0, next.1.own) && next.1.agrees_with(*seed, view.own)
        });
        if agrees {
            selected.push(*next);
            if let Some(replies) = self.select(rest, selected) {
                return Some(replies);
            }
            selected.pop();
        }
        self.select(rest, selected)
    }
}
