use crate::key::TargetKey;

/// The most candidates of a first packet.
pub const CHAIN_LENGTH: usize = 3;

/// The candidates of a first packet, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TargetChain {
    targets: [Option<TargetKey>; CHAIN_LENGTH],
}

impl TargetChain {
    /// Creates an empty chain.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            targets: [None; CHAIN_LENGTH],
        }
    }

    /// Adds a candidate unless it is listed already or the chain is full.
    pub fn push(&mut self, target: TargetKey) {
        if self.targets.contains(&Some(target)) {
            return;
        }
        if let Some(free) = self.targets.iter_mut().find(|slot| slot.is_none()) {
            *free = Some(target);
        }
    }

    /// Returns the candidates in their order.
    pub fn iter(&self) -> impl Iterator<Item = TargetKey> + '_ {
        self.targets.iter().flatten().copied()
    }

    /// Returns the number of candidates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.iter().count()
    }

    /// Returns whether there is no candidate.
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

    /// Returns the chain with the candidates that `is_suspect` moved last.
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
