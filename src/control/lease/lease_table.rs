use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
};

use slab::Slab;

use super::{HoldReport, LeaseClaim, LeaseRecord, LeaseVerdict, ServiceHold};
use crate::{
    clock::{ClockMillis, SpanMillis},
    key::{IncarnationId, ServiceNumber, TargetKey},
};

/// The time after which a lease runs out without a heartbeat.
pub(crate) const LEASE_MILLIS: SpanMillis = SpanMillis::new(15_000);
/// The silence from which a target counts as silent beside one that ran out.
const SILENT_MILLIS: SpanMillis = SpanMillis::new(7_500);
/// The time after which an expiry that was not committed is asked for again.
const EXPIRE_RETRY_MILLIS: SpanMillis = SpanMillis::new(2_000);

/// When a lease comes up for a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    due: ClockMillis,
    slot: usize,
    grant: u64,
}

/// The leases of all registered runs.
///
/// A heartbeat only notes the time. Each lease has one entry in a heap; when
/// it comes up, a lease that was renewed meanwhile is put back.
#[derive(Debug, Default)]
pub(crate) struct LeaseTable {
    records: Slab<LeaseRecord>,
    slots: HashMap<TargetKey, usize>,
    members: HashMap<ServiceNumber, BTreeSet<usize>>,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    granted: u64,
    holds: BTreeMap<ServiceNumber, ServiceHold>,
}

impl LeaseTable {
    /// Grants a full lease to every registered run, as a new leader does.
    #[cfg(test)]
    pub(crate) fn with_claims(
        claims: impl IntoIterator<Item = LeaseClaim>,
        now: ClockMillis,
    ) -> Self {
        let mut table = Self::default();
        for claim in claims {
            table.grant(claim, now);
        }
        table
    }

    /// Keeps leases for exactly these runs; those that are kept run on.
    pub(crate) fn replace_claims(&mut self, claims: Vec<LeaseClaim>, now: ClockMillis) {
        let registered: BTreeSet<TargetKey> = claims.iter().map(|claim| claim.target).collect();
        let gone: Vec<TargetKey> = self
            .slots
            .keys()
            .filter(|target| !registered.contains(target))
            .copied()
            .collect();
        for target in gone {
            self.remove_target(target);
        }
        for claim in claims {
            self.hold(claim, now);
        }
    }

    /// Returns the leases that are kept.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the services whose silent leases are held.
    pub(crate) fn holds(&self) -> usize {
        self.holds.len()
    }

    /// Grants a full lease to a run; another run at the address loses its own.
    pub(crate) fn grant(&mut self, claim: LeaseClaim, now: ClockMillis) {
        self.hold(claim, now);
        self.renew(claim.target, claim.incarnation, now);
    }

    /// Keeps the lease of a run, and grants one if there is none.
    fn hold(&mut self, claim: LeaseClaim, now: ClockMillis) {
        if self.claim_of(claim.target) == Some(claim) {
            return;
        }
        self.remove_target(claim.target);
        self.granted += 1;
        let slot = self.records.insert(LeaseRecord {
            claim,
            grant: self.granted,
            renewed: now,
        });
        self.slots.insert(claim.target, slot);
        self.members.entry(claim.service).or_default().insert(slot);
        self.enqueue(slot, now.after(LEASE_MILLIS));
    }

    /// Renews the lease of a run; returns whether it is kept here.
    pub(crate) fn renew(
        &mut self,
        target: TargetKey,
        incarnation: IncarnationId,
        now: ClockMillis,
    ) -> bool {
        let Some(slot) = self.slots.get(&target) else {
            return false;
        };
        let record = &mut self.records[*slot];
        if record.claim.incarnation != incarnation {
            return false;
        }
        record.renewed = record.renewed.max(now);
        true
    }

    /// Drops whatever lease is kept for an address.
    pub(crate) fn remove_target(&mut self, target: TargetKey) {
        let Some(slot) = self.slots.remove(&target) else {
            return;
        };
        let record = self.records.remove(slot);
        let service = record.claim.service;
        if let Some(members) = self.members.get_mut(&service) {
            members.remove(&slot);
            if members.is_empty() {
                self.members.remove(&service);
                self.holds.remove(&service);
            }
        }
    }

    /// Decides about the leases that ran out by `now`.
    ///
    /// The expired ones stay in the table until the command that removes
    /// them is committed; until then they come up again with each decision.
    pub(crate) fn decide(&mut self, now: ClockMillis) -> LeaseVerdict {
        let mut verdict = LeaseVerdict::default();
        for (service, slots) in self.overdue(now) {
            self.decide_service(service, &slots, now, &mut verdict);
        }
        verdict
    }

    /// Takes the leases that ran out from the queue, by service.
    fn overdue(&mut self, now: ClockMillis) -> BTreeMap<ServiceNumber, Vec<usize>> {
        let mut overdue: BTreeMap<ServiceNumber, Vec<usize>> = BTreeMap::new();
        while let Some(Reverse(entry)) = self.queue.peek().copied() {
            if entry.due > now {
                break;
            }
            self.queue.pop();
            let record = self.records.get(entry.slot);
            let Some(record) = record.filter(|record| record.grant == entry.grant) else {
                continue;
            };
            let deadline = record.renewed.after(LEASE_MILLIS);
            if deadline > now {
                self.enqueue(entry.slot, deadline);
            } else {
                let slots = overdue.entry(record.claim.service).or_default();
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
        verdict: &mut LeaseVerdict,
    ) {
        let targets = self.members.get(&service).map_or(0, BTreeSet::len);
        let silent = self.count_silent(service, now);
        let suspicious = silent * 2 > targets;
        let hold = self.holds.get(&service).copied();
        match hold {
            Some(hold) if suspicious && hold.until > now => {
                self.postpone(slots, hold.until);
            }
            Some(_) if suspicious && silent < targets => {
                // The others are heard, so the silent ones are gone in truth.
                self.holds.remove(&service);
                self.expire(slots, now, verdict);
            }
            _ if suspicious => {
                let hold = ServiceHold::new(now);
                self.holds.insert(service, hold);
                self.postpone(slots, hold.until);
                verdict.held.push(HoldReport {
                    service,
                    silent,
                    targets,
                    hold: hold.rest(now),
                });
            }
            _ => {
                self.holds.remove(&service);
                self.expire(slots, now, verdict);
            }
        }
    }

    fn count_silent(&self, service: ServiceNumber, now: ClockMillis) -> usize {
        let members = self.members.get(&service).into_iter().flatten();
        members
            .filter(|slot| now.since(self.records[**slot].renewed) >= SILENT_MILLIS)
            .count()
    }

    fn postpone(&mut self, slots: &[usize], until: ClockMillis) {
        for slot in slots {
            self.enqueue(*slot, until);
        }
    }

    fn expire(&mut self, slots: &[usize], now: ClockMillis, verdict: &mut LeaseVerdict) {
        for slot in slots {
            let claim = self.records[*slot].claim;
            verdict.expired.push((claim.target, claim.incarnation));
            self.enqueue(*slot, now.after(EXPIRE_RETRY_MILLIS));
        }
    }

    fn enqueue(&mut self, slot: usize, due: ClockMillis) {
        let grant = self.records[slot].grant;
        self.queue.push(Reverse(QueueEntry { due, slot, grant }));
    }

    fn claim_of(&self, target: TargetKey) -> Option<LeaseClaim> {
        let slot = self.slots.get(&target)?;
        Some(self.records[*slot].claim)
    }
}
