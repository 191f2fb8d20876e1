use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, Mutex, PoisonError},
};

use tokio::sync::Notify;

/// What a process knows of the control group; clones share it.
#[derive(Debug, Clone)]
pub(super) struct GroupView {
    known: Arc<Mutex<GroupState>>,
    changes: Arc<Notify>,
}

#[derive(Debug, Default)]
struct GroupState {
    seeds: Vec<SocketAddrV4>,
    members: Vec<Ipv4Addr>,
    leader: Option<Ipv4Addr>,
}

impl GroupView {
    /// Creates the view of a process that knows only seeds.
    pub(super) fn new(seeds: Vec<SocketAddrV4>) -> Self {
        let known = GroupState {
            seeds,
            ..GroupState::default()
        };
        Self {
            known: Arc::new(Mutex::new(known)),
            changes: Arc::default(),
        }
    }

    /// Replaces the seeds; returns whether they are others.
    pub(super) fn set_seeds(&self, seeds: Vec<SocketAddrV4>) -> bool {
        self.with(|known| {
            let other = known.seeds != seeds;
            known.seeds = seeds;
            other
        })
    }

    /// Takes the members that somebody knows; an empty list says nothing.
    ///
    /// Returns whether the members are others.
    pub(super) fn update_members(&self, members: Vec<Ipv4Addr>, leader: Option<Ipv4Addr>) -> bool {
        let other = self.with(|known| {
            if members.is_empty() {
                return false;
            }
            known.leader = leader.or(known.leader);
            let other = known.members != members;
            known.members = members;
            other
        });
        if other {
            self.changes.notify_waiters();
        }
        other
    }

    /// Waits until the members are others.
    pub(super) async fn changed(&self) {
        self.changes.notified().await;
    }

    /// Returns the members of the control group.
    pub(super) fn members(&self) -> Vec<Ipv4Addr> {
        self.with(|known| known.members.clone())
    }

    /// Returns the leader that was last heard of.
    pub(super) fn leader(&self) -> Option<Ipv4Addr> {
        self.with(|known| known.leader)
    }

    /// Returns members and seeds, whom to ask when nobody answers.
    pub(super) fn contacts(&self) -> Vec<Ipv4Addr> {
        self.with(|known| {
            let mut contacts = known.members.clone();
            for seed in &known.seeds {
                if !contacts.contains(seed.ip()) {
                    contacts.push(*seed.ip());
                }
            }
            contacts
        })
    }

    fn with<T>(&self, look: impl FnOnce(&mut GroupState) -> T) -> T {
        look(&mut self.known.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
