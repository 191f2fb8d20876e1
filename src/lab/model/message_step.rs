use super::{LabModel, LineEntry, MessageKind, ModelMessage, RequestKey, RequestState};

impl LabModel {
    /// Handles a message at its receiver.
    pub(super) fn deliver(&mut self, message: ModelMessage) {
        let ModelMessage { from, to, kind } = message;
        if !self.stations[to].is_reachable() || !self.stations[from].is_reachable() {
            self.lose_message(message);
            return;
        }
        match kind {
            MessageKind::Claim(key) => self.take_claim(to, key),
            MessageKind::Grant(key) => self.take_grant(to, from, key),
            MessageKind::Decline(key) => self.release_hold(to, key),
            MessageKind::Cancel(key) => {
                self.stations[to].line.remove(key);
                self.release_hold(to, key);
            }
            MessageKind::Start(key) => self.take_start(to, from, key),
            MessageKind::NotHeld(key) => self.queue_here(to, key),
            MessageKind::Probe(key) => {
                let length = self.stations[to].load();
                self.send(to, from, MessageKind::ProbeReply(key, length));
            }
            MessageKind::ProbeReply(key, length) => self.take_probe_reply(from, key, length),
            MessageKind::Enqueue(key) | MessageKind::Give(key) => {
                self.stations[to].is_stealing = false;
                self.queue_here(to, key);
            }
            MessageKind::Steal => self.give_work(to, from),
            MessageKind::NothingWaits => self.stations[to].is_stealing = false,
            MessageKind::Offer(connection) => self.weigh_offer(to, connection),
            MessageKind::LoadProbe(connection) => {
                let load = self.stations[to].connections.len();
                self.send(to, from, MessageKind::LoadReply(connection, load));
            }
            MessageKind::LoadReply(connection, load) => self.weigh_reply(to, connection, load),
        }
    }

    /// A request that goes to an unreachable target has an unknown outcome.
    fn lose_message(&mut self, message: ModelMessage) {
        match message.kind {
            MessageKind::Start(key) | MessageKind::Enqueue(key) | MessageKind::Give(key) => {
                self.drop_request(key);
                self.count(|measure| &mut measure.unknown);
            }
            MessageKind::LoadProbe(connection) => self.accept(message.from, connection),
            MessageKind::LoadReply(connection, _) | MessageKind::Offer(connection) => {
                self.offer(connection, 1);
            }
            _ => {}
        }
    }

    fn take_claim(&mut self, target: usize, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let priority = request.priority;
        self.stations[target]
            .line
            .push(priority, LineEntry::Claim(key));
        self.serve_next(target);
    }

    /// Binds a waiting request to the peer that grants a slot.
    fn take_grant(&mut self, home: usize, peer: usize, key: RequestKey) {
        let waiting = self
            .requests
            .get_mut(key)
            .filter(|request| request.state == RequestState::Waiting);
        let Some(request) = waiting else {
            self.send(home, peer, MessageKind::Decline(key));
            return;
        };
        request.state = RequestState::Sent(peer);
        self.stations[home].line.remove(key);
        self.withdraw_claims(key, peer);
        self.send(home, peer, MessageKind::Start(key));
    }

    fn take_start(&mut self, target: usize, home: usize, key: RequestKey) {
        let held = &mut self.stations[target].held;
        let Some(place) = held.iter().position(|&other| other == key) else {
            self.send(target, home, MessageKind::NotHeld(key));
            return;
        };
        held.swap_remove(place);
        self.start_request(target, key);
    }

    /// Frees a slot that was held for a request.
    pub(super) fn release_hold(&mut self, target: usize, key: RequestKey) {
        let held = &mut self.stations[target].held;
        if let Some(place) = held.iter().position(|&other| other == key) {
            held.swap_remove(place);
            self.serve_next(target);
        }
    }

    /// Frees a slot whose request did not come in time.
    pub(super) fn end_hold(&mut self, target: usize, key: RequestKey) {
        self.release_hold(target, key);
    }

    fn take_probe_reply(&mut self, peer: usize, key: RequestKey, length: usize) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.probe.missing == 0 {
            return;
        }
        let is_shorter = request.probe.best.is_none_or(|(_, best)| length < best);
        if is_shorter {
            request.probe.best = Some((peer, length));
        }
        if request.probe.missing == 1 {
            self.settle_probe(key);
        } else {
            request.probe.missing -= 1;
        }
    }

    fn give_work(&mut self, target: usize, thief: usize) {
        let kind = match self.stations[target].line.pop_own() {
            Some(key) => {
                self.requests[key].state = RequestState::Sent(thief);
                MessageKind::Give(key)
            }
            None => MessageKind::NothingWaits,
        };
        self.send(target, thief, kind);
    }
}
