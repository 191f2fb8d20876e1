use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    clock::SpanMillis,
    key::{IncarnationId, TargetKey},
    manifest::RequestPriority,
};

/// One run of the agent beside a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct AgentIdentity {
    /// The target.
    pub(crate) target: TargetKey,
    /// The run of its agent.
    pub(crate) incarnation: IncarnationId,
}

/// Names a claim: the agent whose request it is for, and a number.
///
/// Every claim has its own number, so that a message about one that has ended
/// can't touch another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ClaimKey {
    /// The agent whose request waits.
    pub(crate) claimant: AgentIdentity,
    /// Counts the claims of that run.
    pub(crate) sequence: u64,
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AgentIdentity {
            target,
            incarnation,
        } = self.claimant;
        write!(formatter, "{target}/{incarnation}/{}", self.sequence)
    }
}

/// The text names no claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the text names no claim")]
pub(crate) struct ClaimKeyError;

impl FromStr for ClaimKey {
    type Err = ClaimKeyError;

    fn from_str(text: &str) -> Result<Self, ClaimKeyError> {
        let mut parts = text.splitn(3, '/');
        let mut next = || parts.next().ok_or(ClaimKeyError);
        let address = next()?.parse().map_err(|_| ClaimKeyError)?;
        let incarnation = next()?.parse().map_err(|_| ClaimKeyError)?;
        let sequence = next()?.parse().map_err(|_| ClaimKeyError)?;
        Ok(Self {
            claimant: AgentIdentity {
                target: TargetKey::new(address),
                incarnation,
            },
            sequence,
        })
    }
}

/// What agents of one service tell each other about a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimMessage {
    /// A request wants a slot; sent again while it waits.
    Claim {
        /// The place in the queue.
        priority: RequestPriority,
        /// The time left until the request's deadline.
        left: SpanMillis,
    },
    /// A slot is held for the claim for a short while.
    Grant,
    /// The request is on its way to the granted slot.
    Bind,
    /// The slot or the place in the queue is not wanted any more.
    Release,
    /// No slot can be had in time.
    Refuse {
        /// When to come back.
        retry_after: SpanMillis,
    },
}

/// A message between two agents, as one datagram carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimFrame {
    /// Who sent it.
    pub(crate) sender: AgentIdentity,
    /// The claim that it is about.
    pub(crate) key: ClaimKey,
    /// What it says.
    pub(crate) message: ClaimMessage,
}

/// A frame and the target whose agent is to get it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClaimSend {
    /// Whose agent gets it.
    pub(crate) to: TargetKey,
    /// What it gets.
    pub(crate) frame: ClaimFrame,
}
