use std::collections::HashMap;

use super::{ConnectionKey, ModelMicros, RequestKey, SystemProfile, WaitingLine};

/// One target with the agent beside it.
#[derive(Debug, Default)]
pub(crate) struct TargetStation {
    /// Whether it takes part.
    pub(crate) phase: StationPhase,
    /// The part of the full speed at which it works.
    pub(crate) speed: f64,
    /// What waits for its slots.
    pub(crate) line: WaitingLine,
    /// What runs, and when it began.
    pub(crate) running: HashMap<RequestKey, ModelMicros>,
    /// The requests for which a slot is held.
    pub(crate) held: Vec<RequestKey>,
    /// The connections that it keeps.
    pub(crate) connections: Vec<ConnectionKey>,
    /// The connections at its last report.
    pub(crate) reported: usize,
    /// Counts its runs, so that the events of an earlier one are ignored.
    pub(crate) epoch: u32,
    /// The retries and first sends that it admitted of late.
    pub(crate) retry_tokens: f64,
    /// Whether it waits for the answer to a steal.
    pub(crate) is_stealing: bool,
}

/// Whether a target takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum StationPhase {
    /// It doesn't exist.
    #[default]
    Absent,
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Leaving,
    /// It exists and nothing reaches it or comes from it.
    Silent,
}

impl TargetStation {
    /// Creates a target that serves at full speed.
    pub(crate) fn new() -> Self {
        Self {
            phase: StationPhase::Serving,
            speed: 1.0,
            ..Self::default()
        }
    }

    /// Returns the slots that neither run nor are held.
    pub(crate) fn free_slots(&self) -> usize {
        SystemProfile::SLOTS.saturating_sub(self.running.len() + self.held.len())
    }

    /// Returns what runs, is held or waits here.
    pub(crate) fn load(&self) -> usize {
        self.running.len() + self.held.len() + self.line.own_len()
    }

    /// Tells whether messages reach it and leave it.
    pub(crate) const fn is_reachable(&self) -> bool {
        matches!(self.phase, StationPhase::Serving | StationPhase::Leaving)
    }
}
