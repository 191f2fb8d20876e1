use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{ClockMillis, SpanMillis},
    tunnel::PathHealth,
};

/// The most balancers that answers go by.
const MOST_PATHS: usize = 16;
/// The time after which a balancer that sent nothing is forgotten.
const IDLE_MILLIS: SpanMillis = SpanMillis::new(30_000);

/// The balancers that answers go by.
///
/// Answers to one caller keep to one balancer while it answers probes, so
/// that they stay in order; when it falls silent another takes over.
#[derive(Debug, Default)]
pub(super) struct AnswerPaths {
    paths: Vec<AnswerPath>,
}

#[derive(Debug)]
struct AnswerPath {
    balancer: SocketAddrV4,
    health: PathHealth,
    heard_at: ClockMillis,
    is_silent: bool,
}

/// How the next answer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AnswerChoice {
    /// The balancer's tunnel address.
    pub(super) balancer: SocketAddrV4,
    /// The number that the frame asks to echo.
    pub(super) echo: Option<u16>,
    /// Whether a path was found silent just now.
    pub(super) left: Option<SocketAddrV4>,
}

impl AnswerPaths {
    /// Creates an empty set.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Notes that a frame came from `balancer`.
    pub(super) fn hear(&mut self, balancer: SocketAddrV4, now: ClockMillis) {
        if let Some(path) = self.find(balancer) {
            path.heard_at = now;
            return;
        }
        if self.paths.len() >= MOST_PATHS && !self.make_room(now) {
            return;
        }
        self.paths.push(AnswerPath {
            balancer,
            health: PathHealth::new(),
            heard_at: now,
            is_silent: false,
        });
    }

    /// Takes an echo from `balancer`.
    pub(super) fn take_echo(&mut self, balancer: SocketAddrV4, number: u16) {
        if let Some(path) = self.find(balancer)
            && path.health.take_echo(number)
        {
            path.is_silent = false;
        }
    }

    /// Forgets a balancer that is about to stop.
    pub(super) fn forget(&mut self, balancer: SocketAddrV4) {
        self.paths.retain(|path| path.balancer != balancer);
    }

    /// Returns how to send an answer to `caller`, if any balancer is known.
    pub(super) fn choose(
        &mut self,
        caller: SocketAddrV4,
        now: ClockMillis,
    ) -> Option<AnswerChoice> {
        let left = self.mark_silent(now);
        let index = self
            .best_index(caller, |path| {
                path.is_usable(now) && !path.health.is_doubtful(now)
            })
            .or_else(|| self.best_index(caller, |path| path.is_usable(now)))
            .or_else(|| self.best_index(caller, |_| true))?;
        let path = &mut self.paths[index];
        Some(AnswerChoice {
            balancer: path.balancer,
            echo: path.health.next_probe(now),
            left,
        })
    }

    /// Returns the doubtful and silent balancers that a probe is due to.
    ///
    /// Since answers avoid silent ones, only these probes find them well again.
    pub(super) fn due_probes(&mut self, now: ClockMillis) -> Vec<(SocketAddrV4, u16)> {
        let probes = self.paths.iter_mut().filter_map(|path| {
            let number = if path.is_silent {
                path.health.rare_probe(now)?
            } else {
                path.health.doubt_probe(now)?
            };
            Some((path.balancer, number))
        });
        probes.collect()
    }

    /// Forgets the balancers that sent nothing for a while.
    pub(super) fn forget_idle(&mut self, now: ClockMillis) {
        self.paths
            .retain(|path| now.since(path.heard_at) < IDLE_MILLIS);
    }

    /// Returns the balancers with whether each answers, for a dump.
    pub(super) fn list(&self, now: ClockMillis) -> Vec<(SocketAddrV4, bool)> {
        self.paths
            .iter()
            .map(|path| (path.balancer, path.is_usable(now)))
            .collect()
    }

    fn find(&mut self, balancer: SocketAddrV4) -> Option<&mut AnswerPath> {
        self.paths.iter_mut().find(|path| path.balancer == balancer)
    }

    fn best_index(
        &self,
        caller: SocketAddrV4,
        is_allowed: impl Fn(&AnswerPath) -> bool,
    ) -> Option<usize> {
        let seed = address_number(caller);
        self.paths
            .iter()
            .enumerate()
            .filter(|(_, path)| is_allowed(path))
            .max_by_key(|(_, path)| {
                xxh3_64_with_seed(&address_number(path.balancer).to_le_bytes(), seed)
            })
            .map(|(index, _)| index)
    }

    fn mark_silent(&mut self, now: ClockMillis) -> Option<SocketAddrV4> {
        let mut left = None;
        for path in &mut self.paths {
            if path.health.is_silent(now) {
                path.health = path.health.moved();
                if !path.is_silent {
                    left = Some(path.balancer);
                }
                path.is_silent = true;
            }
        }
        left
    }

    /// Drops an idle or silent path in favour of a new one.
    fn make_room(&mut self, now: ClockMillis) -> bool {
        let spare = self
            .paths
            .iter()
            .position(|path| now.since(path.heard_at) >= IDLE_MILLIS || !path.is_usable(now));
        spare.map(|index| self.paths.swap_remove(index)).is_some()
    }
}

impl AnswerPath {
    fn is_usable(&self, now: ClockMillis) -> bool {
        let is_fresh = now.since(self.heard_at) < IDLE_MILLIS;
        is_fresh && !self.is_silent
    }
}

fn address_number(address: SocketAddrV4) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}
