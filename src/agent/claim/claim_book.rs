use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use super::{AgentIdentity, ClaimFrame, ClaimKey, ClaimMessage, ClaimSend, PeerGrant};
use crate::{
    agent::slot::{SlotRequest, WaiterKey},
    clock::{ClockMillis, SpanMillis},
    key::TargetKey,
};

/// How often a claim is sent again while its request waits.
const REFRESH_MILLIS: SpanMillis = SpanMillis::new(50);

/// A claim of an own request at a few peers.
#[derive(Debug)]
struct OpenClaim {
    waiter: WaiterKey,
    request: SlotRequest,
    peers: Vec<TargetKey>,
    refresh_at: ClockMillis,
}

/// The claims that own requests have at peers.
#[derive(Debug)]
pub(crate) struct ClaimBook {
    own: AgentIdentity,
    last: u64,
    claims: BTreeMap<u64, OpenClaim>,
    sequences: SecondaryMap<WaiterKey, u64>,
}

impl ClaimBook {
    /// Creates an empty book.
    pub(crate) fn new(own: AgentIdentity) -> Self {
        Self {
            own,
            last: 0,
            claims: BTreeMap::new(),
            sequences: SecondaryMap::new(),
        }
    }

    /// Puts claims for a waiting request at the given peers.
    pub(crate) fn place(
        &mut self,
        waiter: WaiterKey,
        request: SlotRequest,
        peers: Vec<TargetKey>,
        now: ClockMillis,
    ) -> Vec<ClaimSend> {
        if peers.is_empty() {
            return Vec::new();
        }
        self.last += 1;
        let claim = OpenClaim {
            waiter,
            request,
            peers,
            refresh_at: now.after(REFRESH_MILLIS),
        };
        let sends = self.claim_sends(self.last, &claim, now);
        self.claims.insert(self.last, claim);
        self.sequences.insert(waiter, self.last);
        sends
    }

    /// Takes the claims back of a request that waits no more.
    pub(crate) fn withdraw(&mut self, waiter: WaiterKey) -> Vec<ClaimSend> {
        let Some(sequence) = self.sequences.remove(waiter) else {
            return Vec::new();
        };
        let Some(claim) = self.claims.remove(&sequence) else {
            return Vec::new();
        };
        self.releases(sequence, &claim.peers, None)
    }

    /// Takes a grant: the first one for a waiting request binds it.
    ///
    /// Any other is given back at once, so that its slot does not idle.
    pub(crate) fn take_grant(
        &mut self,
        key: ClaimKey,
        granter: AgentIdentity,
    ) -> (Option<PeerGrant>, Vec<ClaimSend>) {
        let known = self.claims.get(&key.sequence);
        let wanted = known.is_some_and(|claim| claim.peers.contains(&granter.target));
        if key.claimant != self.own || !wanted {
            return (
                None,
                vec![self.send(granter.target, key, ClaimMessage::Release)],
            );
        }
        let Some(claim) = self.claims.remove(&key.sequence) else {
            return (None, Vec::new());
        };
        self.sequences.remove(claim.waiter);
        let mut sends = vec![self.send(granter.target, key, ClaimMessage::Bind)];
        sends.extend(self.releases(key.sequence, &claim.peers, Some(granter.target)));
        let grant = PeerGrant {
            waiter: claim.waiter,
            key,
            granter: granter.target,
        };
        (Some(grant), sends)
    }

    /// Takes a refusal: the claim is not sent to that peer again.
    pub(crate) fn take_refusal(&mut self, key: ClaimKey, refuser: TargetKey) {
        if key.claimant != self.own {
            return;
        }
        if let Some(claim) = self.claims.get_mut(&key.sequence) {
            claim.peers.retain(|peer| *peer != refuser);
        }
    }

    /// Sends claims again whose messages may have been lost.
    pub(crate) fn refresh(&mut self, now: ClockMillis) -> Vec<ClaimSend> {
        let due: Vec<u64> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.refresh_at <= now)
            .map(|(sequence, _)| *sequence)
            .collect();
        let mut sends = Vec::new();
        for sequence in due {
            if let Some(claim) = self.claims.get_mut(&sequence) {
                claim.refresh_at = now.after(REFRESH_MILLIS);
            }
            if let Some(claim) = self.claims.get(&sequence) {
                sends.extend(self.claim_sends(sequence, claim, now));
            }
        }
        sends
    }

    /// Returns how many requests have claims at peers.
    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    fn claim_sends(&self, sequence: u64, claim: &OpenClaim, now: ClockMillis) -> Vec<ClaimSend> {
        let message = ClaimMessage::Claim {
            priority: claim.request.priority,
            left: claim.request.deadline.since(now),
        };
        claim
            .peers
            .iter()
            .map(|peer| self.send(*peer, self.key(sequence), message))
            .collect()
    }

    fn releases(
        &self,
        sequence: u64,
        peers: &[TargetKey],
        except: Option<TargetKey>,
    ) -> Vec<ClaimSend> {
        peers
            .iter()
            .filter(|peer| Some(**peer) != except)
            .map(|peer| self.send(*peer, self.key(sequence), ClaimMessage::Release))
            .collect()
    }

    fn key(&self, sequence: u64) -> ClaimKey {
        ClaimKey {
            claimant: self.own,
            sequence,
        }
    }

    fn send(&self, to: TargetKey, key: ClaimKey, message: ClaimMessage) -> ClaimSend {
        let sender = self.own;
        let frame = ClaimFrame {
            sender,
            key,
            message,
        };
        ClaimSend { to, frame }
    }
}
