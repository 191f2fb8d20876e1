use super::{
    AddressedFrame, AgentIdentity, BindVerdict, ClaimFrame, ClaimKey, ClaimMessage, IncomingClaims,
    IncomingOutput, OutgoingClaims, PeerView, sample_peers,
};
use crate::{
    agent::slot::{
        QueueCounts, SlotEvent, SlotKey, SlotLimits, SlotQueue, SlotRequest, SlotVerdict, WaiterKey,
    },
    clock::ClockMillis,
    key::TargetKey,
};

/// A peer's slot that a waiting request is bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerGrant {
    /// The request that waited in the local queue.
    pub(crate) waiter: WaiterKey,
    /// The claim, which the peer expects with the request.
    pub(crate) key: ClaimKey,
    /// The target that granted the slot.
    pub(crate) granter: TargetKey,
}

/// What the caller of [`SlotBroker`] has to do.
#[derive(Debug, Default)]
pub(crate) struct BrokerOutput {
    /// Events of requests that waited in the local queue.
    pub(crate) events: Vec<SlotEvent>,
    /// Requests that got a slot at a peer.
    pub(crate) grants: Vec<PeerGrant>,
    /// Frames to send to peers.
    pub(crate) frames: Vec<AddressedFrame>,
}

/// Finds the first free slot for each request, local or at a peer.
#[derive(Debug)]
pub(crate) struct SlotBroker {
    queue: SlotQueue,
    incoming: IncomingClaims,
    outgoing: OutgoingClaims,
}

impl SlotBroker {
    /// Creates a broker with all slots free.
    pub(crate) fn new(identity: AgentIdentity, limits: SlotLimits) -> Self {
        Self {
            queue: SlotQueue::new(limits),
            incoming: IncomingClaims::new(identity),
            outgoing: OutgoingClaims::new(identity),
        }
    }

    /// Changes the limits of the local slots and queue.
    pub(crate) fn set_limits(&mut self, limits: SlotLimits) {
        self.queue.set_limits(limits);
    }

    /// Requests a local slot; a request that has to wait also claims slots at some of
    /// `peers`, or at none if that is `None`.
    ///
    /// `draw` is a random number that selects the peers.
    pub(crate) fn request(
        &mut self,
        request: SlotRequest,
        peers: Option<&[PeerView]>,
        draw: u64,
        now: ClockMillis,
    ) -> (SlotVerdict, BrokerOutput) {
        let (verdict, events) = self.queue.request(request, now);
        let mut output = self.route_events(events, now);
        if let SlotVerdict::Wait(waiter) = verdict
            && let Some(peers) = peers
        {
            let chosen = sample_peers(peers, draw, now);
            output
                .frames
                .extend(self.outgoing.open(waiter, request, chosen, now));
        }
        (verdict, output)
    }

    /// Releases a local slot.
    pub(crate) fn release(&mut self, slot: SlotKey, now: ClockMillis) -> BrokerOutput {
        let events = self.queue.release(slot, now);
        self.route_events(events, now)
    }

    /// Removes a waiting request and releases its claims.
    pub(crate) fn withdraw(&mut self, waiter: WaiterKey) -> BrokerOutput {
        self.queue.withdraw(waiter);
        BrokerOutput {
            frames: self.outgoing.withdraw(waiter),
            ..BrokerOutput::default()
        }
    }

    /// Handles a frame from a peer.
    pub(crate) fn receive(&mut self, frame: ClaimFrame, now: ClockMillis) -> BrokerOutput {
        let key = frame.key;
        match frame.message {
            ClaimMessage::Grant => self.handle_grant(key, frame.sender),
            ClaimMessage::Refuse { retry_after } => {
                let refusal = (frame.sender.target, retry_after);
                self.outgoing.handle_refusal(key, refusal, now);
                BrokerOutput::default()
            }
            // Only the claimant may change its claim.
            _ if frame.sender != key.claimant => BrokerOutput::default(),
            ClaimMessage::Claim {
                priority,
                time_left,
            } => {
                let queue = &mut self.queue;
                let output = self
                    .incoming
                    .handle_claim(key, (priority, time_left), queue, now);
                self.withdraw_dequeued(output)
            }
            ClaimMessage::Bind => {
                self.incoming.handle_bind(key, now);
                BrokerOutput::default()
            }
            ClaimMessage::Release => {
                let output = self.incoming.handle_release(key, &mut self.queue, now);
                self.withdraw_dequeued(output)
            }
        }
    }

    /// Binds a request from a peer to the slot that was granted to it.
    pub(crate) fn bind(&mut self, key: ClaimKey) -> BindVerdict {
        self.incoming.bind(key)
    }

    /// Expires and resends claims, and advances the queue, to `now`. Claims without a
    /// peer go to some of `peers`, selected by `draw`.
    pub(crate) fn advance(
        &mut self,
        peers: &[PeerView],
        draw: u64,
        now: ClockMillis,
    ) -> BrokerOutput {
        let expired = self.incoming.expire(&mut self.queue, now);
        let mut output = self.withdraw_dequeued(expired);
        let events = self.queue.advance(now);
        output.append(self.route_events(events, now));
        let mut next_draw = draw;
        let choose_peers = || {
            next_draw = next_draw.wrapping_add(1);
            sample_peers(peers, next_draw, now)
        };
        output
            .frames
            .extend(self.outgoing.resend_due(choose_peers, now));
        output
    }

    /// Returns the counts of the local slots and queue.
    pub(crate) fn counts(&self) -> QueueCounts {
        self.queue.counts()
    }

    /// Returns the numbers of own requests with claims and of peers' claims.
    pub(crate) fn claims(&self) -> (usize, usize) {
        (self.outgoing.len(), self.incoming.len())
    }

    fn handle_grant(&mut self, key: ClaimKey, granter: AgentIdentity) -> BrokerOutput {
        let (grant, frames) = self.outgoing.handle_grant(key, granter);
        if let Some(grant) = grant {
            self.queue.withdraw(grant.waiter);
        }
        BrokerOutput {
            events: Vec::new(),
            grants: grant.into_iter().collect(),
            frames,
        }
    }

    fn route_events(&mut self, events: Vec<SlotEvent>, now: ClockMillis) -> BrokerOutput {
        let output = self.incoming.route_events(events, now);
        self.withdraw_dequeued(output)
    }

    /// Releases the claims of own requests that have left the queue.
    fn withdraw_dequeued(&mut self, output: IncomingOutput) -> BrokerOutput {
        let mut frames = output.frames;
        for event in &output.own_events {
            let (SlotEvent::Started { waiter, .. } | SlotEvent::Refused { waiter, .. }) = event;
            frames.extend(self.outgoing.withdraw(*waiter));
        }
        BrokerOutput {
            events: output.own_events,
            grants: Vec::new(),
            frames,
        }
    }
}

impl BrokerOutput {
    fn append(&mut self, other: Self) {
        self.events.extend(other.events);
        self.grants.extend(other.grants);
        self.frames.extend(other.frames);
    }
}
