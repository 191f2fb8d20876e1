//! Sequence numbers that other processes state.

mod sequence_guard;
mod sequence_streak;
#[cfg(test)]
mod tests;

pub(crate) use sequence_guard::{SequenceGuard, SequenceVerdict};
pub(crate) use sequence_streak::SequenceStreak;
