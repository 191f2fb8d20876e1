use std::{io, sync::mpsc, thread};

use tokio::sync::mpsc as async_mpsc;

use crate::control::{
    journal::{JournalError, ReplicaJournal},
    replica::{DiskBatch, SyncToken},
};

/// Writes batches on a thread of its own, since a sync may take long.
#[derive(Debug)]
pub(super) struct DiskWriter {
    batches: mpsc::Sender<DiskBatch>,
}

/// What the writer reports: a synced batch, or the failure that ended it.
pub(super) type SyncReport = Result<SyncToken, JournalError>;

impl DiskWriter {
    /// Starts the thread; it ends with the writer or at the first failure.
    pub(super) fn start(
        journal: ReplicaJournal,
    ) -> io::Result<(Self, async_mpsc::UnboundedReceiver<SyncReport>)> {
        let (batches, queue) = mpsc::channel();
        // The core has one batch under way, so neither channel grows.
        let (reports, synced) = async_mpsc::unbounded_channel();
        thread::Builder::new()
            .name("replica-disk".to_owned())
            .spawn(move || write_all(journal, &queue, &reports))?;
        Ok((Self { batches }, synced))
    }

    /// Hands over a batch.
    pub(super) fn write(&self, batch: DiskBatch) {
        // A thread that has ended has reported its failure.
        let _ = self.batches.send(batch);
    }
}

fn write_all(
    mut journal: ReplicaJournal,
    queue: &mpsc::Receiver<DiskBatch>,
    reports: &async_mpsc::UnboundedSender<SyncReport>,
) {
    for batch in queue {
        let report = journal.write_batch(&batch).map(|()| batch.token);
        let failed = report.is_err();
        if reports.send(report).is_err() || failed {
            return;
        }
    }
}
