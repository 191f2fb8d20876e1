use std::collections::HashMap;

use slotmap::SecondaryMap;

use super::{AddressedFrame, AgentIdentity, ClaimFrame, ClaimKey, ClaimMessage};
use crate::{
    agent::slot::{SlotEvent, SlotKey, SlotOrigin, SlotQueue, SlotRequest, SlotVerdict, WaiterKey},
    clock::{ClockMillis, SpanMillis},
    manifest::RequestPriority,
};

/// How long a granted slot is held for the claimant's `Bind`.
const GRANT_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(30);
/// How long a bound slot is held for its request to arrive.
const ARRIVAL_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(200);
/// How long a waiting claim is kept without being resent.
const CLAIM_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(200);
/// The maximum number of open claims of peers.
const MAX_CLAIMS: usize = 256;

/// The state of a peer's claim.
#[derive(Debug, Clone, Copy)]
enum IncomingClaim {
    /// It waits in this agent's queue.
    Waiting {
        waiter: WaiterKey,
        expires_at: ClockMillis,
    },
    /// A slot is held for it.
    Granted {
        slot: SlotKey,
        expires_at: ClockMillis,
    },
}

/// The result of binding an arriving request to a granted slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BindVerdict {
    /// The request has the slot and runs now.
    Bound(SlotKey),
    /// The grant has expired or never existed; the request does not run here.
    Unknown,
}

/// What the caller of [`IncomingClaims`] has to send and handle.
#[derive(Debug, Default)]
pub(crate) struct IncomingOutput {
    /// Frames to send to peers.
    pub(crate) frames: Vec<AddressedFrame>,
    /// Events of requests that are not claims of peers.
    pub(crate) own_events: Vec<SlotEvent>,
}

/// The claims of peers on this agent's slots.
#[derive(Debug)]
pub(crate) struct IncomingClaims {
    identity: AgentIdentity,
    claims: HashMap<ClaimKey, IncomingClaim>,
    key_by_waiter: SecondaryMap<WaiterKey, ClaimKey>,
}

impl IncomingClaims {
    /// Creates an empty set of claims.
    pub(crate) fn new(identity: AgentIdentity) -> Self {
        Self {
            identity,
            claims: HashMap::new(),
            key_by_waiter: SecondaryMap::new(),
        }
    }

    /// Handles a claim, new or resent.
    pub(crate) fn handle_claim(
        &mut self,
        key: ClaimKey,
        (priority, time_left): (RequestPriority, SpanMillis),
        queue: &mut SlotQueue,
        now: ClockMillis,
    ) -> IncomingOutput {
        match self.claims.get_mut(&key) {
            Some(IncomingClaim::Waiting { expires_at, .. }) => {
                *expires_at = now.after(CLAIM_TIMEOUT_MILLIS);
                IncomingOutput::default()
            }
            // The grant frame may have been lost.
            Some(IncomingClaim::Granted { .. }) => self.reply(key, ClaimMessage::Grant),
            None => self.add_claim(key, priority, time_left, queue, now),
        }
    }

    /// Holds a granted slot for longer: its request is on the way.
    pub(crate) fn handle_bind(&mut self, key: ClaimKey, now: ClockMillis) {
        if let Some(IncomingClaim::Granted { expires_at, .. }) = self.claims.get_mut(&key) {
            *expires_at = now.after(ARRIVAL_TIMEOUT_MILLIS);
        }
    }

    /// Handles the release of a claim or a grant.
    pub(crate) fn handle_release(
        &mut self,
        key: ClaimKey,
        queue: &mut SlotQueue,
        now: ClockMillis,
    ) -> IncomingOutput {
        match self.claims.remove(&key) {
            Some(IncomingClaim::Waiting { waiter, .. }) => {
                self.key_by_waiter.remove(waiter);
                queue.withdraw(waiter);
                IncomingOutput::default()
            }
            Some(IncomingClaim::Granted { slot, .. }) => {
                let events = queue.release_unused(slot, now);
                self.route_events(events, now)
            }
            None => IncomingOutput::default(),
        }
    }

