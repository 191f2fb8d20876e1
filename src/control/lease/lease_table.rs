use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
};

use slab::Slab;

use super::{ExpiryDecision, ExpiryHold, HoldReport, LeaseHolder, LeaseRecord};
use crate::{
    clock::{ClockMillis, SpanMillis},
    key::{IncarnationId, ServiceNumber, TargetKey},
};

/// The time without a heartbeat after which a lease expires.
pub(crate) const LEASE_MILLIS: SpanMillis = SpanMillis::new(15_000);
/// The time without a heartbeat after which a target counts as silent when leases of its
/// service are decided.
const SILENT_MILLIS: SpanMillis = SpanMillis::new(7_500);
/// The time after which an expiry is requested again if it was not committed.
const EXPIRE_RETRY_MILLIS: SpanMillis = SpanMillis::new(2_000);

/// The time at which a lease is checked for expiry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    due: ClockMillis,
    slot: usize,
    generation: u64,
}

/// The leases of all registered incarnations.
///
/// A heartbeat only records the time. Each lease has one live entry in a heap ordered by
/// due time; when the entry is due, a lease renewed meanwhile is queued again.
#[derive(Debug, Default)]
pub(crate) struct LeaseTable {
    records: Slab<LeaseRecord>,
    slots_by_target: HashMap<TargetKey, usize>,
    slots_by_service: HashMap<ServiceNumber, BTreeSet<usize>>,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    last_generation: u64,
    holds: BTreeMap<ServiceNumber, ExpiryHold>,
}

impl LeaseTable {
    /// Creates a table with a full lease for each holder.
    #[cfg(test)]
    pub(crate) fn with_holders(
        holders: impl IntoIterator<Item = LeaseHolder>,
        now: ClockMillis,
    ) -> Self {
        let mut table = Self::default();
        for holder in holders {
            table.grant(holder, now);
        }
        table
    }

    /// Makes `holders` the only lease holders. Existing leases keep their deadline.
    pub(crate) fn sync_holders(&mut self, holders: Vec<LeaseHolder>, now: ClockMillis) {
        let registered: BTreeSet<TargetKey> = holders.iter().map(|holder| holder.target).collect();
        let unregistered: Vec<TargetKey> = self
            .slots_by_target
            .keys()
            .filter(|target| !registered.contains(target))
            .copied()
            .collect();
        for target in unregistered {
            self.remove_target(target);
        }
        for holder in holders {
            self.ensure_lease(holder, now);
        }
    }

    /// Returns the number of leases.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of services with a hold on mass expiry.
    pub(crate) fn holds(&self) -> usize {
        self.holds.len()
    }

    /// Grants a full lease to an incarnation, replacing that of another at the address.
    pub(crate) fn grant(&mut self, holder: LeaseHolder, now: ClockMillis) {
        self.ensure_lease(holder, now);
        self.renew(holder.target, holder.incarnation, now);
    }

    /// Grants a full lease unless `holder` already has one.
    fn ensure_lease(&mut self, holder: LeaseHolder, now: ClockMillis) {
        if self.holder_of(holder.target) == Some(holder) {
            return;
        }
        self.remove_target(holder.target);
        self.last_generation += 1;
        let slot = self.records.insert(LeaseRecord {
            holder,
            generation: self.last_generation,
            renewed_at: now,
        });
        self.slots_by_target.insert(holder.target, slot);
        self.slots_by_service
            .entry(holder.service)
            .or_default()
            .insert(slot);
        self.enqueue(slot, now.after(LEASE_MILLIS));
    }

    /// Renews the lease of an incarnation; returns whether it has one.
    pub(crate) fn renew(
        &mut self,
        target: TargetKey,
        incarnation: IncarnationId,
        now: ClockMillis,
    ) -> bool {
        let Some(slot) = self.slots_by_target.get(&target) else {
            return false;
        };
        let record = &mut self.records[*slot];
        if record.holder.incarnation != incarnation {
            return false;
        }
        record.renewed_at = record.renewed_at.max(now);
        true
    }

