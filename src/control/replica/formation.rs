//! How a group starts, and how a replica with an empty disk finds it.

use rand::Rng;

use super::{
    EntryBody, GroupId, GroupMembers, PeerBody, PeerMessage, ReplicaAction, ReplicaCore, ReplicaId,
    ReplicaReport, ReplicaSeat, TermNumber,
    candidate_state::CoreRole,
    limits::{FORMATION_MILLIS, JOIN_MILLIS, MAX_JOINERS, REJOIN_MILLIS},
};
use crate::clock::ClockMillis;

impl ReplicaCore {
    /// Asks for admission while this data folder does not count.
    ///
    /// A learner that hears no leader asks again: its admission may have been
    /// reverted with the leader that made it.
    pub(super) fn seek_group(&mut self, now: ClockMillis) {
        if now < self.join_at || self.leader.is_some() {
            return;
        }
        if self.log.members().is_voter(self.hard_state.disk) && !self.may_be_removed(now) {
            return;
        }
        self.join_at = now.after(JOIN_MILLIS);
        if self.hard_state.group.is_none() && self.may_form(now) {
            self.form_group(now);
            return;
        }
        for to in self.peers.others.clone() {
            let message = self.message(None, self.hard_state.term, PeerBody::JoinAsked);
            self.actions.push(ReplicaAction::Send { to, message });
        }
    }

    /// Returns whether an open group may have removed this voter meanwhile.
    fn may_be_removed(&self, now: ClockMillis) -> bool {
        self.peers.admission.is_open() && now.since(self.leader_heard_at) >= REJOIN_MILLIS
    }

    /// Replaces the places to ask for admission; a replica that may still form
    /// the group keeps those that it forms the group with.
    pub(super) fn meet_peers(&mut self, replicas: Vec<ReplicaId>) {
        if self.hard_state.group.is_none() && self.peers.admission.may_found() {
            return;
        }
        let own = self.peers.own;
        self.peers.others = replicas;
        self.peers.others.retain(|replica| *replica != own);
    }

    /// Returns whether every listed replica has said that its disk is empty,
    /// and this one is the first of them.
    fn may_form(&self, now: ClockMillis) -> bool {
        self.peers.admission.may_found()
            && self.peers.others.iter().all(|replica| {
                let empty = self.empties.get(replica);
                *replica > self.peers.own
                    && empty.is_some_and(|(_, at)| now.since(*at) < FORMATION_MILLIS)
            })
    }

    fn form_group(&mut self, now: ClockMillis) {
        let group = GroupId::new(self.generator.random());
        let mut seats = vec![self.seat()];
        for (replica, (disk, _)) in &self.empties {
            if self.peers.others.contains(replica) {
                seats.push(ReplicaSeat {
                    replica: *replica,
                    disk: *disk,
                });
            }
        }
        self.hard_state.group = Some(group);
        self.hard_state.term = TermNumber::new(1);
        self.hard_state.voted_for = Some(self.hard_state.disk);
        self.disk.save_hard_state(self.hard_state);
        self.append_own(EntryBody::Members(GroupMembers::new(seats)));
        self.report(ReplicaReport::GroupFormed { group });
        self.start_trial(now);
    }

    /// Hears a replica that is in no group.
    pub(super) fn hear_join(&mut self, message: &PeerMessage) {
        let from = message.from;
        if self.hard_state.group.is_none() {
            if message.group.is_none() && self.peers.admission.may_found() {
                self.send(from, PeerBody::JoinEmpty);
            }
            return;
        }
        let foreign = message.group.is_some() && message.group != self.hard_state.group;
        let welcome = self.peers.admission.is_open() || self.peers.others.contains(&from.replica);
        if foreign || !welcome {
            return;
        }
        if !matches!(self.role, CoreRole::Leader(_)) {
            self.relay_join(message);
            return;
        }
        let known = self.log.members().find(from.disk).is_some();
        if let CoreRole::Leader(leader) = &mut self.role
            && !known
        {
            leader.joiners.retain(|seat| seat.replica != from.replica);
            if leader.joiners.len() < MAX_JOINERS {
                leader.joiners.push(from);
            }
        }
    }

    /// Hands a request for admission on to the leader, which the sender may not
    /// know; a request that was handed on already goes no further.
    fn relay_join(&mut self, message: &PeerMessage) {
        if let Some(leader) = self.leader
            && self.peers.admission.is_open()
            && message.to.is_none()
        {
            let mut relayed = message.clone();
            relayed.to = Some(leader.disk);
            self.actions.push(ReplicaAction::Send {
                to: leader.replica,
                message: relayed,
            });
        }
    }

    /// Hears that a peer's disk is empty; the answer names this data folder,
    /// so it was given after this replica had started.
    pub(super) fn hear_empty(&mut self, message: &PeerMessage, now: ClockMillis) {
        if self.hard_state.group.is_none() && message.group.is_none() && message.to.is_some() {
            let ReplicaSeat { replica, disk } = message.from;
            self.empties.insert(replica, (disk, now));
        }
    }
}
