//! Balance per request: claims on the slots of peers.
//!
//! A request that finds its own slots taken stays in the own queue and puts
//! claims on slots of a few peers. The first free slot anywhere gets it. Only
//! claims are queued at peers, never the request, so it runs in one place
//! whatever messages are lost.

mod claim_book;
mod claim_desk;
mod claim_frame;
mod peer_sample;
mod slot_broker;

pub(crate) use claim_book::ClaimBook;
pub(crate) use claim_desk::{BindVerdict, ClaimDesk, DeskOutput};
pub(crate) use claim_frame::{AgentIdentity, ClaimFrame, ClaimKey, ClaimMessage, ClaimSend};
pub(crate) use peer_sample::{PeerView, sample_peers};
pub(crate) use slot_broker::{BrokerOutput, PeerGrant, SlotBroker};

#[cfg(test)]
mod tests;
