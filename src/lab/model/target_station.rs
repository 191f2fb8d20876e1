use std::collections::HashMap;

use slotmap::SecondaryMap;

use super::{ConnectionKey, ModelMicros, RequestKey, RunSetup, SystemProfile};
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

/// One target with the agent beside it; the agent's own cores decide.
#[derive(Debug)]
pub(crate) struct TargetStation {
    /// Whether it takes part.
    pub(crate) phase: StationPhase,
    /// The part of the full speed at which it works.
    pub(crate) speed: f64,
    /// Decides on new connections.
    pub(crate) gate: AdmissionGate,
    /// What runs, with its slot and the time at which it began.
    pub(crate) running: HashMap<RequestKey, (SlotKey, ModelMicros)>,
    /// The connections that it keeps.
    pub(crate) connections: Vec<ConnectionKey>,
    /// Its last report, as its peers know it.
    pub(crate) reported: Option<PeerLoad>,
    /// Counts its runs, so that the events of an earlier one are ignored.
    pub(crate) epoch: u32,
    /// Limits the resent requests that it admits.
    pub(crate) budget: RetryBudget,
    /// Whether it waits for the answer to a steal.
    pub(crate) is_stealing: bool,
    limits: SlotLimits,
    slots: SlotQueue,
    waiting: SecondaryMap<WaiterKey, LineEntry>,
    waiters: HashMap<RequestKey, WaiterKey>,
    held: HashMap<RequestKey, SlotKey>,
}

/// Whether a target takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StationPhase {
    /// It doesn't exist.
    Absent,
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Leaving,
    /// It exists and nothing reaches it or comes from it.
    Silent,
}

/// What asks for a slot: a request of the target's own or a peer's claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LineEntry {
    /// A request that is here.
    Own(RequestKey),
    /// A claim for a request that waits at its home.
    Claim(RequestKey),
}

/// What became of something that asked for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StationEvent {
    /// It holds a slot.
    Slot(LineEntry, SlotKey),
    /// It is given up at once and never runs.
    Refused(LineEntry),
}

impl LineEntry {
    /// Returns whose request it is, as the queue tells them apart.
    pub(crate) const fn origin(self) -> SlotOrigin {
        match self {
            Self::Own(_) => SlotOrigin::Own,
            Self::Claim(_) => SlotOrigin::Peer,
        }
    }

    /// Returns the request that asks.
    pub(crate) const fn request(self) -> RequestKey {
        match self {
            Self::Own(request) | Self::Claim(request) => request,
        }
    }
}

impl TargetStation {
    /// Creates a target that does nothing yet.
    pub(crate) fn new(setup: &RunSetup, phase: StationPhase) -> Self {
        let limits = setup.limits();
        let rule = setup.accept.gate_rule(setup.report_period);
        Self {
            phase,
            speed: 1.0,
            gate: AdmissionGate::new(rule, AgentPhase::Serving),
            running: HashMap::new(),
            connections: Vec::new(),
            reported: None,
            epoch: 0,
            budget: RetryBudget::new(setup.retry_percent()),
            is_stealing: false,
            limits,
            slots: SlotQueue::new(limits),
            waiting: SecondaryMap::new(),
            waiters: HashMap::new(),
            held: HashMap::new(),
        }
    }

    /// Asks for a slot; the events tell what it and others got at once.
    pub(crate) fn ask(
        &mut self,
        entry: LineEntry,
        request: SlotRequest,
        now: ClockMillis,
    ) -> Vec<StationEvent> {
        let (verdict, displaced) = self.slots.request(request, now);
        let mut events = self.translate(displaced);
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

    /// Gives a slot back on which nothing ran.
    pub(crate) fn release_unused(&mut self, slot: SlotKey, now: ClockMillis) -> Vec<StationEvent> {
        let events = self.slots.release_unused(slot, now);
        self.translate(events)
    }

    /// Gives a slot back.
    pub(crate) fn release(&mut self, slot: SlotKey, now: ClockMillis) -> Vec<StationEvent> {
        let events = self.slots.release(slot, now);
        self.translate(events)
    }

    /// Takes out what waits for a request.
    pub(crate) fn withdraw(&mut self, request: RequestKey) {
        if let Some(waiter) = self.waiters.remove(&request) {
            self.waiting.remove(waiter);
            self.slots.withdraw(waiter);
        }
    }

    /// Keeps a slot for a request that is to come.
    pub(crate) fn hold(&mut self, request: RequestKey, slot: SlotKey) {
        self.held.insert(request, slot);
    }

    /// Returns the slot that was kept for a request, and keeps it no more.
    pub(crate) fn take_hold(&mut self, request: RequestKey) -> Option<SlotKey> {
        self.held.remove(&request)
    }

    /// Returns the requests that wait here themselves.
    pub(crate) fn own_waiting(&self) -> Vec<RequestKey> {
        let own = |entry: &LineEntry| match entry {
            LineEntry::Own(request) => Some(*request),
            LineEntry::Claim(_) => None,
        };
        self.waiting.values().filter_map(own).collect()
    }

    /// Returns the slots that are neither used nor held.
    pub(crate) fn free_slots(&self) -> usize {
        let counts = self.slots.counts();
        usize::from(counts.slots.saturating_sub(counts.running))
    }

    /// Returns what runs, is held or waits here.
    pub(crate) fn load(&self) -> TargetLoad {
        let counts = self.slots.counts();
        TargetLoad {
            requests: u32::from(counts.running) + u32::from(counts.waiting),
            slots: u32::from(counts.slots),
            connections: self.connections.len() as u32,
            connection_limit: SystemProfile::CONNECTIONS as u32,
        }
    }

    /// Tells whether messages reach it and leave it.
    pub(crate) const fn is_reachable(&self) -> bool {
        matches!(self.phase, StationPhase::Serving | StationPhase::Leaving)
    }

    /// Ends this run of the target and returns the requests that were here.
    pub(crate) fn stop(&mut self, phase: StationPhase) -> Vec<RequestKey> {
        let mut lost = self.own_waiting();
        lost.extend(self.running.drain().map(|(request, _)| request));
        lost.sort_unstable();
        self.phase = phase;
        self.epoch += 1;
        self.is_stealing = false;
        self.slots = SlotQueue::new(self.limits);
        self.waiting.clear();
        self.waiters.clear();
        self.held.clear();
        lost
    }

    fn translate(&mut self, events: Vec<SlotEvent>) -> Vec<StationEvent> {
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
