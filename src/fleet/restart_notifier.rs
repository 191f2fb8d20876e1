use std::{collections::BTreeSet, net::Ipv4Addr};

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockMillis, SpanMillis},
    key::is_vm_address,
};

/// How long processes that ran before a restart are notified of the control
/// group: VMs whose power returns together start within some tenths of a second.
const NOTIFY_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// The processes that a replica knows to be running.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(super) struct KnownProcesses {
    /// The agents in its directory.
    pub(super) agents: BTreeSet<Ipv4Addr>,
    /// The balancers that watch it.
    pub(super) balancers: BTreeSet<Ipv4Addr>,
}

/// Selects the processes that a replica notifies of the control group's members
/// after its start.
///
/// Processes without a disk know only the seeds, which may be the last to start.
#[derive(Debug, Default)]
pub(super) struct RestartNotifier {
    pending: BTreeSet<Ipv4Addr>,
    deadline: ClockMillis,
}

impl RestartNotifier {
    /// Starts to notify the processes that ran before this replica started.
    pub(super) fn start(&mut self, known: &KnownProcesses, now: ClockMillis) {
        let processes = known.agents.union(&known.balancers).copied();
        self.pending = processes
            .filter(|process| is_vm_address(*process))
            .collect();
        self.deadline = now.after(NOTIFY_MILLIS);
    }

    /// Stops notifying a process that has contacted this replica: it knows the
    /// group.
    pub(super) fn note_heard(&mut self, process: Ipv4Addr) {
        self.pending.remove(&process);
    }

    /// Returns the processes to notify now.
    pub(super) fn recipients(&self, now: ClockMillis) -> impl Iterator<Item = Ipv4Addr> {
        let active = now < self.deadline;
        self.pending.iter().copied().filter(move |_| active)
    }
}
