use slotmap::new_key_type;

use super::{ConnectionKey, ModelMicros};
use crate::manifest::RequestPriority;

new_key_type! {
    /// Names a request of a run.
    pub(crate) struct RequestKey;
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct ModelRequest {
    /// The connection that brought it.
    pub(crate) connection: ConnectionKey,
    /// The target of that connection.
    pub(crate) home: usize,
    /// Its place in the queues.
    pub(crate) priority: RequestPriority,
    /// The time that it needs in a slot at full speed.
    pub(crate) work: ModelMicros,
    /// When it reached its home.
    pub(crate) arrived: ModelMicros,
    /// Where it stands.
    pub(crate) state: RequestState,
    /// The peers that hold a claim of it.
    pub(crate) claims: Vec<usize>,
    /// The best probed queue so far, and the replies still missing.
    pub(crate) probe: ProbeState,
    /// How often its caller sent it again.
    pub(crate) resends: u8,
    /// Whether its caller sent it again and waits no more for this one.
    pub(crate) is_abandoned: bool,
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// It waits for a slot.
    Waiting,
    /// It is on its way to a target.
    Sent(usize),
    /// It runs at a target.
    Running(usize),
}

/// The answers to the probes of a request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProbeState {
    /// The replies still missing.
    pub(crate) missing: usize,
    /// The shortest queue that answered and its length.
    pub(crate) best: Option<(usize, usize)>,
}
