use std::{collections::HashMap, net::SocketAddrV4};

use super::PathHealth;
use crate::clock::{ClockMillis, SpanMillis};

/// Time after which an unused path is removed.
const IDLE_MILLIS: SpanMillis = SpanMillis::new(30_000);
/// Maximum number of peers with path monitoring; frames to further peers use port 0.
const MAX_PEERS: usize = 65_536;

/// The source port and path health of each peer in use.
///
/// A silent path moves to the next source port, since a device between the two
/// ends may have lost its state for the old one.
#[derive(Debug)]
pub(crate) struct PathTable {
    ports: usize,
    peers: HashMap<SocketAddrV4, PeerPath>,
}

#[derive(Debug)]
struct PeerPath {
    health: PathHealth,
    port: usize,
    silent_ports: usize,
    is_suspect: bool,
    used_at: ClockMillis,
}

/// How the next frame to a peer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PathChoice {
    /// The index of the source port.
    pub(crate) port: usize,
    /// The number that the peer is asked to echo, if a probe is due.
    pub(crate) echo: Option<u16>,
    /// Whether the path just moved to another source port.
    pub(crate) moved: bool,
}

impl PathTable {
    /// Creates an empty table for `ports` source ports; 0 counts as 1.
    pub(crate) fn new(ports: usize) -> Self {
        Self {
            ports: ports.max(1),
            peers: HashMap::new(),
        }
    }

    /// Chooses the source port and probe for the next frame to `peer`.
    pub(crate) fn choose(&mut self, peer: SocketAddrV4, now: ClockMillis) -> PathChoice {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&peer) {
            return PathChoice {
                port: 0,
                echo: None,
                moved: false,
            };
        }
        let path = self.peers.entry(peer).or_insert_with(|| PeerPath {
            health: PathHealth::new(),
            port: 0,
            silent_ports: 0,
            is_suspect: false,
            used_at: now,
        });
        path.used_at = now;
        let moved = path.health.is_silent(now);
        if moved {
            path.move_to_next_port(self.ports);
        }
        PathChoice {
            port: path.port,
            echo: path.health.next_probe(now),
            moved,
        }
    }

    /// Records an echo from `peer`.
    pub(crate) fn record_echo(&mut self, peer: SocketAddrV4, number: u16) {
        if let Some(path) = self.peers.get_mut(&peer)
            && path.health.record_echo(number)
        {
            path.silent_ports = 0;
            path.is_suspect = false;
        }
    }

    /// Returns whether `peer` was silent on every source port.
    #[cfg(test)]
    pub(crate) fn is_suspect(&self, peer: SocketAddrV4) -> bool {
        self.peers.get(&peer).is_some_and(|path| path.is_suspect)
    }

    /// Returns whether new connections should prefer other peers.
    pub(crate) fn is_unconfirmed(&self, peer: SocketAddrV4, now: ClockMillis) -> bool {
        self.peers
            .get(&peer)
            .is_some_and(|path| path.is_suspect || path.health.is_unconfirmed(now))
    }

    /// Returns the unconfirmed and suspect peers that are due for a probe.
    ///
    /// New connections avoid suspects, so only these probes detect their recovery.
    pub(crate) fn due_probes(&mut self, now: ClockMillis) -> Vec<(SocketAddrV4, PathChoice)> {
        let ports = self.ports;
        let probes = self.peers.iter_mut().filter_map(|(peer, path)| {
            let moved = path.health.is_silent(now);
            if moved {
                path.move_to_next_port(ports);
            }
            let echo = if path.is_suspect {
                path.health.slow_probe(now)?
            } else {
                path.health.confirmation_probe(now)?
            };
            let choice = PathChoice {
                port: path.port,
                echo: Some(echo),
                moved,
            };
            Some((*peer, choice))
        });
        probes.collect()
    }

    /// Removes the paths that have been unused for too long.
    pub(crate) fn remove_idle(&mut self, now: ClockMillis) {
        self.peers
            .retain(|_, path| now.since(path.used_at) < IDLE_MILLIS);
    }

    /// Returns the peers with the source port of each.
    pub(crate) fn peers(&self) -> Vec<(SocketAddrV4, usize)> {
        self.peers
            .iter()
            .map(|(peer, path)| (*peer, path.port))
            .collect()
    }

    /// Returns the number of peers.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }
}

impl PeerPath {
    fn move_to_next_port(&mut self, ports: usize) {
        self.port = (self.port + 1) % ports;
        self.silent_ports += 1;
        self.health = self.health.restarted();
        if self.silent_ports >= ports {
            self.is_suspect = true;
        }
    }
}
