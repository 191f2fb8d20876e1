use std::{sync::Arc, time::Duration};

use tokio::sync::mpsc;

use super::{PeerMessage, RequestCoordinator};
use crate::{
    agent::{admission::PeerLoad, endpoint::PeerDatagram},
    clock::{ClockMillis, SpanMillis},
    route::TargetEntry,
};

/// The polling interval while requests wait or claims are open.
const BUSY_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(5);
/// The polling interval while nothing waits.
const IDLE_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(500);
/// The interval between two load reports.
const REPORT_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(500);
/// Peers that get each load report.
const MAX_REPORTED_PEERS: usize = 8;

/// Exchanges claims and load reports with the peers of the service.
#[derive(Debug)]
pub(crate) struct PeerExchange {
    coordinator: Arc<RequestCoordinator>,
    inbox: mpsc::Receiver<PeerDatagram>,
    next_report_at: ClockMillis,
    next_peer: usize,
}

impl PeerExchange {
    /// Creates an exchange that reads the messages of peers from `inbox`.
    pub(crate) fn new(
        coordinator: Arc<RequestCoordinator>,
        inbox: mpsc::Receiver<PeerDatagram>,
    ) -> Self {
        Self {
            coordinator,
            inbox,
            next_report_at: ClockMillis::ORIGIN,
            next_peer: 0,
        }
    }

    /// Runs until the inbox is closed.
    pub(crate) async fn run(mut self) {
        let mut pause: Duration = IDLE_INTERVAL_MILLIS.duration();
        loop {
            tokio::select! {
                datagram = self.inbox.recv() => match datagram {
                    Some(datagram) => self.handle_datagram(&datagram),
                    None => return,
                },
                () = self.coordinator.wait_for_work() => pause = BUSY_INTERVAL_MILLIS.duration(),
                () = tokio::time::sleep(pause) => {
                    pause = if self.coordinator.advance() {
                        BUSY_INTERVAL_MILLIS.duration()
                    } else {
                        IDLE_INTERVAL_MILLIS.duration()
                    };
                    self.report_load();
                }
            }
        }
    }

    fn handle_datagram(&self, datagram: &PeerDatagram) {
        match PeerMessage::decode(&datagram.payload) {
            Some(PeerMessage::Claim(frame)) if frame.sender.target == datagram.source => {
                self.coordinator.receive(frame);
            }
            Some(PeerMessage::Load(load)) => {
                let reported_at = self.coordinator.now();
                let report = PeerLoad { load, reported_at };
                self.coordinator
                    .socket()
                    .set_peer_load(datagram.source, report);
            }
            // The sender claims for another target, or the message is malformed.
            Some(PeerMessage::Claim(_)) | None => {}
        }
    }

    /// Reports the local load to a few peers, round-robin.
    fn report_load(&mut self) {
        let now = self.coordinator.now();
        if now < self.next_report_at {
            return;
        }
        self.next_report_at = now.after(REPORT_INTERVAL_MILLIS);
        let mut peers: Vec<TargetEntry> = self.coordinator.peers();
        peers.sort_unstable_by_key(|entry| entry.key);
        let message = PeerMessage::Load(self.coordinator.load()).encode();
        let count = peers.len().min(MAX_REPORTED_PEERS);
        for offset in 0..count {
            let index = (self.next_peer + offset) % peers.len();
            self.coordinator
                .socket()
                .send_peer(peers[index].key, &message);
        }
        self.next_peer = self.next_peer.wrapping_add(count);
    }
}
