use slotmap::new_key_type;

use super::{CallerKey, ModelMicros};
use crate::manifest::RequestPriority;

new_key_type! {
    /// Identifies a request within a run.
    pub(crate) struct RequestKey;
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct ModelRequest {
    /// The caller that sent it.
    pub(crate) caller: CallerKey,
    /// The target of the caller's connection.
    pub(crate) home: usize,
    /// Its priority in the queues.
    pub(crate) priority: RequestPriority,
    /// The time in a slot at full speed.
    pub(crate) service_time: ModelMicros,
    /// The time of its arrival at its home.
    pub(crate) arrived: ModelMicros,
    pub(crate) state: RequestState,
    /// The peers with an open claim for it.
    pub(crate) claims: Vec<usize>,
    /// The replies to its probes.
    pub(crate) probe: ProbeState,
    /// How often its caller has resent it.
    pub(crate) resends: u8,
    /// Whether its caller timed out and no longer waits for it.
    pub(crate) is_abandoned: bool,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// Waiting for a slot.
    Waiting,
    /// On its way to this target.
    Sent(usize),
    /// Running at this target.
    Running(usize),
}

/// The replies to the probes of a request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProbeState {
    /// The number of missing replies.
    pub(crate) pending_replies: usize,
    /// The target with the shortest queue so far, and the length.
    pub(crate) shortest: Option<(usize, usize)>,
}
