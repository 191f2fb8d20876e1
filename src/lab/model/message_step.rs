use super::{LabModel, MessageKind, ModelMessage};

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
                self.stations[to].withdraw(key);
                self.release_hold(to, key);
            }
            MessageKind::Start(key) => self.take_start(to, from, key),
            MessageKind::Probe(key) => {
                let length = self.stations[to].load().requests as usize;
                self.send(to, from, MessageKind::ProbeReply(key, length));
            }
            MessageKind::ProbeReply(key, length) => self.take_probe_reply(from, key, length),
            MessageKind::NotHeld(key) | MessageKind::Enqueue(key) | MessageKind::Give(key) => {
                self.queue_here(to, key);
            }
            MessageKind::Steal => self.give_work(to, from),
            MessageKind::Offer(connection) => self.weigh_offer(to, connection),
            MessageKind::LoadProbe(connection) => {
                let load = self.stations[to].load();
                self.send(to, from, MessageKind::LoadReply(connection, load));
            }
            MessageKind::LoadReply(connection, load) => self.weigh_reply(to, connection, load),
        }
    }

    /// A request that goes to an unreachable target has an unknown outcome.
    fn lose_message(&mut self, message: ModelMessage) {
        match message.kind {
            MessageKind::Start(key) | MessageKind::Enqueue(key) | MessageKind::Give(key) => {
                self.withdraw_claims(key, usize::MAX);
                if self.requests.remove(key).is_some() {
                    self.count(|measure| &mut measure.unknown);
                }
            }
            MessageKind::LoadProbe(connection) => self.accept(message.from, connection),
            MessageKind::LoadReply(connection, _) | MessageKind::Offer(connection) => {
                self.offer(connection, 1);
            }
            MessageKind::Claim(_)
            | MessageKind::Grant(_)
            | MessageKind::Decline(_)
            | MessageKind::Cancel(_)
            | MessageKind::NotHeld(_)
            | MessageKind::Probe(_)
            | MessageKind::ProbeReply(..)
            | MessageKind::Steal => {}
        }
    }
}
