use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    clock::SpanMillis,
    key::{IncarnationId, TargetKey},
    manifest::RequestPriority,
};

/// Identifies one run of the agent beside a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct AgentIdentity {
    /// The target.
    pub(crate) target: TargetKey,
    /// The incarnation of its agent.
    pub(crate) incarnation: IncarnationId,
}

/// Identifies a claim by the claiming agent and a sequence number.
///
/// Numbers are not reused, so a late message about a closed claim can't affect
/// another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ClaimKey {
    /// The agent whose request waits.
    pub(crate) claimant: AgentIdentity,
    /// The number of the claim within that run.
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

/// The text is not a claim key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the text is not a claim key")]
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

/// A message about a claim between agents of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimMessage {
    /// A request needs a slot; resent while it waits.
    Claim {
        /// The priority of the request.
        priority: RequestPriority,
        /// The time left until the request's deadline.
        #[serde(rename = "left")]
        time_left: SpanMillis,
    },
    /// A slot is reserved for the claim until a timeout.
    Grant,
    /// The claimant accepts the granted slot; its request follows.
    Bind,
    /// The claimant no longer needs the slot or its place in the queue.
    Release,
    /// The claim is refused: no slot is expected in time.
    Refuse {
        /// How long to wait before another claim.
        retry_after: SpanMillis,
    },
}

/// A claim message with its sender, sent as one datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimFrame {
    /// The sending agent.
    pub(crate) sender: AgentIdentity,
    /// The claim the message is about.
    pub(crate) key: ClaimKey,
    /// The message.
    pub(crate) message: ClaimMessage,
}

/// A frame and its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AddressedFrame {
    /// The target whose agent receives the frame.
    pub(crate) to: TargetKey,
    /// The frame.
    pub(crate) frame: ClaimFrame,
}
