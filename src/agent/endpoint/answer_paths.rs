use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{ClockMillis, SpanMillis},
    tunnel::PathHealth,
};

/// The most balancers that are tracked as paths.
const MAX_PATHS: usize = 16;
/// How long a balancer may send nothing before its path is removed.
const IDLE_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(30_000);

/// The balancers through which answers are sent.
///
/// Answers to one caller use the same balancer while it answers probes, so that
/// they stay in order; once it is silent, another balancer replaces it.
#[derive(Debug, Default)]
pub(super) struct AnswerPaths {
    paths: Vec<AnswerPath>,
}

#[derive(Debug)]
struct AnswerPath {
    balancer: SocketAddrV4,
    health: PathHealth,
    last_frame_at: ClockMillis,
    is_silent: bool,
}

/// How the next answer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AnswerChoice {
    /// The balancer's tunnel address.
    pub(super) balancer: SocketAddrV4,
    /// The number to be echoed, if the frame carries a probe.
    pub(super) echo: Option<u16>,
    /// A balancer whose path has just been marked silent.
    pub(super) newly_silent: Option<SocketAddrV4>,
}

impl AnswerPaths {
    /// Creates an empty set.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Records a frame from `balancer`.
    pub(super) fn record_frame(&mut self, balancer: SocketAddrV4, now: ClockMillis) {
        if let Some(path) = self.find(balancer) {
            path.last_frame_at = now;
            return;
        }
        if self.paths.len() >= MAX_PATHS && !self.evict_unusable(now) {
            return;
        }
        self.paths.push(AnswerPath {
            balancer,
            health: PathHealth::new(),
            last_frame_at: now,
            is_silent: false,
        });
    }

    /// Records an echo from `balancer`.
    pub(super) fn record_echo(&mut self, balancer: SocketAddrV4, number: u16) {
        if let Some(path) = self.find(balancer)
            && path.health.record_echo(number)
        {
            path.is_silent = false;
        }
    }

    /// Removes a balancer that is about to stop.
    pub(super) fn remove(&mut self, balancer: SocketAddrV4) {
        self.paths.retain(|path| path.balancer != balancer);
    }

    /// Chooses a path for an answer to `caller`; `None` if no balancer is known.
    ///
    /// Prefers confirmed paths, then unconfirmed ones, then silent or idle ones.
    pub(super) fn choose(
        &mut self,
        caller: SocketAddrV4,
        now: ClockMillis,
    ) -> Option<AnswerChoice> {
        let newly_silent = self.mark_silent(now);
        let index = self
            .best_index(caller, |path| {
                path.is_usable(now) && !path.health.is_unconfirmed(now)
            })
            .or_else(|| self.best_index(caller, |path| path.is_usable(now)))
            .or_else(|| self.best_index(caller, |_| true))?;
        let path = &mut self.paths[index];
        Some(AnswerChoice {
            balancer: path.balancer,
            echo: path.health.next_probe(now),
            newly_silent,
        })
    }

    /// Returns the due probes of unconfirmed and silent paths.
    ///
    /// Answers avoid silent paths, so only these probes detect their recovery.
    pub(super) fn due_probes(&mut self, now: ClockMillis) -> Vec<(SocketAddrV4, u16)> {
        let probes = self.paths.iter_mut().filter_map(|path| {
            let number = if path.is_silent {
                path.health.slow_probe(now)?
            } else {
                path.health.confirmation_probe(now)?
            };
            Some((path.balancer, number))
        });
        probes.collect()
    }

    /// Removes the paths to idle balancers.
    pub(super) fn remove_idle(&mut self, now: ClockMillis) {
        self.paths
            .retain(|path| now.since(path.last_frame_at) < IDLE_TIMEOUT_MILLIS);
    }

    /// Returns each balancer and whether its path is usable, for a dump.
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
        let mut newly_silent = None;
        for path in &mut self.paths {
            if path.health.is_silent(now) {
                path.health = path.health.restarted();
                if !path.is_silent {
                    newly_silent = Some(path.balancer);
                }
                path.is_silent = true;
            }
        }
        newly_silent
    }

    /// Removes one idle or silent path; returns false if there is none.
    fn evict_unusable(&mut self, now: ClockMillis) -> bool {
        let unusable = self.paths.iter().position(|path| {
            now.since(path.last_frame_at) >= IDLE_TIMEOUT_MILLIS || !path.is_usable(now)
        });
        unusable
            .map(|index| self.paths.swap_remove(index))
            .is_some()
    }
}

impl AnswerPath {
    fn is_usable(&self, now: ClockMillis) -> bool {
        let is_fresh = now.since(self.last_frame_at) < IDLE_TIMEOUT_MILLIS;
        is_fresh && !self.is_silent
    }
}

fn address_number(address: SocketAddrV4) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}