    /// Binds an arriving request to the slot that was granted to it.
    pub(crate) fn bind(&mut self, key: ClaimKey) -> BindVerdict {
        match self.claims.get(&key) {
            Some(IncomingClaim::Granted { slot, .. }) => {
                let slot = *slot;
                self.claims.remove(&key);
                BindVerdict::Bound(slot)
            }
            Some(IncomingClaim::Waiting { .. }) | None => BindVerdict::Unknown,
        }
    }

    /// Releases grants that were not used in time and claims that were not resent.
    pub(crate) fn expire(&mut self, queue: &mut SlotQueue, now: ClockMillis) -> IncomingOutput {
        let mut expired: Vec<ClaimKey> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.expires_at() <= now)
            .map(|(key, _)| *key)
            .collect();
        expired.sort_unstable();
        let mut output = IncomingOutput::default();
        for key in expired {
            output.append(self.handle_release(key, queue, now));
        }
        output
    }

    /// Turns queue events of claims into frames to the claimants; returns the other events as is.
    pub(crate) fn route_events(
        &mut self,
        events: Vec<SlotEvent>,
        now: ClockMillis,
    ) -> IncomingOutput {
        let mut output = IncomingOutput::default();
        for event in events {
            let (SlotEvent::Started { waiter, .. } | SlotEvent::Refused { waiter, .. }) = event;
            let Some(key) = self.key_by_waiter.remove(waiter) else {
                output.own_events.push(event);
                continue;
            };
            output.append(match event {
                SlotEvent::Started { slot, .. } => self.grant(key, slot, now),
                SlotEvent::Refused { refusal, .. } => {
                    self.claims.remove(&key);
                    let retry_after = refusal.retry_after;
                    self.reply(key, ClaimMessage::Refuse { retry_after })
                }
            });
        }
        output
    }

    /// Returns the number of open claims of peers.
    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    fn add_claim(
        &mut self,
        key: ClaimKey,
        priority: RequestPriority,
        time_left: SpanMillis,
        queue: &mut SlotQueue,
        now: ClockMillis,
    ) -> IncomingOutput {
        if self.claims.len() >= MAX_CLAIMS {
            let retry_after = queue.retry_after(priority, now);
            return self.reply(key, ClaimMessage::Refuse { retry_after });
        }
        let request = SlotRequest {
            priority,
            deadline: now.after(time_left),
            origin: SlotOrigin::Peer,
        };
        let (verdict, events) = queue.request(request, now);
        let mut output = self.route_events(events, now);
        output.append(match verdict {
            SlotVerdict::Run(slot) => self.grant(key, slot, now),
            SlotVerdict::Wait(waiter) => {
                let expires_at = now.after(CLAIM_TIMEOUT_MILLIS);
                self.claims
                    .insert(key, IncomingClaim::Waiting { waiter, expires_at });
                self.key_by_waiter.insert(waiter, key);
                IncomingOutput::default()
            }
            SlotVerdict::Refuse(refusal) => {
                let retry_after = refusal.retry_after;
                self.reply(key, ClaimMessage::Refuse { retry_after })
            }
        });
        output
    }

    fn grant(&mut self, key: ClaimKey, slot: SlotKey, now: ClockMillis) -> IncomingOutput {
        let expires_at = now.after(GRANT_TIMEOUT_MILLIS);
        self.claims
            .insert(key, IncomingClaim::Granted { slot, expires_at });
        self.reply(key, ClaimMessage::Grant)
    }

    fn reply(&self, key: ClaimKey, message: ClaimMessage) -> IncomingOutput {
        let frame = ClaimFrame {
            sender: self.identity,
            key,
            message,
        };
        let to = key.claimant.target;
        IncomingOutput {
            frames: vec![AddressedFrame { to, frame }],
            own_events: Vec::new(),
        }
    }
}

impl IncomingClaim {
    fn expires_at(&self) -> ClockMillis {
        match self {
            Self::Waiting { expires_at, .. } | Self::Granted { expires_at, .. } => *expires_at,
        }
    }
}

impl IncomingOutput {
    fn append(&mut self, other: Self) {
        self.frames.extend(other.frames);
        self.own_events.extend(other.own_events);
    }
}
