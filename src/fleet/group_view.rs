use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, Mutex, PoisonError},
};

use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::key::is_vm_address;

/// The number of replicas that keep the long flows of a target: one may lose its disk.
const JOURNAL_COPIES: usize = 2;

/// The most members that another process may name.
const MAX_NAMED_MEMBERS: usize = 32;

/// The members, leader and seeds of the control group that a process knows;
/// clones share them.
#[derive(Debug, Clone)]
pub(super) struct GroupView {
    state: Arc<Mutex<GroupState>>,
    notify: Arc<Notify>,
}

#[derive(Debug, Default)]
struct GroupState {
    seeds: Vec<SocketAddrV4>,
    members: Vec<Ipv4Addr>,
    /// Members that a process named that is none itself; they may be outdated.
    hearsay: Vec<Ipv4Addr>,
    leader: Option<Ipv4Addr>,
    /// The replica that answered last.
    watched: Option<Ipv4Addr>,
}

impl GroupView {
    /// Creates the view of a process that knows only the seeds.
    pub(super) fn new(seeds: Vec<SocketAddrV4>) -> Self {
        let state = GroupState {
            seeds,
            ..GroupState::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            notify: Arc::default(),
        }
    }

    /// Replaces the seeds; returns whether they changed.
    pub(super) fn set_seeds(&self, seeds: Vec<SocketAddrV4>) -> bool {
        self.with_state(|state| {
            let changed = state.seeds != seeds;
            state.seeds = seeds;
            changed
        })
    }

    /// Replaces the members; an empty list changes nothing.
    ///
    /// Returns whether the members changed.
    pub(super) fn update_members(&self, members: Vec<Ipv4Addr>) -> bool {
        let changed = self.with_state(|state| {
            if members.is_empty() {
                return false;
            }
            let changed = state.members != members;
            state.members = members;
            state.hearsay.clear();
            changed
        });
        if changed {
            self.notify.notify_waiters();
        }
        changed
    }

    /// Notes the members that another process named. A member of the group knows them; what
    /// others say counts only as further contacts, unless no member is known.
    ///
    /// Addresses that no VM can have are ignored. Returns whether the members changed.
    pub(super) fn note_members(&self, named: &[Ipv4Addr], from: Ipv4Addr) -> bool {
        let mut members: Vec<Ipv4Addr> = Vec::new();
        for address in named
            .iter()
            .copied()
            .filter(|address| is_vm_address(*address))
        {
            if members.len() < MAX_NAMED_MEMBERS && !members.contains(&address) {
                members.push(address);
            }
        }
        if members.contains(&from) || self.members().is_empty() {
            return self.update_members(members);
        }
        let news = self.with_state(|state| {
            members.retain(|member| !state.members.contains(member));
            let news = members.iter().any(|member| !state.hearsay.contains(member));
            if news {
                state.hearsay = members;
            }
            news
        });
        if news {
            self.notify.notify_waiters();
        }
        false
    }

    /// Returns the addresses of the seeds.
    pub(super) fn seeds(&self) -> Vec<Ipv4Addr> {
        self.with_state(|state| state.seeds.iter().map(|seed| *seed.ip()).collect())
    }

    /// Returns whether a seed has this address.
    pub(super) fn is_seed(&self, address: Ipv4Addr) -> bool {
        self.with_state(|state| state.seeds.iter().any(|seed| *seed.ip() == address))
    }

    /// Waits until the members or further contacts change.
    pub(super) async fn members_changed(&self) {
        self.notify.notified().await;
    }

    /// Returns the members of the control group.
    pub(super) fn members(&self) -> Vec<Ipv4Addr> {
        self.with_state(|state| state.members.clone())
    }

    /// Sets the leader to send callers to, as told by `replica`; none while that one
    /// knows none.
    pub(super) fn set_leader(&self, leader: Option<Ipv4Addr>, replica: Ipv4Addr) {
        self.with_state(|state| {
            state.leader = leader;
            state.watched = Some(replica);
        });
    }

    /// Forgets a replica that no longer answers.
    pub(super) fn forget_replica(&self, replica: Ipv4Addr) {
        self.with_state(|state| {
            state.leader = state.leader.filter(|leader| *leader != replica);
            state.watched = state.watched.filter(|watched| *watched != replica);
        });
    }

    /// Returns the leader, if one is known.
    pub(super) fn leader(&self) -> Option<Ipv4Addr> {
        self.with_state(|state| state.leader)
    }

    /// Returns the replica to send callers to: the leader or, if none is known, the one
    /// that answered last, which holds calls until it knows the next leader.
    pub(super) fn replica_for_callers(&self) -> Option<Ipv4Addr> {
        self.with_state(|state| {
            let first_member = state.members.first().copied();
            state.leader.or(state.watched).or(first_member)
        })
    }

    /// Returns the members, then the members named by others and the seeds.
    pub(super) fn contacts(&self) -> Vec<Ipv4Addr> {
        self.with_state(|state| {
            let mut contacts = state.members.clone();
            let seeds = state.seeds.iter().map(SocketAddrV4::ip);
            for contact in state.hearsay.iter().chain(seeds) {
                if !contacts.contains(contact) {
                    contacts.push(*contact);
                }
            }
            contacts
        })
    }

    /// Returns the members that keep the long flows of an agent's target. Agents spread
    /// over the members by rendezvous hashing, so most keep theirs when members change.
    pub(super) fn journal_replicas(&self, agent: Ipv4Addr) -> Vec<Ipv4Addr> {
        let mut members = self.members();
        members.sort_by_key(|member| xxh3_64(&[member.octets(), agent.octets()].concat()));
        members.truncate(JOURNAL_COPIES);
        members
    }

    fn with_state<T>(&self, access: impl FnOnce(&mut GroupState) -> T) -> T {
        access(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
