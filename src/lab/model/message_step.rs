use super::{LabModel, MessageKind, ModelMessage};

impl LabModel {
    /// Delivers a message, or drops it if the sender or receiver is unreachable.
    pub(super) fn deliver(&mut self, message: ModelMessage) {
        let ModelMessage { from, to, kind } = message;
        if !self.stations[to].is_reachable() || !self.stations[from].is_reachable() {
            self.handle_lost_message(message);
            return;
        }
        match kind {
            MessageKind::Claim(key) => self.handle_claim(to, key),
            MessageKind::Grant(key) => self.handle_grant(to, from, key),
            MessageKind::Decline(key) => self.release_held_slot(to, key),
            MessageKind::Cancel(key) => {
                self.stations[to].withdraw(key);
                self.release_held_slot(to, key);
            }
            MessageKind::Start(key) => self.handle_start(to, from, key),
            MessageKind::Probe(key) => {
                let length = self.stations[to].load().requests as usize;
                self.send(to, from, MessageKind::ProbeReply(key, length));
            }
            MessageKind::ProbeReply(key, length) => self.handle_probe_reply(from, key, length),
            MessageKind::NotHeld(key)
            | MessageKind::Enqueue(key)
            | MessageKind::StolenRequest(key) => {
                self.enqueue_at(to, key);
            }
            MessageKind::Steal => self.hand_over_request(to, from),
            MessageKind::FirstPacket(caller) => self.handle_first_packet(to, caller),
            MessageKind::LoadProbe(caller) => {
                let load = self.stations[to].load();
                self.send(to, from, MessageKind::LoadReply(caller, load));
            }
            MessageKind::LoadReply(caller, load) => self.handle_load_reply(to, caller, load),
        }
    }

    /// Counts an undelivered request as of unknown outcome, and moves an undecided connection on.
    fn handle_lost_message(&mut self, message: ModelMessage) {
        match message.kind {
            MessageKind::Start(key)
            | MessageKind::Enqueue(key)
            | MessageKind::StolenRequest(key) => {
                self.cancel_claims(key, usize::MAX);
                if self.requests.remove(key).is_some() {
                    self.increment(|metrics| &mut metrics.unknown);
                }
            }
            MessageKind::LoadProbe(caller) => self.accept_connection(message.from, caller),
            MessageKind::LoadReply(caller, _) | MessageKind::FirstPacket(caller) => {
                self.send_first_packet(caller, 1);
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
