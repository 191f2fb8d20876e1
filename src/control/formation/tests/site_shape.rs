//! The VMs of a simulated deployment, and how messages and disks behave there.

/// What a VM of the simulation runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VmKind {
    /// An entry VM with a disk.
    Disk,
    /// An entry VM without a disk.
    Diskless,
    /// A VM beside a target, with an agent.
    Agent,
}

/// The VMs of a deployment; the first ones are the seeds.
#[derive(Debug, Clone)]
pub(super) struct SiteShape {
    pub(super) seeds: Vec<VmKind>,
    pub(super) others: Vec<VmKind>,
    pub(super) tolerated_losses: usize,
}

/// How messages and disks behave.
#[derive(Debug, Clone, Copy)]
pub(super) struct Conditions {
    pub(super) max_delay: u64,
    pub(super) max_sync: u64,
    pub(super) loss: f64,
    pub(super) duplicates: f64,
}

impl Conditions {
    pub(super) const CALM: Self = Self {
        max_delay: 20,
        max_sync: 20,
        loss: 0.0,
        duplicates: 0.0,
    };
}
