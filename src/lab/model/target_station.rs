use std::collections::HashMap;

use slotmap::SecondaryMap;

use super::{CallerKey, ModelMicros, RequestKey, RunSetup, ServiceProfile};
use crate::{
    agent::{
        admission::{AdmissionGate, AgentPhase, PeerLoad, TargetLoad},
        retry::RetryBudget,
        slot::{
            SlotEvent, SlotKey, SlotLimits, SlotOrigin, SlotQueue, SlotRequest, SlotVerdict,
            WaiterKey,
        },
    },
    clock::ClockMillis,
};

/// A simulated target and its agent.
///
/// Admission, slot and retry decisions are made by the product's own code.
#[derive(Debug)]
pub(crate) struct TargetStation {
    pub(crate) phase: StationPhase,
    /// The current speed as a fraction of full speed.
    pub(crate) speed: f64,
    pub(crate) gate: AdmissionGate,
    /// The running requests, with their slots and start times.
    pub(crate) running: HashMap<RequestKey, (SlotKey, ModelMicros)>,
    /// The callers connected to it.
    pub(crate) connections: Vec<CallerKey>,
    /// Its last load report, as its peers have it.
    pub(crate) reported: Option<PeerLoad>,
    /// Incremented at each stop, so that events from before the stop are ignored.
    pub(crate) epoch: u32,
    pub(crate) retry_budget: RetryBudget,
    /// Whether it has asked a peer for work since the last retry interval.
    pub(crate) is_stealing: bool,
    slot_limits: SlotLimits,
    slot_queue: SlotQueue,
    waiting: SecondaryMap<WaiterKey, QueueEntry>,
    waiters: HashMap<RequestKey, WaiterKey>,
    held_slots: HashMap<RequestKey, SlotKey>,
}

/// The state of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StationPhase {
    /// Not started, or crashed.
    Absent,
    /// Accepts connections and requests.
    Serving,
    /// Draining: finishes its requests.
    Leaving,
    /// Partitioned: no message reaches it or leaves it.
    Silent,
}

/// An entry of a target's slot queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueEntry {
    /// A request that waits at this target.
    Own(RequestKey),
    /// A peer's claim for a request that waits at its home.
    Claim(RequestKey),
}

/// The outcome for a queue entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StationEvent {
    /// The entry has got a slot.
    Slot(QueueEntry, SlotKey),
    /// The entry is refused or dropped from the queue.
    Refused(QueueEntry),
}

impl QueueEntry {
    /// Returns whether the request comes from a caller here or from a peer.
    pub(crate) const fn origin(self) -> SlotOrigin {
        match self {
            Self::Own(_) => SlotOrigin::Local,
            Self::Claim(_) => SlotOrigin::Peer,
        }
    }

    /// Returns the request that needs the slot.
    pub(crate) const fn request(self) -> RequestKey {
        match self {
            Self::Own(request) | Self::Claim(request) => request,
        }
    }
}

impl TargetStation {
    /// Creates an idle target.
    pub(crate) fn new(setup: &RunSetup, phase: StationPhase) -> Self {
        let slot_limits = setup.limits();
        let rule = setup.accept.admission_rule(setup.report_period);
        Self {
            phase,
            speed: 1.0,
            gate: AdmissionGate::new(rule, AgentPhase::Serving),
            running: HashMap::new(),
            connections: Vec::new(),
            reported: None,
            epoch: 0,
            retry_budget: RetryBudget::new(setup.retry_percent()),
            is_stealing: false,
            slot_limits,
            slot_queue: SlotQueue::new(slot_limits),
            waiting: SecondaryMap::new(),
            waiters: HashMap::new(),
            held_slots: HashMap::new(),
        }
    }

