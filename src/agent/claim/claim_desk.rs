use std::collections::HashMap;

use slotmap::SecondaryMap;

use super::{AgentIdentity, ClaimFrame, ClaimKey, ClaimMessage, ClaimSend};
use crate::{
    agent::slot::{SlotEvent, SlotKey, SlotOrigin, SlotQueue, SlotRequest, SlotVerdict, WaiterKey},
    clock::{ClockMillis, SpanMillis},
    manifest::RequestPriority,
};

/// How long a granted slot waits to be bound.
const GRANT_MILLIS: SpanMillis = SpanMillis::new(30);
/// How long a bound slot waits for its request to arrive.
const ARRIVAL_MILLIS: SpanMillis = SpanMillis::new(200);
/// How long a claim waits without being sent again.
const CLAIM_MILLIS: SpanMillis = SpanMillis::new(200);
/// Claims of peers that are held at most.
const MOST_CLAIMS: usize = 256;

/// How far a peer's claim has come.
#[derive(Debug, Clone, Copy)]
enum ClaimState {
    /// It waits in the own queue.
    Waiting {
        waiter: WaiterKey,
        until: ClockMillis,
    },
    /// A slot is held for it.
    Granted { slot: SlotKey, until: ClockMillis },
}

/// What became of a request that arrives for a granted slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BindVerdict {
    /// The request holds the slot and runs now.
    Bound(SlotKey),
    /// The grant has timed out or never was; the request does not run here.
    Unknown,
}

/// What the desk wants to be done.
#[derive(Debug, Default)]
pub(crate) struct DeskOutput {
    /// Messages to peers.
    pub(crate) sends: Vec<ClaimSend>,
    /// What became of own requests.
    pub(crate) local: Vec<SlotEvent>,
}

/// The claims that peers have on the own slots.
#[derive(Debug)]
pub(crate) struct ClaimDesk {
    own: AgentIdentity,
    claims: HashMap<ClaimKey, ClaimState>,
    waiters: SecondaryMap<WaiterKey, ClaimKey>,
}

impl ClaimDesk {
    /// Creates a desk without claims.
    pub(crate) fn new(own: AgentIdentity) -> Self {
        Self {
            own,
            claims: HashMap::new(),
            waiters: SecondaryMap::new(),
        }
    }

    /// Takes a claim, or the same claim again.
    pub(crate) fn take_claim(
        &mut self,
        key: ClaimKey,
        (priority, left): (RequestPriority, SpanMillis),
        queue: &mut SlotQueue,
        now: ClockMillis,
    ) -> DeskOutput {
        match self.claims.get_mut(&key) {
            Some(ClaimState::Waiting { until, .. }) => {
                *until = now.after(CLAIM_MILLIS);
                DeskOutput::default()
            }
            // The grant may have been lost.
            Some(ClaimState::Granted { .. }) => self.output(key, ClaimMessage::Grant),
            None => self.open_claim(key, priority, left, queue, now),
        }
    }

    /// Notes that the request is on its way to the granted slot.
    pub(crate) fn take_bind(&mut self, key: ClaimKey, now: ClockMillis) {
        if let Some(ClaimState::Granted { until, .. }) = self.claims.get_mut(&key) {
            *until = now.after(ARRIVAL_MILLIS);
        }
    }

    /// Takes a claim or a grant back.
    pub(crate) fn take_release(
        &mut self,
        key: ClaimKey,
        queue: &mut SlotQueue,
        now: ClockMillis,
    ) -> DeskOutput {
        match self.claims.remove(&key) {
            Some(ClaimState::Waiting { waiter, .. }) => {
                self.waiters.remove(waiter);
                queue.withdraw(waiter);
                DeskOutput::default()
            }
            Some(ClaimState::Granted { slot, .. }) => {
                let events = queue.release_unused(slot, now);
                self.route(events, now)
            }
            None => DeskOutput::default(),
        }
    }

