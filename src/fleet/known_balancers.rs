use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

use crate::{
    clock::{ClockMillis, SpanMillis},
    key::is_vm_address,
};

/// Time without a message after which a balancer counts as gone: five of the
/// intervals at which balancers contact every replica.
const BALANCER_RETENTION_MILLIS: SpanMillis = SpanMillis::new(10_000);
/// Time without a message after which a balancer is recalled: it may have restarted
/// beside seeds that know no group.
const SILENCE_MILLIS: SpanMillis = SpanMillis::new(3_000);
/// Shortest time between two recalls of a balancer.
const RECALL_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// How long a silent balancer is recalled; regions may lose each other for an hour.
const RECALL_RETENTION_MILLIS: SpanMillis = SpanMillis::new(2 * 3_600_000);
/// The most balancers to keep track of.
const MAX_BALANCERS: usize = 8_192;

/// The balancers that a replica has heard from, whichever replica they watch.
#[derive(Debug, Default)]
pub(super) struct KnownBalancers {
    contacts: BTreeMap<Ipv4Addr, BalancerContact>,
}

#[derive(Debug, Clone, Copy)]
struct BalancerContact {
    heard_at: ClockMillis,
    /// Whether its connection has ended since, so that it may be recalled at once.
    disconnected: bool,
    recalled_at: Option<ClockMillis>,
}

impl BalancerContact {
    fn needs_recall(&self, now: ClockMillis) -> bool {
        let is_silent = self.disconnected || now.since(self.heard_at) >= SILENCE_MILLIS;
        let is_due = self
            .recalled_at
            .is_none_or(|recalled_at| now.since(recalled_at) >= RECALL_MILLIS);
        is_silent && is_due
    }
}

impl KnownBalancers {
    /// Records a message of a balancer. Beyond `MAX_BALANCERS` it replaces the one that
    /// has been silent for longest.
    pub(super) fn note_heard(&mut self, balancer: Ipv4Addr, now: ClockMillis) {
        if !is_vm_address(balancer) {
            return;
        }
        if self.contacts.len() >= MAX_BALANCERS && !self.contacts.contains_key(&balancer) {
            let contacts = self.contacts.iter();
            let quietest = contacts.min_by_key(|(_, contact)| contact.heard_at);
            if let Some(quietest) = quietest.map(|(address, _)| *address) {
                self.contacts.remove(&quietest);
            }
        }
        let contact = BalancerContact {
            heard_at: now,
            disconnected: false,
            recalled_at: None,
        };
        self.contacts.insert(balancer, contact);
    }

    /// Records that the connection of a balancer has ended.
    pub(super) fn note_disconnected(&mut self, balancer: Ipv4Addr) {
        if let Some(contact) = self.contacts.get_mut(&balancer) {
            contact.disconnected = true;
        }
    }

    /// Adds balancers that ran before this replica started, unless they have been heard.
    pub(super) fn expect(&mut self, balancers: &BTreeSet<Ipv4Addr>, now: ClockMillis) {
        for balancer in balancers
            .iter()
            .filter(|balancer| is_vm_address(**balancer))
        {
            self.contacts.entry(*balancer).or_insert(BalancerContact {
                heard_at: now,
                disconnected: true,
                recalled_at: None,
            });
        }
    }

    /// Returns the balancers heard recently.
    pub(super) fn running(&self, now: ClockMillis) -> BTreeSet<Ipv4Addr> {
        let contacts = self.contacts.iter();
        contacts
            .filter(|(_, contact)| now.since(contact.heard_at) < BALANCER_RETENTION_MILLIS)
            .map(|(address, _)| *address)
            .collect()
    }

    /// Returns at most `limit` silent balancers to recall now, those first that were
    /// recalled longest ago, and forgets those that have been silent for too long.
    pub(super) fn take_recalls(&mut self, limit: usize, now: ClockMillis) -> Vec<Ipv4Addr> {
        self.contacts
            .retain(|_, contact| now.since(contact.heard_at) < RECALL_RETENTION_MILLIS);
        let contacts = self.contacts.iter();
        let mut due: Vec<(Option<ClockMillis>, Ipv4Addr)> = contacts
            .filter(|(_, contact)| contact.needs_recall(now))
            .map(|(address, contact)| (contact.recalled_at, *address))
            .collect();
        due.sort_unstable();
        due.truncate(limit);
        let balancers: Vec<Ipv4Addr> = due.into_iter().map(|(_, address)| address).collect();
        for balancer in &balancers {
            if let Some(contact) = self.contacts.get_mut(balancer) {
                contact.recalled_at = Some(now);
            }
        }
        balancers
    }
}