    /// Requests a slot; returns the immediate outcomes for this and displaced entries.
    pub(crate) fn request_slot(
        &mut self,
        entry: QueueEntry,
        request: SlotRequest,
        now: ClockMillis,
    ) -> Vec<StationEvent> {
        let (verdict, displaced) = self.slot_queue.request(request, now);
        let mut events = self.resolve_slot_events(displaced);
        match verdict {
            SlotVerdict::Run(slot) => events.push(StationEvent::Slot(entry, slot)),
            SlotVerdict::Refuse(_) => events.push(StationEvent::Refused(entry)),
            SlotVerdict::Wait(waiter) => {
                self.waiting.insert(waiter, entry);
                self.waiters.insert(entry.request(), waiter);
            }
        }
        events
    }

    /// Releases a slot in which nothing ran.
    pub(crate) fn release_unused(&mut self, slot: SlotKey, now: ClockMillis) -> Vec<StationEvent> {
        let events = self.slot_queue.release_unused(slot, now);
        self.resolve_slot_events(events)
    }

    /// Releases a slot after a run.
    pub(crate) fn release(&mut self, slot: SlotKey, now: ClockMillis) -> Vec<StationEvent> {
        let events = self.slot_queue.release(slot, now);
        self.resolve_slot_events(events)
    }

    /// Removes the queue entry of a request.
    pub(crate) fn withdraw(&mut self, request: RequestKey) {
        if let Some(waiter) = self.waiters.remove(&request) {
            self.waiting.remove(waiter);
            self.slot_queue.withdraw(waiter);
        }
    }

    /// Holds a slot for a granted claim.
    pub(crate) fn hold_slot(&mut self, request: RequestKey, slot: SlotKey) {
        self.held_slots.insert(request, slot);
    }

    /// Removes and returns the slot held for a request.
    pub(crate) fn take_held_slot(&mut self, request: RequestKey) -> Option<SlotKey> {
        self.held_slots.remove(&request)
    }

    /// Returns the waiting requests, without claims.
    pub(crate) fn own_waiting(&self) -> Vec<RequestKey> {
        let own = |entry: &QueueEntry| match entry {
            QueueEntry::Own(request) => Some(*request),
            QueueEntry::Claim(_) => None,
        };
        self.waiting.values().filter_map(own).collect()
    }

    /// Returns the number of slots that are neither used nor held.
    pub(crate) fn free_slots(&self) -> usize {
        let counts = self.slot_queue.counts();
        usize::from(counts.slots.saturating_sub(counts.running))
    }

    /// Returns the load: running and waiting entries, held slots and connections.
    pub(crate) fn load(&self) -> TargetLoad {
        let counts = self.slot_queue.counts();
        TargetLoad {
            requests: u32::from(counts.running) + u32::from(counts.waiting),
            slots: u32::from(counts.slots),
            connections: self.connections.len() as u32,
            connection_limit: ServiceProfile::CONNECTIONS as u32,
        }
    }

    /// Returns whether messages reach it and leave it.
    pub(crate) const fn is_reachable(&self) -> bool {
        matches!(self.phase, StationPhase::Serving | StationPhase::Leaving)
    }

    /// Stops the target and returns the requests that ran or waited here.
    pub(crate) fn stop(&mut self, phase: StationPhase) -> Vec<RequestKey> {
        let mut lost = self.own_waiting();
        lost.extend(self.running.drain().map(|(request, _)| request));
        lost.sort_unstable();
        self.phase = phase;
        self.epoch += 1;
        self.is_stealing = false;
        self.slot_queue = SlotQueue::new(self.slot_limits);
        self.waiting.clear();
        self.waiters.clear();
        self.held_slots.clear();
        lost
    }

    fn resolve_slot_events(&mut self, events: Vec<SlotEvent>) -> Vec<StationEvent> {
        let mut translated = Vec::with_capacity(events.len());
        for event in events {
            let (waiter, slot) = match event {
                SlotEvent::Started { waiter, slot } => (waiter, Some(slot)),
                SlotEvent::Refused { waiter, .. } => (waiter, None),
            };
            let Some(entry) = self.waiting.remove(waiter) else {
                continue;
            };
            self.waiters.remove(&entry.request());
            translated.push(slot.map_or(StationEvent::Refused(entry), |slot| {
                StationEvent::Slot(entry, slot)
            }));
        }
        translated
    }
}