    /// Puts an arriving request on the slot that was granted to it.
    pub(crate) fn bind(&mut self, key: ClaimKey) -> BindVerdict {
        match self.claims.get(&key) {
            Some(ClaimState::Granted { slot, .. }) => {
                let slot = *slot;
                self.claims.remove(&key);
                BindVerdict::Bound(slot)
            }
            Some(ClaimState::Waiting { .. }) | None => BindVerdict::Unknown,
        }
    }

    /// Takes back grants that were not bound, and claims that went silent.
    pub(crate) fn expire(&mut self, queue: &mut SlotQueue, now: ClockMillis) -> DeskOutput {
        let mut late: Vec<ClaimKey> = self
            .claims
            .iter()
            .filter(|(_, state)| state.until() <= now)
            .map(|(key, _)| *key)
            .collect();
        late.sort_unstable();
        let mut output = DeskOutput::default();
        for key in late {
            output.append(self.take_release(key, queue, now));
        }
        output
    }

    /// Tells peers what the queue did with their claims; returns the rest.
    pub(crate) fn route(&mut self, events: Vec<SlotEvent>, now: ClockMillis) -> DeskOutput {
        let mut output = DeskOutput::default();
        for event in events {
            let (SlotEvent::Started { waiter, .. } | SlotEvent::Refused { waiter, .. }) = event;
            let Some(key) = self.waiters.remove(waiter) else {
                output.local.push(event);
                continue;
            };
            output.append(match event {
                SlotEvent::Started { slot, .. } => self.grant(key, slot, now),
                SlotEvent::Refused { refusal, .. } => {
                    self.claims.remove(&key);
                    let retry_after = refusal.retry_after;
                    self.output(key, ClaimMessage::Refuse { retry_after })
                }
            });
        }
        output
    }

    /// Returns how many claims of peers are held.
    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    fn open_claim(
        &mut self,
        key: ClaimKey,
        priority: RequestPriority,
        left: SpanMillis,
        queue: &mut SlotQueue,
        now: ClockMillis,
    ) -> DeskOutput {
        if self.claims.len() >= MOST_CLAIMS {
            let retry_after = queue.retry_after(priority, now);
            return self.output(key, ClaimMessage::Refuse { retry_after });
        }
        let request = SlotRequest {
            priority,
            deadline: now.after(left),
            origin: SlotOrigin::Peer,
        };
        let (verdict, events) = queue.request(request, now);
        let mut output = self.route(events, now);
        output.append(match verdict {
            SlotVerdict::Run(slot) => self.grant(key, slot, now),
            SlotVerdict::Wait(waiter) => {
                let until = now.after(CLAIM_MILLIS);
                self.claims
                    .insert(key, ClaimState::Waiting { waiter, until });
                self.waiters.insert(waiter, key);
                DeskOutput::default()
            }
            SlotVerdict::Refuse(refusal) => {
                let retry_after = refusal.retry_after;
                self.output(key, ClaimMessage::Refuse { retry_after })
            }
        });
        output
    }

    fn grant(&mut self, key: ClaimKey, slot: SlotKey, now: ClockMillis) -> DeskOutput {
        let until = now.after(GRANT_MILLIS);
        self.claims.insert(key, ClaimState::Granted { slot, until });
        self.output(key, ClaimMessage::Grant)
    }

    fn output(&self, key: ClaimKey, message: ClaimMessage) -> DeskOutput {
        let frame = ClaimFrame {
            sender: self.own,
            key,
            message,
        };
        let to = key.claimant.target;
        DeskOutput {
            sends: vec![ClaimSend { to, frame }],
            local: Vec::new(),
        }
    }
}

impl ClaimState {
    fn until(&self) -> ClockMillis {
        match self {
            Self::Waiting { until, .. } | Self::Granted { until, .. } => *until,
        }
    }
}

impl DeskOutput {
    fn append(&mut self, other: Self) {
        self.sends.extend(other.sends);
        self.local.extend(other.local);
    }
}
