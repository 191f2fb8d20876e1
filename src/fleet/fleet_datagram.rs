use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::agent_policy::AgentPolicy;
use crate::{
    control::formation::FormationMessage,
    directory::TargetRecord,
    flow::{FlowReport, LongFlowList},
};

/// The largest datagram between processes, in bytes.
pub(super) const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A datagram between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum FleetDatagram {
    /// An agent announces its target. The record's attributes follow the datagram;
    /// builds without them ignore them.
    Announce(TargetRecord),
    /// Asks for the members of the control group.
    Locate,
    /// The members of the control group that the sender knows.
    Located {
        /// Their addresses; empty if the sender knows none.
        members: Vec<Ipv4Addr>,
        /// The sender, which follows the datagram; builds without it ignore it.
        #[serde(skip)]
        sender: Option<Ipv4Addr>,
    },
    /// An agent reports on a flow.
    Report(FlowReport),
    /// A replica that has just started asks a process that ran before to contact
    /// it: an agent announces its target, a balancer asks for the members.
    Recall {
        /// The members of the control group.
        members: Vec<Ipv4Addr>,
        /// The sender, as in `Located`.
        #[serde(skip)]
        sender: Option<Ipv4Addr>,
    },
    /// A replica tells an agent what is in force for its target, in answer to its
    /// announcement.
    Policy(AgentPolicy),
    /// An agent tells a replica of its target's long flows.
    LongFlows(LongFlowList),
    /// Forms the group at the first start.
    Formation(FormationMessage),
}

impl FleetDatagram {
    /// Encodes the datagram; `None` if it exceeds `MAX_DATAGRAM_BYTES`.
    pub(super) fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = postcard::to_stdvec(self).ok()?;
        match self {
            Self::Announce(record) => bytes.extend(postcard::to_stdvec(&record.attributes).ok()?),
            Self::Located { sender, .. } | Self::Recall { sender, .. } => {
                bytes.extend(postcard::to_stdvec(sender).ok()?);
            }
            _ => {}
        }
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Decodes a datagram; `None` if the bytes are malformed.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (mut datagram, rest): (Self, &[u8]) = postcard::take_from_bytes(bytes).ok()?;
        match &mut datagram {
            _ if rest.is_empty() => {}
            Self::Announce(record) => record.attributes = postcard::from_bytes(rest).ok()?,
            Self::Located { sender, .. } | Self::Recall { sender, .. } => {
                *sender = postcard::from_bytes(rest).ok()?;
            }
            _ => {}
        }
        Some(datagram)
    }
}
