use std::collections::BTreeMap;

use super::{
    FormationSettings, StorageKind,
    ballot_quorum::quorum_of,
    formation_limits::{
        AMPLE_FOUNDERS, ANY_FOUNDER_MILLIS, FEW_FOUNDERS_MILLIS, GATHER_MILLIS, MAX_FOUNDERS,
        MAX_REGISTRATIONS, REGISTRATION_MILLIS,
    },
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::replica::{MemberId, ReplicaId},
};

/// The replicas without a group that have registered with a seed.
#[derive(Debug, Default)]
pub(crate) struct FounderRegistry {
    registrations: BTreeMap<ReplicaId, Registration>,
}

#[derive(Debug, Clone, Copy)]
struct Registration {
    member: MemberId,
    storage: StorageKind,
    at: ClockMillis,
}

impl FounderRegistry {
    /// Records a registration; beyond `MAX_REGISTRATIONS` replicas further ones are
    /// ignored.
    pub(crate) fn register(&mut self, member: MemberId, storage: StorageKind, now: ClockMillis) {
        let is_known = self.registrations.contains_key(&member.replica);
        if !is_known && self.registrations.len() >= MAX_REGISTRATIONS {
            self.registrations
                .retain(|_, registration| is_fresh(registration, now));
            if self.registrations.len() >= MAX_REGISTRATIONS {
                return;
            }
        }
        let registration = Registration {
            member,
            storage,
            at: now,
        };
        self.registrations.insert(member.replica, registration);
    }

    /// Returns the replicas to form a group with; `None` while others may still register.
    ///
    /// `waited` is the time since the seed's start.
    pub(crate) fn founders(
        &self,
        settings: &FormationSettings,
        waited: SpanMillis,
        now: ClockMillis,
    ) -> Option<Vec<MemberId>> {
        let on_disk = self.fresh(StorageKind::Disk, now);
        if !on_disk.is_empty() {
            let losses = settings.tolerated_losses.min(MAX_FOUNDERS / 2);
            let all_voters = 2 * losses + 1;
            let needed = if waited >= ANY_FOUNDER_MILLIS {
                1
            } else if waited >= FEW_FOUNDERS_MILLIS {
                losses + 1
            } else if waited >= GATHER_MILLIS {
                all_voters
            } else {
                all_voters.max(AMPLE_FOUNDERS)
            };
            return (on_disk.len() >= needed).then_some(on_disk);
        }
        let mut in_memory = self.fresh(StorageKind::Memory, now);
        in_memory.retain(|member| settings.seeds.contains(&member.replica));
        let needed = if waited >= ANY_FOUNDER_MILLIS {
            quorum_of(settings.seeds.len())
        } else if waited >= FEW_FOUNDERS_MILLIS {
            settings.seeds.len()
        } else {
            return None;
        };
        (in_memory.len() >= needed).then_some(in_memory)
    }

    fn fresh(&self, storage: StorageKind, now: ClockMillis) -> Vec<MemberId> {
        let registrations = self.registrations.values();
        registrations
            .filter(|registration| registration.storage == storage && is_fresh(registration, now))
            .map(|registration| registration.member)
            .take(MAX_FOUNDERS)
            .collect()
    }
}

fn is_fresh(registration: &Registration, now: ClockMillis) -> bool {
    now.since(registration.at) < REGISTRATION_MILLIS
}
