use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::ClockMillis;

/// The longest connection ID of QUIC version 1, in bytes.
const LONGEST_CID: usize = 20;
/// The seed of the hash that decides the share of a warming target.
const WARMING_SEED: u64 = 0x7761_726d;

/// The connection ID that a client chose for its first packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct ClientCid {
    length: u8,
    bytes: [u8; LONGEST_CID],
}

impl ClientCid {
    /// Copies an ID; returns nothing if it is longer than QUIC allows.
    pub(crate) fn new(source: &[u8]) -> Option<Self> {
        let length = u8::try_from(source.len()).ok()?;
        let mut bytes = [0; LONGEST_CID];
        bytes.get_mut(..source.len())?.copy_from_slice(source);
        Some(Self { length, bytes })
    }

    /// Returns the same number below a thousand for the same ID.
    pub(super) fn draw_permille(&self) -> u64 {
        let bytes = &self.bytes[..usize::from(self.length)];
        xxh3_64_with_seed(bytes, WARMING_SEED) % 1_000
    }
}

/// Where an agent stands in the chain of candidates of a first packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CandidatePlace {
    /// Another candidate follows.
    Followed,
    /// No other candidate follows; this agent has to answer.
    Last,
}

/// How much a target has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TargetLoad {
    /// Requests that run or wait.
    pub(crate) requests: u32,
    /// Requests that run at most at once.
    pub(crate) slots: u32,
    /// Open connections.
    pub(crate) connections: u32,
    /// Connections that are open at most at once.
    pub(crate) connection_limit: u32,
}

impl TargetLoad {
    /// Returns the requests in thousandths of the slots.
    pub(crate) fn work_permille(self) -> u32 {
        self.requests.saturating_mul(1_000) / self.slots.max(1)
    }
}

/// What a peer last told of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerLoad {
    /// The load that it told.
    pub(crate) load: TargetLoad,
    /// When the report came in.
    pub(crate) seen: ClockMillis,
}

/// A new connection, as far as the decision needs to know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionOffer {
    /// The ID that every first packet of the connection carries.
    pub(crate) cid: ClientCid,
    /// Where this agent stands in the chain.
    pub(crate) place: CandidatePlace,
    /// What the next candidate last told, if there is one and it did.
    pub(crate) next: Option<PeerLoad>,
}
