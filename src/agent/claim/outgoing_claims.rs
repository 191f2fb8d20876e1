use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use super::{AddressedFrame, AgentIdentity, ClaimFrame, ClaimKey, ClaimMessage, PeerGrant};
use crate::{
    agent::slot::{SlotRequest, WaiterKey},
    clock::{ClockMillis, SpanMillis},
    key::TargetKey,
};

/// How often a claim is resent while its request waits.
const RESEND_MILLIS: SpanMillis = SpanMillis::new(50);

/// The claim of one waiting request at a few peers.
#[derive(Debug)]
struct OutgoingClaim {
    waiter: WaiterKey,
    request: SlotRequest,
    peers: Vec<TargetKey>,
    resend_at: ClockMillis,
}

/// The claims of this agent's waiting requests at peers.
#[derive(Debug)]
pub(crate) struct OutgoingClaims {
    identity: AgentIdentity,
    last_sequence: u64,
    claims: BTreeMap<u64, OutgoingClaim>,
    sequence_by_waiter: SecondaryMap<WaiterKey, u64>,
}

impl OutgoingClaims {
    /// Creates an empty set of claims.
    pub(crate) fn new(identity: AgentIdentity) -> Self {
        Self {
            identity,
            last_sequence: 0,
            claims: BTreeMap::new(),
            sequence_by_waiter: SecondaryMap::new(),
        }
    }

    /// Claims a slot at each of the given peers for a waiting request. Without any
    /// peer, the claim is made once [`Self::resend_due`] finds some.
    pub(crate) fn open(
        &mut self,
        waiter: WaiterKey,
        request: SlotRequest,
        peers: Vec<TargetKey>,
        now: ClockMillis,
    ) -> Vec<AddressedFrame> {
        self.last_sequence += 1;
        let claim = OutgoingClaim {
            waiter,
            request,
            peers,
            resend_at: now.after(RESEND_MILLIS),
        };
        let frames = self.claim_frames(self.last_sequence, &claim, now);
        self.claims.insert(self.last_sequence, claim);
        self.sequence_by_waiter.insert(waiter, self.last_sequence);
        frames
    }

    /// Releases the claims of a request that no longer waits.
    pub(crate) fn withdraw(&mut self, waiter: WaiterKey) -> Vec<AddressedFrame> {
        let Some(sequence) = self.sequence_by_waiter.remove(waiter) else {
            return Vec::new();
        };
        let Some(claim) = self.claims.remove(&sequence) else {
            return Vec::new();
        };
        self.release_frames(sequence, &claim.peers, None)
    }

    /// Handles a grant; the first one for a waiting request binds the request to its slot.
    ///
    /// Any other grant is released at once, so that its slot does not stay idle.
    pub(crate) fn handle_grant(
        &mut self,
        key: ClaimKey,
        granter: AgentIdentity,
    ) -> (Option<PeerGrant>, Vec<AddressedFrame>) {
        let claim = self.claims.get(&key.sequence);
        let is_claimed = claim.is_some_and(|claim| claim.peers.contains(&granter.target));
        if key.claimant != self.identity || !is_claimed {
            return (
                None,
                vec![self.frame_to(granter.target, key, ClaimMessage::Release)],
            );
        }
        let Some(claim) = self.claims.remove(&key.sequence) else {
            return (None, Vec::new());
        };
        self.sequence_by_waiter.remove(claim.waiter);
        let mut frames = vec![self.frame_to(granter.target, key, ClaimMessage::Bind)];
        frames.extend(self.release_frames(key.sequence, &claim.peers, Some(granter.target)));
        let grant = PeerGrant {
            waiter: claim.waiter,
            key,
            granter: granter.target,
        };
        (Some(grant), frames)
    }

    /// Handles a refusal; the claim is not resent to that peer. Once all peers have
    /// refused it, others are chosen after the time that the last one asked for.
    pub(crate) fn handle_refusal(
        &mut self,
        key: ClaimKey,
        (refuser, retry_after): (TargetKey, SpanMillis),
        now: ClockMillis,
    ) {
        if key.claimant != self.identity {
            return;
        }
        if let Some(claim) = self.claims.get_mut(&key.sequence) {
            claim.peers.retain(|peer| *peer != refuser);
            if claim.peers.is_empty() {
                claim.resend_at = now.after(retry_after.max(RESEND_MILLIS));
            }
        }
    }

    /// Returns the claims that are due to be resent, in case their frames were lost.
    /// Claims without a peer go to those that `choose_peers` returns.
    pub(crate) fn resend_due(
        &mut self,
        mut choose_peers: impl FnMut() -> Vec<TargetKey>,
        now: ClockMillis,
    ) -> Vec<AddressedFrame> {
        let due: Vec<u64> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.resend_at <= now)
            .map(|(sequence, _)| *sequence)
            .collect();
        let mut frames = Vec::new();
        for sequence in due {
            if let Some(claim) = self.claims.get_mut(&sequence) {
                claim.resend_at = now.after(RESEND_MILLIS);
                if claim.peers.is_empty() {
                    claim.peers = choose_peers();
                }
            }
            if let Some(claim) = self.claims.get(&sequence) {
                frames.extend(self.claim_frames(sequence, claim, now));
            }
        }
        frames
    }

    /// Returns the number of requests with claims at peers.
    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    fn claim_frames(
        &self,
        sequence: u64,
        claim: &OutgoingClaim,
        now: ClockMillis,
    ) -> Vec<AddressedFrame> {
        let message = ClaimMessage::Claim {
            priority: claim.request.priority,
            time_left: claim.request.deadline.since(now),
        };
        claim
            .peers
            .iter()
            .map(|peer| self.frame_to(*peer, self.key(sequence), message))
            .collect()
    }

    fn release_frames(
        &self,
        sequence: u64,
        peers: &[TargetKey],
        except: Option<TargetKey>,
    ) -> Vec<AddressedFrame> {
        peers
            .iter()
            .filter(|peer| Some(**peer) != except)
            .map(|peer| self.frame_to(*peer, self.key(sequence), ClaimMessage::Release))
            .collect()
    }

    fn key(&self, sequence: u64) -> ClaimKey {
        ClaimKey {
            claimant: self.identity,
            sequence,
        }
    }

    fn frame_to(&self, to: TargetKey, key: ClaimKey, message: ClaimMessage) -> AddressedFrame {
        let sender = self.identity;
        let frame = ClaimFrame {
            sender,
            key,
            message,
        };
        AddressedFrame { to, frame }
    }
}
