//! Load balancing per request: slot reservations at peer agents.
//!
//! A request that finds all local slots in use waits in the local queue and
//! claims a slot at a few peers. It runs on the first slot that becomes free.
//! Peers queue only the claim, never the request, so the request runs in at
//! most one place whichever messages are lost.

mod claim_frame;
mod incoming_claims;
mod outgoing_claims;
mod peer_sample;
mod slot_broker;

pub(crate) use claim_frame::{AddressedFrame, AgentIdentity, ClaimFrame, ClaimKey, ClaimMessage};
pub(crate) use incoming_claims::{BindVerdict, IncomingClaims, IncomingOutput};
pub(crate) use outgoing_claims::OutgoingClaims;
pub(crate) use peer_sample::{PeerView, sample_peers};
pub(crate) use slot_broker::{BrokerOutput, PeerGrant, SlotBroker};

#[cfg(test)]
mod tests;
