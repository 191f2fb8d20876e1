use super::{
    LabModel, LineEntry, MessageKind, ModelEvent, ModelMicros, RequestKey, RequestState,
    StationPhase, lab_model::domain_of,
};
use crate::agent::slot::SlotKey;

impl LabModel {
    /// How long a request waits for the replies to its probes.
    const PROBE_WAIT: ModelMicros = ModelMicros::from_millis(10);
    /// The time after which an idle target looks for work again.
    const STEAL_WAIT: ModelMicros = ModelMicros::from_millis(5);

    /// Places claims of a request that waits at home with `count` peers.
    pub(super) fn claim_slots(&mut self, home: usize, key: RequestKey, count: usize, near: bool) {
        let waits = self
            .requests
            .get(key)
            .is_some_and(|request| request.state == RequestState::Waiting);
        if !waits {
            return;
        }
        let mut peers = self.draw_peers(home, usize::MAX);
        if near {
            peers.sort_by_key(|&peer| domain_of(peer) != domain_of(home));
        }
        peers.truncate(count);
        for &peer in &peers {
            self.send(home, peer, MessageKind::Claim(key));
        }
        self.requests[key].claims = peers;
    }

    /// Holds a slot for a peer's claim and offers it.
    pub(super) fn grant_claim(&mut self, target: usize, key: RequestKey, slot: SlotKey) {
        let Some(request) = self.requests.get(key) else {
            // The home's word that the request is gone is still on its way.
            self.release_unused(target, slot);
            return;
        };
        let home = request.home;
        self.stations[target].hold(key, slot);
        self.send(target, home, MessageKind::Grant(key));
        self.enter_in(self.setup.hold, ModelEvent::HoldEnds(target, key));
    }

    /// Binds a waiting request to the peer that grants a slot.
    pub(super) fn take_grant(&mut self, home: usize, peer: usize, key: RequestKey) {
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
        self.withdraw_claims(key, peer);
        self.send(home, peer, MessageKind::Start(key));
    }

    /// Runs a bound request in the slot that was held for it.
    pub(super) fn take_start(&mut self, target: usize, home: usize, key: RequestKey) {
        match self.stations[target].take_hold(key) {
            Some(slot) => self.start_request(target, key, slot),
            None => self.send(target, home, MessageKind::NotHeld(key)),
        }
    }

    /// Frees a slot that was held for a request.
    pub(super) fn release_hold(&mut self, target: usize, key: RequestKey) {
        if let Some(slot) = self.stations[target].take_hold(key) {
            self.release_unused(target, slot);
        }
    }

    /// Withdraws the claims of a request, except the one at `used`.
    pub(super) fn withdraw_claims(&mut self, key: RequestKey, used: usize) {
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

    /// Asks two peers for the length of their queues.
    pub(super) fn probe_peers(&mut self, home: usize, key: RequestKey) {
        let peers = self.draw_peers(home, 2);
        for &peer in &peers {
            self.send(home, peer, MessageKind::Probe(key));
        }
        self.requests[key].probe.missing = peers.len();
        self.enter_in(Self::PROBE_WAIT, ModelEvent::ProbeEnds(key));
    }

    /// Notes the length of a probed queue.
    pub(super) fn take_probe_reply(&mut self, peer: usize, key: RequestKey, length: usize) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.probe.missing == 0 {
            return;
        }
        if request.probe.best.is_none_or(|(_, best)| length < best) {
            request.probe.best = Some((peer, length));
        }
        if request.probe.missing == 1 {
            self.settle_probe(key);
        } else {
            request.probe.missing -= 1;
        }
    }

    /// Sends a request whose probes are answered, or late, to the shortest queue.
    pub(super) fn settle_probe(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.state != RequestState::Waiting || request.probe.missing == 0 {
            return;
        }
        request.probe.missing = 0;
        let home = request.home;
        let own = self.stations[home].load().requests as usize;
        match request.probe.best {
            Some((target, length)) if length < own => {
                request.state = RequestState::Sent(target);
                self.send(home, target, MessageKind::Enqueue(key));
            }
            _ => self.queue_here(home, key),
        }
    }

    /// Lets an idle target ask some peer for work.
    pub(super) fn steal_work(&mut self, target: usize) {
        let station = &self.stations[target];
        let is_idle = station.free_slots() > 0 && station.own_waiting().is_empty();
        if !is_idle || station.is_stealing || station.phase != StationPhase::Serving {
            return;
        }
        if self.is_closing && self.requests.is_empty() {
            return;
        }
        let Some(&peer) = self.draw_peers(target, 1).first() else {
            return;
        };
        self.stations[target].is_stealing = true;
        self.send(target, peer, MessageKind::Steal);
        self.enter_in(Self::STEAL_WAIT, ModelEvent::StealAgain(target));
    }

    /// Gives the request that is due next to a peer that asks for work.
    pub(super) fn give_work(&mut self, target: usize, thief: usize) {
        let waiting = self.stations[target].own_waiting();
        let due = waiting.into_iter().min_by_key(|&key| {
            let request = &self.requests[key];
            (request.priority, request.arrived)
        });
        if let Some(key) = due {
            self.stations[target].withdraw(key);
            self.requests[key].state = RequestState::Sent(thief);
            self.send(target, thief, MessageKind::Give(key));
        }
    }

    /// Takes a claim of a peer's request.
    pub(super) fn take_claim(&mut self, target: usize, key: RequestKey) {
        self.ask_slot(target, LineEntry::Claim(key));
    }
}
