use crate::key::TargetKey;

/// Maximum number of candidates for a first packet.
pub const MAX_CHAIN_LENGTH: usize = 3;

/// The candidates for a first packet, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TargetChain {
    targets: [Option<TargetKey>; MAX_CHAIN_LENGTH],
}

impl TargetChain {
    /// Creates an empty chain.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            targets: [None; MAX_CHAIN_LENGTH],
        }
    }

    /// Appends a candidate unless it is already present or the chain is full.
    pub fn push(&mut self, target: TargetKey) {
        if self.targets.contains(&Some(target)) {
            return;
        }
        if let Some(free) = self.targets.iter_mut().find(|slot| slot.is_none()) {
            *free = Some(target);
        }
    }

    /// Appends a candidate like [`Self::push`].
    #[must_use]
    pub fn with(mut self, target: TargetKey) -> Self {
        self.push(target);
        self
    }

    /// Iterates over the candidates, best first.
    pub fn iter(&self) -> impl Iterator<Item = TargetKey> + '_ {
        self.targets.iter().flatten().copied()
    }

    /// Returns the number of candidates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.iter().count()
    }

    /// Returns whether there are no candidates.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets[0].is_none()
    }

    /// Splits the best candidate off from the rest.
    #[must_use]
    pub fn split_first(&self) -> Option<(TargetKey, Self)> {
        let first = self.targets[0]?;
        let mut rest = Self::new();
        self.iter().skip(1).for_each(|target| rest.push(target));
        Some((first, rest))
    }

    /// Returns the chain with the candidates that match `is_suspect` moved to the end.
    #[must_use]
    pub fn with_suspects_last(&self, is_suspect: impl Fn(TargetKey) -> bool) -> Self {
        let mut chain = Self::new();
        self.iter()
            .filter(|target| !is_suspect(*target))
            .for_each(|target| chain.push(target));
        self.iter().for_each(|target| chain.push(target));
        chain
    }
}
