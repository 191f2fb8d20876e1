use std::{collections::BTreeSet, net::Ipv4Addr};

use serde::{Deserialize, Serialize};

use crate::clock::{ClockMillis, SpanMillis};

/// How long processes that ran before are told where the control group is: VMs
/// that get their power back together start within some tenths of a second.
const NOTIFY_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// The processes that a replica knows to run.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(super) struct KnownProcesses {
    /// Agents, from its directory.
    pub(super) agents: BTreeSet<Ipv4Addr>,
    /// Balancers that follow it.
    pub(super) balancers: BTreeSet<Ipv4Addr>,
}

/// Whom a replica that has just started tells where the control group is.
///
/// Processes without a disk know only the seeds, which may be the last to start.
#[derive(Debug, Default)]
pub(super) struct RestartNotifier {
    pending: BTreeSet<Ipv4Addr>,
    deadline: ClockMillis,
}

impl RestartNotifier {
    /// Sets the processes that ran before this replica started.
    pub(super) fn start(&mut self, known: &KnownProcesses, now: ClockMillis) {
        self.pending = known.agents.union(&known.balancers).copied().collect();
        self.deadline = now.after(NOTIFY_MILLIS);
    }

    /// Notes that a process was heard: it knows the group.
    pub(super) fn note_heard(&mut self, process: Ipv4Addr) {
        self.pending.remove(&process);
    }

    /// Returns whom to tell now.
    pub(super) fn recipients(&self, now: ClockMillis) -> impl Iterator<Item = Ipv4Addr> {
        let open = now < self.deadline;
        self.pending.iter().copied().filter(move |_| open)
    }
}
