use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use crate::agent::drain::OpenWork;

/// The kind of open work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OpenWorkKind {
    /// A request that holds a slot.
    Running,
    /// A request that waits for a slot.
    Waiting,
    /// A stream that holds no slot.
    Stream,
    /// A request that runs here for a peer.
    Relayed,
}

/// Counts the open work at this agent.
#[derive(Debug, Default)]
pub(crate) struct OpenWorkGauge {
    running: AtomicU32,
    waiting: AtomicU32,
    streams: AtomicU32,
    relayed: AtomicU32,
}

/// Counts one piece of open work until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenWorkGuard {
    gauge: Arc<OpenWorkGauge>,
    kind: OpenWorkKind,
}

impl OpenWorkGauge {
    /// Creates a gauge at zero.
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Counts one piece of work until the guard is dropped.
    pub(crate) fn track(self: &Arc<Self>, kind: OpenWorkKind) -> OpenWorkGuard {
        self.counter(kind).fetch_add(1, Ordering::Relaxed);
        OpenWorkGuard {
            gauge: Arc::clone(self),
            kind,
        }
    }

    /// Returns the open work now.
    pub(crate) fn read(&self) -> OpenWork {
        let read = |kind| self.counter(kind).load(Ordering::Relaxed);
        OpenWork {
            running: read(OpenWorkKind::Running),
            waiting: read(OpenWorkKind::Waiting),
            streams: read(OpenWorkKind::Stream),
            relayed: read(OpenWorkKind::Relayed),
        }
    }

    fn counter(&self, kind: OpenWorkKind) -> &AtomicU32 {
        match kind {
            OpenWorkKind::Running => &self.running,
            OpenWorkKind::Waiting => &self.waiting,
            OpenWorkKind::Stream => &self.streams,
            OpenWorkKind::Relayed => &self.relayed,
        }
    }
}

impl Drop for OpenWorkGuard {
    fn drop(&mut self) {
        self.gauge
            .counter(self.kind)
            .fetch_sub(1, Ordering::Relaxed);
    }
}
