use super::{
    AgentIdentity, BindVerdict, ClaimBook, ClaimDesk, ClaimFrame, ClaimKey, ClaimMessage,
    ClaimSend, DeskOutput, PeerView, sample_peers,
};
use crate::{
    agent::slot::{
        QueueCounts, SlotEvent, SlotKey, SlotLimits, SlotQueue, SlotRequest, SlotVerdict, WaiterKey,
    },
    clock::ClockMillis,
    key::TargetKey,
};

/// A slot of a peer that a waiting request is bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerGrant {
    /// The request that waited in the own queue.
    pub(crate) waiter: WaiterKey,
    /// The claim, which the peer asks for when the request arrives.
    pub(crate) key: ClaimKey,
    /// The target that granted the slot.
    pub(crate) granter: TargetKey,
}

/// What the broker wants to be done.
#[derive(Debug, Default)]
pub(crate) struct BrokerOutput {
    /// What became of waiting requests in the own queue.
    pub(crate) events: Vec<SlotEvent>,
    /// Requests that a peer's slot was found for.
    pub(crate) grants: Vec<PeerGrant>,
    /// Messages to peers.
    pub(crate) sends: Vec<ClaimSend>,
}

/// Finds the first free slot for each request, here or at a peer.
#[derive(Debug)]
pub(crate) struct SlotBroker {
    queue: SlotQueue,
    desk: ClaimDesk,
    book: ClaimBook,
}

impl SlotBroker {
    /// Creates the broker of a target that does nothing yet.
    pub(crate) fn new(own: AgentIdentity, limits: SlotLimits) -> Self {
        Self {
            queue: SlotQueue::new(limits),
            desk: ClaimDesk::new(own),
            book: ClaimBook::new(own),
        }
    }

    /// Puts changed limits in force.
    pub(crate) fn set_limits(&mut self, limits: SlotLimits) {
        self.queue.set_limits(limits);
    }

    /// Answers a request for a slot; one that waits claims slots at `peers`.
    ///
    /// `draw` is a random number that chooses among them.
    pub(crate) fn request(
        &mut self,
        request: SlotRequest,
        peers: &[PeerView],
        draw: u64,
        now: ClockMillis,
    ) -> (SlotVerdict, BrokerOutput) {
        let (verdict, events) = self.queue.request(request, now);
        let mut output = self.route(events, now);
        if let SlotVerdict::Wait(waiter) = verdict {
            let chosen = sample_peers(peers, draw, now);
            output
                .sends
                .extend(self.book.place(waiter, request, chosen, now));
        }
        (verdict, output)
    }

    /// Gives a slot back.
    pub(crate) fn release(&mut self, slot: SlotKey, now: ClockMillis) -> BrokerOutput {
        let events = self.queue.release(slot, now);
        self.route(events, now)
    }

    /// Takes a waiting request out whose caller is gone.
    pub(crate) fn withdraw(&mut self, waiter: WaiterKey) -> BrokerOutput {
        self.queue.withdraw(waiter);
        BrokerOutput {
            sends: self.book.withdraw(waiter),
            ..BrokerOutput::default()
        }
    }

    /// Takes a message of a peer.
    pub(crate) fn receive(&mut self, frame: ClaimFrame, now: ClockMillis) -> BrokerOutput {
        let key = frame.key;
        match frame.message {
            ClaimMessage::Grant => self.take_grant(key, frame.sender),
            ClaimMessage::Refuse { .. } => {
                self.book.take_refusal(key, frame.sender.target);
                BrokerOutput::default()
            }
            // Only the claimant itself may speak for its claim.
            _ if frame.sender != key.claimant => BrokerOutput::default(),
            ClaimMessage::Claim { priority, left } => {
                let queue = &mut self.queue;
                let output = self.desk.take_claim(key, (priority, left), queue, now);
                self.follow(output)
            }
            ClaimMessage::Bind => {
                self.desk.take_bind(key, now);
                BrokerOutput::default()
            }
            ClaimMessage::Release => {
                let output = self.desk.take_release(key, &mut self.queue, now);
                self.follow(output)
            }
        }
    }

    /// Puts a request that a peer sent on the slot that was granted to it.
    pub(crate) fn bind(&mut self, key: ClaimKey) -> BindVerdict {
        self.desk.bind(key)
    }

    /// Does what is due at `now` even if nothing else happens.
    pub(crate) fn advance(&mut self, now: ClockMillis) -> BrokerOutput {
        let expired = self.desk.expire(&mut self.queue, now);
        let mut output = self.follow(expired);
        let events = self.queue.advance(now);
        output.append(self.route(events, now));
        output.sends.extend(self.book.refresh(now));
        output
    }

    /// Returns how much the target has to do.
    pub(crate) fn counts(&self) -> QueueCounts {
        self.queue.counts()
    }

    /// Returns how many claims of own requests and of peers are open.
    pub(crate) fn claims(&self) -> (usize, usize) {
        (self.book.len(), self.desk.len())
    }

    fn take_grant(&mut self, key: ClaimKey, granter: AgentIdentity) -> BrokerOutput {
        let (grant, sends) = self.book.take_grant(key, granter);
        if let Some(grant) = grant {
            self.queue.withdraw(grant.waiter);
        }
        BrokerOutput {
            events: Vec::new(),
            grants: grant.into_iter().collect(),
            sends,
        }
    }

    fn route(&mut self, events: Vec<SlotEvent>, now: ClockMillis) -> BrokerOutput {
        let output = self.desk.route(events, now);
        self.follow(output)
    }

    /// Takes the claims back of own requests that wait no more.
    fn follow(&mut self, output: DeskOutput) -> BrokerOutput {
        let mut sends = output.sends;
        for event in &output.local {
            let (SlotEvent::Started { waiter, .. } | SlotEvent::Refused { waiter, .. }) = event;
            sends.extend(self.book.withdraw(*waiter));
        }
        BrokerOutput {
            events: output.local,
            grants: Vec::new(),
            sends,
        }
    }
}

impl BrokerOutput {
    fn append(&mut self, other: Self) {
        self.events.extend(other.events);
        self.grants.extend(other.grants);
        self.sends.extend(other.sends);
    }
}
