use std::{collections::HashMap, net::SocketAddrV4};

use super::PathHealth;
use crate::clock::{ClockMillis, SpanMillis};

/// The time after which a path that carried nothing is forgotten.
const IDLE_MILLIS: SpanMillis = SpanMillis::new(30_000);
/// The most peers whose paths are watched; more go unwatched.
const MOST_PEERS: usize = 65_536;

/// The paths to the peers in use: which source port each goes by.
///
/// A path that went silent is left for the next source port, since something
/// between the two ends may have lost track of the old one.
#[derive(Debug)]
pub(crate) struct PathBook {
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
    /// The number that the frame asks to echo.
    pub(crate) echo: Option<u16>,
    /// Whether the path was changed just now.
    pub(crate) moved: bool,
}

impl PathBook {
    /// Creates a book for a process with `ports` source ports, at least one.
    pub(crate) fn new(ports: usize) -> Self {
        Self {
            ports: ports.max(1),
            peers: HashMap::new(),
        }
    }

    /// Returns how to send the next frame to `peer`.
    pub(crate) fn choose(&mut self, peer: SocketAddrV4, now: ClockMillis) -> PathChoice {
        if self.peers.len() >= MOST_PEERS && !self.peers.contains_key(&peer) {
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
            path.leave_port(self.ports);
        }
        PathChoice {
            port: path.port,
            echo: path.health.next_probe(now),
            moved,
        }
    }

    /// Takes an echo from `peer`.
    pub(crate) fn take_echo(&mut self, peer: SocketAddrV4, number: u16) {
        if let Some(path) = self.peers.get_mut(&peer)
            && path.health.take_echo(number)
        {
            path.silent_ports = 0;
            path.is_suspect = false;
        }
    }

    /// Returns whether `peer` answers on none of the source ports.
    #[cfg(test)]
    pub(crate) fn is_suspect(&self, peer: SocketAddrV4) -> bool {
        self.peers.get(&peer).is_some_and(|path| path.is_suspect)
    }

    /// Returns whether new work should rather go elsewhere.
    pub(crate) fn is_doubtful(&self, peer: SocketAddrV4, now: ClockMillis) -> bool {
        self.peers
            .get(&peer)
            .is_some_and(|path| path.is_suspect || path.health.is_doubtful(now))
    }

    /// Returns the doubtful and suspect peers that a probe is due to.
    ///
    /// Since new work avoids suspects, only these probes find them well again.
    pub(crate) fn due_probes(&mut self, now: ClockMillis) -> Vec<(SocketAddrV4, PathChoice)> {
        let ports = self.ports;
        let probes = self.peers.iter_mut().filter_map(|(peer, path)| {
            let moved = path.health.is_silent(now);
            if moved {
                path.leave_port(ports);
            }
            let echo = if path.is_suspect {
                path.health.rare_probe(now)?
            } else {
                path.health.doubt_probe(now)?
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

    /// Forgets the paths that carried nothing for a while.
    pub(crate) fn forget_idle(&mut self, now: ClockMillis) {
        self.peers
            .retain(|_, path| now.since(path.used_at) < IDLE_MILLIS);
    }

    /// Returns the peers in use, each with the source port of its path.
    pub(crate) fn peers(&self) -> Vec<(SocketAddrV4, usize)> {
        self.peers
            .iter()
            .map(|(peer, path)| (*peer, path.port))
            .collect()
    }

    /// Returns the number of watched peers.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }
}

impl PeerPath {
    fn leave_port(&mut self, ports: usize) {
        self.port = (self.port + 1) % ports;
        self.silent_ports += 1;
        self.health = self.health.moved();
        if self.silent_ports >= ports {
            self.is_suspect = true;
        }
    }
}
