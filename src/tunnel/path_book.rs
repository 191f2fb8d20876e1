use std::{collections::HashMap, net::SocketAddrV4};

use super::PathHealth;
use crate::clock::{ClockMillis, SpanMillis};

/// The time after which a path that carried nothing is forgotten.
const IDLE_MILLIS: SpanMillis = SpanMillis::new(30_000);
/// The time for which a peer that answers on no path is avoided.
const SUSPECT_MILLIS: SpanMillis = SpanMillis::new(2_000);
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
    suspected_at: Option<ClockMillis>,
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
            suspected_at: None,
            used_at: now,
        });
        path.used_at = now;
        let moved = path.health.is_silent(now);
        if moved {
            path.leave_port(self.ports, now);
        }
        PathChoice {
            port: path.port,
            echo: path.health.next_probe(now),
            moved,
        }
    }

    /// Takes an echo from `peer`.
    pub(crate) fn take_echo(&mut self, peer: SocketAddrV4, number: u16) {
        if let Some(path) = self.peers.get_mut(&peer) {
            path.health.take_echo(number);
            path.silent_ports = 0;
            path.suspected_at = None;
        }
    }

    /// Returns whether `peer` answered on none of the source ports lately.
    pub(crate) fn is_suspect(&self, peer: SocketAddrV4, now: ClockMillis) -> bool {
        self.peers
            .get(&peer)
            .and_then(|path| path.suspected_at)
            .is_some_and(|suspected_at| now.since(suspected_at) < SUSPECT_MILLIS)
    }

    /// Forgets the paths that carried nothing for a while.
    pub(crate) fn forget_idle(&mut self, now: ClockMillis) {
        self.peers
            .retain(|_, path| now.since(path.used_at) < IDLE_MILLIS);
    }

    /// Returns the number of watched peers.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }
}

impl PeerPath {
    fn leave_port(&mut self, ports: usize, now: ClockMillis) {
        self.port = (self.port + 1) % ports;
        self.silent_ports += 1;
        self.health = PathHealth::new();
        if self.silent_ports >= ports {
            self.suspected_at = Some(now);
        }
    }
}
