use std::sync::atomic::{AtomicU32, Ordering};

use metrics::gauge;

use crate::{agent::admission::TargetLoad, manifest::ServiceLimits};

/// The target's current load, updated by the tasks that cause it.
#[derive(Debug)]
pub(crate) struct LoadGauge {
    requests: AtomicU32,
    connections: AtomicU32,
    slots: AtomicU32,
    connection_limit: AtomicU32,
}

impl LoadGauge {
    /// Creates the gauge of an idle target.
    pub(crate) fn new(limits: ServiceLimits) -> Self {
        let gauge = Self {
            requests: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            slots: AtomicU32::new(0),
            connection_limit: AtomicU32::new(0),
        };
        gauge.set_limits(limits);
        gauge
    }

    /// Sets the limits from the manifest.
    pub(crate) fn set_limits(&self, limits: ServiceLimits) {
        self.slots.store(u32::from(limits.slots), Ordering::Relaxed);
        self.connection_limit
            .store(limits.connections, Ordering::Relaxed);
    }

    /// Sets the number of requests that run or wait.
    pub(crate) fn set_requests(&self, requests: u32) {
        self.requests.store(requests, Ordering::Relaxed);
    }

    /// Sets the number of open connections.
    pub(crate) fn set_connections(&self, connections: usize) {
        let connections = u32::try_from(connections).unwrap_or(u32::MAX);
        self.connections.store(connections, Ordering::Relaxed);
    }

    /// Returns the current load.
    pub(crate) fn read(&self) -> TargetLoad {
        TargetLoad {
            requests: self.requests.load(Ordering::Relaxed),
            slots: self.slots.load(Ordering::Relaxed),
            connections: self.connections.load(Ordering::Relaxed),
            connection_limit: self.connection_limit.load(Ordering::Relaxed),
        }
    }

    /// Publishes the load as metrics.
    pub(crate) fn publish(&self) {
        let load = self.read();
        gauge!("cyclamen_agent_requests").set(load.requests);
        gauge!("cyclamen_agent_slots").set(load.slots);
        gauge!("cyclamen_agent_connections").set(load.connections);
    }
}