    /// Removes the lease of whichever incarnation is registered at an address.
    pub(crate) fn remove_target(&mut self, target: TargetKey) {
        let Some(slot) = self.slots_by_target.remove(&target) else {
            return;
        };
        let record = self.records.remove(slot);
        let service = record.holder.service;
        if let Some(slots) = self.slots_by_service.get_mut(&service) {
            slots.remove(&slot);
            if slots.is_empty() {
                self.slots_by_service.remove(&service);
                self.holds.remove(&service);
            }
        }
    }

    /// Decides which of the leases past their deadline expire and which are held.
    ///
    /// Expired leases stay in the table until the command that removes their targets is
    /// committed. Until then they are decided again after `EXPIRE_RETRY_MILLIS`.
    pub(crate) fn decide_expiries(&mut self, now: ClockMillis) -> ExpiryDecision {
        let mut decision = ExpiryDecision::default();
        for (service, slots) in self.pop_overdue(now) {
            self.decide_service(service, &slots, now, &mut decision);
        }
        decision
    }

    /// Pops the leases past their deadline from the queue, grouped by service.
    fn pop_overdue(&mut self, now: ClockMillis) -> BTreeMap<ServiceNumber, Vec<usize>> {
        let mut overdue: BTreeMap<ServiceNumber, Vec<usize>> = BTreeMap::new();
        while let Some(Reverse(entry)) = self.queue.peek().copied() {
            if entry.due > now {
                break;
            }
            self.queue.pop();
            let record = self.records.get(entry.slot);
            let Some(record) = record.filter(|record| record.generation == entry.generation) else {
                continue;
            };
            let deadline = record.renewed_at.after(LEASE_MILLIS);
            if deadline > now {
                self.enqueue(entry.slot, deadline);
            } else {
                let slots = overdue.entry(record.holder.service).or_default();
                slots.push(entry.slot);
            }
        }
        overdue
    }

    fn decide_service(
        &mut self,
        service: ServiceNumber,
        slots: &[usize],
        now: ClockMillis,
        decision: &mut ExpiryDecision,
    ) {
        let targets = self.slots_by_service.get(&service).map_or(0, BTreeSet::len);
        let silent = self.silent_count(service, now);
        let majority_silent = silent * 2 > targets;
        let hold = self.holds.get(&service).copied();
        match hold {
            Some(hold) if majority_silent && hold.until > now => {
                self.postpone(slots, hold.until);
            }
            Some(_) if majority_silent && silent < targets => {
                // Other targets still send heartbeats, so the silent ones have failed.
                self.holds.remove(&service);
                self.expire(slots, now, decision);
            }
            _ if majority_silent => {
                let hold = ExpiryHold::new(now);
                self.holds.insert(service, hold);
                self.postpone(slots, hold.until);
                decision.held.push(HoldReport {
                    service,
                    silent,
                    targets,
                    hold: hold.remaining(now),
                });
            }
            _ => {
                self.holds.remove(&service);
                self.expire(slots, now, decision);
            }
        }
    }

    fn silent_count(&self, service: ServiceNumber, now: ClockMillis) -> usize {
        let slots = self.slots_by_service.get(&service).into_iter().flatten();
        slots
            .filter(|slot| now.since(self.records[**slot].renewed_at) >= SILENT_MILLIS)
            .count()
    }

    fn postpone(&mut self, slots: &[usize], until: ClockMillis) {
        for slot in slots {
            self.enqueue(*slot, until);
        }
    }

    fn expire(&mut self, slots: &[usize], now: ClockMillis, decision: &mut ExpiryDecision) {
        for slot in slots {
            let holder = self.records[*slot].holder;
            decision.expired.push((holder.target, holder.incarnation));
            self.enqueue(*slot, now.after(EXPIRE_RETRY_MILLIS));
        }
    }

    fn enqueue(&mut self, slot: usize, due: ClockMillis) {
        let generation = self.records[slot].generation;
        self.queue.push(Reverse(QueueEntry {
            due,
            slot,
            generation,
        }));
    }

    fn holder_of(&self, target: TargetKey) -> Option<LeaseHolder> {
        let slot = self.slots_by_target.get(&target)?;
        Some(self.records[*slot].holder)
    }
}
