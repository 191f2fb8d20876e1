use super::{
    LabModel, MessageKind, ModelEvent, ModelMicros, QueueEntry, RequestKey, RequestState,
    StationPhase, lab_model::domain_of,
};
use crate::agent::slot::SlotKey;

impl LabModel {
    /// How long a request waits for probe replies.
    const PROBE_TIMEOUT: ModelMicros = ModelMicros::from_millis(10);
    /// The time between two steal attempts of an idle target.
    const STEAL_RETRY_INTERVAL: ModelMicros = ModelMicros::from_millis(5);

    /// Sends claims for a request that waits at home to `count` peers.
    pub(super) fn send_claims(
        &mut self,
        home: usize,
        key: RequestKey,
        count: usize,
        own_domain_first: bool,
    ) {
        let waits = self
            .requests
            .get(key)
            .is_some_and(|request| request.state == RequestState::Waiting);
        if !waits {
            return;
        }
        let mut peers = self.draw_peers(home, usize::MAX);
        if own_domain_first {
            peers.sort_by_key(|&peer| domain_of(peer) != domain_of(home));
        }
        peers.truncate(count);
        for &peer in &peers {
            self.send(home, peer, MessageKind::Claim(key));
        }
        self.requests[key].claims = peers;
    }

    /// Holds a slot for a peer's claim and sends the grant.
    pub(super) fn grant_claim(&mut self, target: usize, key: RequestKey, slot: SlotKey) {
        let Some(request) = self.requests.get(key) else {
            // The cancellation from the home has not arrived yet.
            self.release_unused(target, slot);
            return;
        };
        let home = request.home;
        self.stations[target].hold_slot(key, slot);
        self.send(target, home, MessageKind::Grant(key));
        self.schedule_in(self.setup.hold_time, ModelEvent::HoldExpired(target, key));
    }

    /// Sends a waiting request to the peer that granted a slot, or declines the grant.
    pub(super) fn handle_grant(&mut self, home: usize, peer: usize, key: RequestKey) {
        let waiting = self
            .requests
            .get_mut(key)
            .filter(|request| request.state == RequestState::Waiting);
        let Some(request) = waiting else {
            self.send(home, peer, MessageKind::Decline(key));
            return;
        };
        request.state = RequestState::Sent(peer);
        self.stations[home].withdraw(key);
        self.cancel_claims(key, peer);
        self.send(home, peer, MessageKind::Start(key));
    }

    /// Runs a request in the slot held for it, if the hold has not expired.
    pub(super) fn handle_start(&mut self, target: usize, home: usize, key: RequestKey) {
        match self.stations[target].take_held_slot(key) {
            Some(slot) => self.start_request(target, key, slot),
            None => self.send(target, home, MessageKind::NotHeld(key)),
        }
    }

    /// Frees the slot held for a request, if any.
    pub(super) fn release_held_slot(&mut self, target: usize, key: RequestKey) {
        if let Some(slot) = self.stations[target].take_held_slot(key) {
            self.release_unused(target, slot);
        }
    }

    /// Cancels the claims of a request, except the one at `used`.
    pub(super) fn cancel_claims(&mut self, key: RequestKey, used: usize) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let home = request.home;
        for peer in std::mem::take(&mut request.claims) {
            if peer != used {
                self.send(home, peer, MessageKind::Cancel(key));
            }
        }
    }

    /// Asks two peers for their queue lengths.
    pub(super) fn probe_peers(&mut self, home: usize, key: RequestKey) {
        let peers = self.draw_peers(home, 2);
        for &peer in &peers {
            self.send(home, peer, MessageKind::Probe(key));
        }
        self.requests[key].probe.pending_replies = peers.len();
        self.schedule_in(Self::PROBE_TIMEOUT, ModelEvent::ProbeTimeout(key));
    }

    /// Records a probe reply; the last one ends the probe.
    pub(super) fn handle_probe_reply(&mut self, peer: usize, key: RequestKey, length: usize) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.probe.pending_replies == 0 {
            return;
        }
        if request
            .probe
            .shortest
            .is_none_or(|(_, shortest)| length < shortest)
        {
            request.probe.shortest = Some((peer, length));
        }
        if request.probe.pending_replies == 1 {
            self.finish_probe(key);
        } else {
            request.probe.pending_replies -= 1;
        }
    }

    /// Sends a request to the shortest queue, once all replies are in or the timeout is over.
    pub(super) fn finish_probe(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.state != RequestState::Waiting || request.probe.pending_replies == 0 {
            return;
        }
        request.probe.pending_replies = 0;
        let home = request.home;
        let own = self.stations[home].load().requests as usize;
        match request.probe.shortest {
            Some((target, length)) if length < own => {
                request.state = RequestState::Sent(target);
                self.send(home, target, MessageKind::Enqueue(key));
            }
            _ => self.enqueue_at(home, key),
        }
    }

    /// Lets an idle target ask a random peer for a waiting request.
    pub(super) fn try_steal(&mut self, target: usize) {
        let station = &self.stations[target];
        let is_idle = station.free_slots() > 0 && station.own_waiting().is_empty();
        if !is_idle || station.is_stealing || station.phase != StationPhase::Serving {
            return;
        }
        if self.is_finishing && self.requests.is_empty() {
            return;
        }
        let Some(&peer) = self.draw_peers(target, 1).first() else {
            return;
        };
        self.stations[target].is_stealing = true;
        self.send(target, peer, MessageKind::Steal);
        self.schedule_in(Self::STEAL_RETRY_INTERVAL, ModelEvent::StealRetry(target));
    }

    /// Sends the waiting request of highest priority, then longest wait, to an idle peer.
    pub(super) fn hand_over_request(&mut self, target: usize, thief: usize) {
        let waiting = self.stations[target].own_waiting();
        let due = waiting.into_iter().min_by_key(|&key| {
            let request = &self.requests[key];
            (request.priority, request.arrived)
        });
        if let Some(key) = due {
            self.stations[target].withdraw(key);
            self.requests[key].state = RequestState::Sent(thief);
            self.send(target, thief, MessageKind::StolenRequest(key));
        }
    }

    /// Queues a peer's claim for a slot.
    pub(super) fn handle_claim(&mut self, target: usize, key: RequestKey) {
        self.request_slot(target, QueueEntry::Claim(key));
    }
}
