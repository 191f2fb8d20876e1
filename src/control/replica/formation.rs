//! Forming a group, and admission of replicas to an existing one.

use rand::Rng;

use super::{
    EntryBody, GroupId, GroupMembers, MemberId, PeerBody, PeerMessage, ReplicaAction, ReplicaCore,
    ReplicaId, ReplicaReport, TermNumber,
    candidate_state::CoreRole,
    limits::{EMPTY_PEER_MILLIS, JOIN_RETRY_MILLIS, MAX_JOIN_REQUESTS, REJOIN_MILLIS},
};
use crate::{clock::ClockMillis, control::formation::GroupProposal};

impl ReplicaCore {
    /// Requests admission, or forms the group, while this replica has no leader and
    /// is no voter.
    ///
    /// A learner without a leader asks again: its admission may have been rolled
    /// back with the leader that appended it.
    pub(super) fn request_admission(&mut self, now: ClockMillis) {
        if now < self.next_join_at || self.leader.is_some() {
            return;
        }
        if self.log.members().is_voter(self.hard_state.disk) && !self.may_have_been_removed(now) {
            return;
        }
        self.next_join_at = now.after(JOIN_RETRY_MILLIS);
        if self.hard_state.group.is_none() && self.can_form_group(now) {
            self.form_listed_group(now);
            return;
        }
        for to in self.peers.others.clone() {
            let message = self.build_message(None, self.hard_state.term, PeerBody::JoinRequest);
            self.actions.push(ReplicaAction::Send { to, message });
        }
    }

    /// Returns whether an open group may have removed this voter.
    fn may_have_been_removed(&self, now: ClockMillis) -> bool {
        self.peers.admission.is_open() && now.since(self.leader_contact_at) >= REJOIN_MILLIS
    }

    /// Replaces the peers to ask for admission; those of a listed group stay.
    pub(super) fn update_peers(&mut self, replicas: Vec<ReplicaId>) {
        if self.peers.admission.is_listed() {
            return;
        }
        let own = self.peers.own;
        self.peers.others = replicas;
        self.peers.others.retain(|replica| *replica != own);
    }

    /// Returns whether every listed peer has recently reported an empty disk and
    /// this replica has the lowest identifier.
    fn can_form_group(&self, now: ClockMillis) -> bool {
        self.peers.admission.is_listed()
            && self.peers.others.iter().all(|replica| {
                let empty = self.empty_peers.get(replica);
                *replica > self.peers.own
                    && empty.is_some_and(|(_, at)| now.since(*at) < EMPTY_PEER_MILLIS)
            })
    }

    fn form_listed_group(&mut self, now: ClockMillis) {
        let group = GroupId::new(self.rng.random());
        let mut member_ids = vec![self.member_id()];
        for (replica, (disk, _)) in &self.empty_peers {
            if self.peers.others.contains(replica) {
                member_ids.push(MemberId {
                    replica: *replica,
                    disk: *disk,
                });
            }
        }
        self.start_log(group, GroupMembers::new(member_ids));
        self.start_pre_vote(now);
    }

    /// Joins the group that the seeds have agreed on, if this replica is one of its
    /// founders. All founders start with the same entry; one of them holds an election at
    /// once.
    pub(super) fn join_as_founder(&mut self, proposal: &GroupProposal, now: ClockMillis) {
        let own = self.member_id();
        let is_new = self.peers.admission.is_open() && self.hard_state.group.is_none();
        if !is_new || !proposal.is_valid() || !proposal.founders.contains(&own) {
            return;
        }
        self.start_log(proposal.group, proposal.members());
        if proposal.replicas().min() == Some(own.replica) {
            self.start_pre_vote(now);
        } else {
            self.schedule_election_retry(now);
        }
    }

    /// Starts the log of a new group, in whose first term nobody is elected.
    fn start_log(&mut self, group: GroupId, members: GroupMembers) {
        self.hard_state.group = Some(group);
        self.hard_state.term = TermNumber::new(1);
        self.hard_state.voted_for = Some(self.hard_state.disk);
        self.disk.save_hard_state(self.hard_state);
        self.append_entry(EntryBody::Members(members));
        self.report(ReplicaReport::GroupFormed { group });
    }

    /// Handles a join request: a leader queues it, a follower of an open group
    /// forwards it, and a replica that may still form a listed group reports its
    /// empty disk.
    pub(super) fn handle_join_request(&mut self, message: &PeerMessage) {
        let from = message.from;
        if self.hard_state.group.is_none() {
            if message.group.is_none() && self.peers.admission.is_listed() {
                self.send(from, PeerBody::EmptyDiskResponse);
            }
            return;
        }
        let is_foreign = message.group.is_some() && message.group != self.hard_state.group;
        let may_join = self.peers.admission.is_open() || self.peers.others.contains(&from.replica);
        if is_foreign || !may_join {
            return;
        }
        if !matches!(self.role, CoreRole::Leader(_)) {
            self.forward_join(message);
            return;
        }
        let is_member = self.log.members().find(from.disk).is_some();
        if let CoreRole::Leader(leader) = &mut self.role
            && !is_member
        {
            leader
                .join_requests
                .retain(|member_id| member_id.replica != from.replica);
            if leader.join_requests.len() < MAX_JOIN_REQUESTS {
                leader.join_requests.push(from);
            }
        }
    }

    /// Forwards a join request to the leader, which the sender may not know.
    ///
    /// A request that was already forwarded goes no further.
    fn forward_join(&mut self, message: &PeerMessage) {
        if let Some(leader) = self.leader
            && self.peers.admission.is_open()
            && message.to.is_none()
        {
            let mut forwarded = message.clone();
            forwarded.to = Some(leader.disk);
            self.actions.push(ReplicaAction::Send {
                to: leader.replica,
                message: forwarded,
            });
        }
    }

    /// Records that a peer's disk is empty.
    ///
    /// Only an answer addressed to this data folder counts: it was given after this
    /// replica started.
    pub(super) fn handle_empty_disk(&mut self, message: &PeerMessage, now: ClockMillis) {
        if self.hard_state.group.is_none() && message.group.is_none() && message.to.is_some() {
            let MemberId { replica, disk } = message.from;
            self.empty_peers.insert(replica, (disk, now));
        }
    }
}
