use std::{sync::Arc, time::Duration};

use tokio::sync::mpsc;

use super::{PeerMessage, RequestDesk};
use crate::{
    agent::{admission::PeerLoad, endpoint::PeerDatagram},
    clock::{ClockMillis, SpanMillis},
    route::TargetEntry,
};

/// The pause between two looks while requests wait or are claimed.
const BUSY_MILLIS: SpanMillis = SpanMillis::new(5);
/// The pause while nothing waits.
const QUIET_MILLIS: SpanMillis = SpanMillis::new(500);
/// How often the own load is told.
const REPORT_MILLIS: SpanMillis = SpanMillis::new(500);
/// Peers that are told the own load each time.
const MOST_REPORTED: usize = 8;

/// Exchanges claims and load reports with the peers of the service.
#[derive(Debug)]
pub(crate) struct PeerExchange {
    desk: Arc<RequestDesk>,
    inbox: mpsc::Receiver<PeerDatagram>,
    report_at: ClockMillis,
    next_peer: usize,
}

impl PeerExchange {
    /// Reads the messages of peers from `inbox`.
    pub(crate) fn new(desk: Arc<RequestDesk>, inbox: mpsc::Receiver<PeerDatagram>) -> Self {
        Self {
            desk,
            inbox,
            report_at: ClockMillis::ORIGIN,
            next_peer: 0,
        }
    }

    /// Runs for as long as messages may come.
    pub(crate) async fn run(mut self) {
        let mut pause: Duration = QUIET_MILLIS.duration();
        loop {
            tokio::select! {
                datagram = self.inbox.recv() => match datagram {
                    Some(datagram) => self.take(&datagram),
                    None => return,
                },
                () = self.desk.work_begun() => pause = BUSY_MILLIS.duration(),
                () = tokio::time::sleep(pause) => {
                    pause = if self.desk.advance() {
                        BUSY_MILLIS.duration()
                    } else {
                        QUIET_MILLIS.duration()
                    };
                    self.report_load();
                }
            }
        }
    }

    fn take(&self, datagram: &PeerDatagram) {
        match PeerMessage::decode(&datagram.payload) {
            Some(PeerMessage::Claim(frame)) if frame.sender.target == datagram.source => {
                self.desk.receive(frame);
            }
            Some(PeerMessage::Load(load)) => {
                let seen = self.desk.now();
                let report = PeerLoad { load, seen };
                self.desk.socket().set_peer_load(datagram.source, report);
            }
            // A frame that its sender has no right to, or of another version.
            Some(PeerMessage::Claim(_)) | None => {}
        }
    }

    /// Tells a few peers the own load, in turn when there are many.
    fn report_load(&mut self) {
        let now = self.desk.now();
        if now < self.report_at {
            return;
        }
        self.report_at = now.after(REPORT_MILLIS);
        let mut peers: Vec<TargetEntry> = self.desk.peers();
        peers.sort_unstable_by_key(|entry| entry.key);
        let message = PeerMessage::Load(self.desk.load()).encode();
        let count = peers.len().min(MOST_REPORTED);
        for offset in 0..count {
            let index = (self.next_peer + offset) % peers.len();
            self.desk.socket().send_peer(peers[index].key, &message);
        }
        self.next_peer = self.next_peer.wrapping_add(count);
    }
}
