//! A disk that becomes full at a chosen operation of the test's thread.

use std::{cell::RefCell, io};

use crate::control::journal::disk_operation::DiskOperation;

/// What a full disk still does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FullDisk {
    /// It refuses every operation.
    RefusesAll,
    /// It syncs, renames and removes.
    MovesFiles,
    /// It syncs, but renames and removes nothing.
    Syncs,
}

impl FullDisk {
    fn refuses(self, operation: DiskOperation) -> bool {
        match operation {
            DiskOperation::Create | DiskOperation::Write | DiskOperation::SetLength => true,
            DiskOperation::Rename | DiskOperation::Remove => self != Self::MovesFiles,
            DiskOperation::Sync => self == Self::RefusesAll,
        }
    }
}

/// How much of a refused write reaches the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ShortWrite {
    Nothing,
    Half,
    AllButOne,
}

#[derive(Debug)]
struct DiskPlan {
    disk: FullDisk,
    short_write: ShortWrite,
    /// Operations before the disk is full.
    remaining: usize,
    refusals: usize,
}

thread_local! {
    static PLAN: RefCell<Option<DiskPlan>> = const { RefCell::new(None) };
}

/// Runs `action` with a disk that is full after `operations` more of the kinds that it
/// refuses; returns also how many it refused.
pub(super) fn with_full_disk<T>(
    disk: FullDisk,
    short_write: ShortWrite,
    operations: usize,
    action: impl FnOnce() -> T,
) -> (T, usize) {
    PLAN.set(Some(DiskPlan {
        disk,
        short_write,
        remaining: operations,
        refusals: 0,
    }));
    let result = action();
    let plan = PLAN.take();
    (result, plan.map_or(0, |plan| plan.refusals))
}

fn is_admitted(operation: DiskOperation) -> Option<ShortWrite> {
    PLAN.with_borrow_mut(|plan| {
        let plan = plan.as_mut()?;
        if !plan.disk.refuses(operation) {
            return None;
        }
        if let Some(remaining) = plan.remaining.checked_sub(1) {
            plan.remaining = remaining;
            return None;
        }
        plan.refusals += 1;
        Some(plan.short_write)
    })
}

/// Refuses an operation of a full disk.
pub(in crate::control::journal) fn admit(operation: DiskOperation) -> io::Result<()> {
    match is_admitted(operation) {
        None => Ok(()),
        Some(_) => Err(io::ErrorKind::StorageFull.into()),
    }
}

/// Returns how many of the bytes are written before the disk refuses the rest.
pub(in crate::control::journal) fn admit_bytes(operation: DiskOperation, length: usize) -> usize {
    match is_admitted(operation) {
        None => length,
        Some(ShortWrite::Nothing) => 0,
        Some(ShortWrite::Half) => length / 2,
        Some(ShortWrite::AllButOne) => length.saturating_sub(1),
    }
}
