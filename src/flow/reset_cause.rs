use super::{FlowKey, FlowReset, RefusalCause};
use crate::{
    clock::{ClockMillis, SpanMillis},
    key::IncarnationId,
};

/// Why one of our processes sends a reset to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResetCause {
    /// A balancer does not forward the packet.
    Refused(RefusalCause),
    /// No agent that a balancer asked holds the flow.
    NotHeld,
    /// The target of a long flow runs as another incarnation.
    OtherIncarnation,
    /// The target told its agent that it ended.
    TargetEnded,
    /// Nothing listens at the target's address.
    TargetLost,
    /// The target told its agent of another incarnation.
    TargetRestarted,
    /// The target bounced a packet of a flow that it held.
    FlowBounced,
    /// No agent is left that may take the opening.
    OpeningRefused,
    /// The target can't serve an opening that was queued.
    WaitRefused,
}

impl ResetCause {
    /// Returns the cause as the label of a metric and in log lines.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Refused(RefusalCause::NoRoute) => "no_route",
            Self::Refused(RefusalCause::NoTarget) => "no_target",
            Self::Refused(RefusalCause::NotReady) => "not_ready",
            Self::Refused(RefusalCause::OwnerUnknown) => "owner_unknown",
            Self::Refused(RefusalCause::LinkFull) => "link_full",
            Self::Refused(RefusalCause::TargetGone(_)) => "target_gone",
            Self::NotHeld => "not_held",
            Self::OtherIncarnation => "other_incarnation",
            Self::TargetEnded => "target_ended",
            Self::TargetLost => "target_lost",
            Self::TargetRestarted => "target_restarted",
            Self::FlowBounced => "flow_bounced",
            Self::OpeningRefused => "opening_refused",
            Self::WaitRefused => "wait_refused",
        }
    }
}

/// A reset that an agent sends, with the facts that it rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AgentReset {
    pub(crate) reset: FlowReset,
    pub(crate) cause: ResetCause,
    /// The incarnation of the target that held the flow, if it was known.
    pub(crate) incarnation: Option<IncarnationId>,
    /// When the agent first saw the flow, if that was established.
    pub(crate) established_since: Option<ClockMillis>,
}

/// A reset of a flow that no agent holds, with the facts that it rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct UnheldFlow {
    pub(crate) reset: FlowReset,
    pub(crate) progress: LookupProgress,
}

/// How far the lookup of a flow's owner has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LookupProgress {
    pub(crate) flow: FlowKey,
    /// The number of agents that were asked.
    pub(crate) asked: usize,
    /// The number of chains of the last round that have not answered.
    pub(crate) unanswered: usize,
    /// The number of rounds so far.
    pub(crate) rounds: u32,
    /// The time since the owner is unknown.
    pub(crate) unknown_for: SpanMillis,
}
