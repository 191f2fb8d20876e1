use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::ClockMillis;

/// The maximum length of a QUIC version 1 connection ID.
const MAX_CID_BYTES: usize = 20;
/// Seed of the hash that selects the connections a warming target accepts.
const WARM_UP_HASH_SEED: u64 = 0x7761_726d;

/// The destination connection ID that a client chose for its first packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct ClientCid {
    length: u8,
    bytes: [u8; MAX_CID_BYTES],
}

impl ClientCid {
    /// Copies an ID; returns `None` if it is longer than QUIC version 1 allows.
    pub(crate) fn new(source: &[u8]) -> Option<Self> {
        let length = u8::try_from(source.len()).ok()?;
        let mut bytes = [0; MAX_CID_BYTES];
        bytes.get_mut(..source.len())?.copy_from_slice(source);
        Some(Self { length, bytes })
    }

    /// Hashes the ID to a number below 1000.
    pub(super) fn hash_permille(&self) -> u64 {
        let bytes = &self.bytes[..usize::from(self.length)];
        xxh3_64_with_seed(bytes, WARM_UP_HASH_SEED) % 1_000
    }
}

/// An agent's position in the candidate list of a first packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CandidatePosition {
    /// Another candidate follows this agent.
    HasNext,
    /// No candidate follows: this agent must accept or refuse.
    Last,
}

/// The load of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TargetLoad {
    /// Requests that run or wait for a slot.
    pub(crate) requests: u32,
    /// The maximum number of concurrent requests.
    pub(crate) slots: u32,
    /// Open connections.
    pub(crate) connections: u32,
    /// The maximum number of open connections.
    pub(crate) connection_limit: u32,
}

impl TargetLoad {
    /// Returns the requests in thousandths of the slots.
    pub(crate) fn request_load_permille(self) -> u32 {
        self.requests.saturating_mul(1_000) / self.slots.max(1)
    }
}

/// The last load report of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerLoad {
    /// The reported load.
    pub(crate) load: TargetLoad,
    /// When the report arrived.
    pub(crate) reported_at: ClockMillis,
}

/// What the admission decision needs to know about a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionAttempt {
    /// The ID on every first packet of the connection.
    pub(crate) cid: ClientCid,
    /// This agent's position in the candidate list.
    pub(crate) position: CandidatePosition,
    /// The next candidate's last load report, if there is one.
    pub(crate) next_load: Option<PeerLoad>,
}
