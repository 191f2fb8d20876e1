use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use crate::agent::drain::OpenWork;

/// What kind of work is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OpenKind {
    /// A request that holds a slot.
    Running,
    /// A request that waits for one.
    Waiting,
    /// A stream that holds no slot.
    Stream,
    /// A request that runs here for a peer.
    Relayed,
}

/// Counts the work that is open at this agent.
#[derive(Debug, Default)]
pub(crate) struct OpenGauge {
    running: AtomicU32,
    waiting: AtomicU32,
    streams: AtomicU32,
    relayed: AtomicU32,
}

/// One piece of open work; it is counted until this is dropped.
#[derive(Debug)]
pub(crate) struct OpenGuard {
    gauge: Arc<OpenGauge>,
    kind: OpenKind,
}

impl OpenGauge {
    /// Creates a gauge at zero.
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Counts one piece of work until the guard is dropped.
    pub(crate) fn open(self: &Arc<Self>, kind: OpenKind) -> OpenGuard {
        self.counter(kind).fetch_add(1, Ordering::Relaxed);
        OpenGuard {
            gauge: Arc::clone(self),
            kind,
        }
    }

    /// Returns what is open now.
    pub(crate) fn read(&self) -> OpenWork {
        let read = |kind| self.counter(kind).load(Ordering::Relaxed);
        OpenWork {
            running: read(OpenKind::Running),
            waiting: read(OpenKind::Waiting),
            streams: read(OpenKind::Stream),
            relayed: read(OpenKind::Relayed),
        }
    }

    fn counter(&self, kind: OpenKind) -> &AtomicU32 {
        match kind {
            OpenKind::Running => &self.running,
            OpenKind::Waiting => &self.waiting,
            OpenKind::Stream => &self.streams,
            OpenKind::Relayed => &self.relayed,
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.gauge
            .counter(self.kind)
            .fetch_sub(1, Ordering::Relaxed);
    }
}
