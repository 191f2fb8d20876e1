use std::{fs, io, path::PathBuf, sync::mpsc, thread};

use tokio::sync::{mpsc as async_mpsc, oneshot};

use super::DiskFaultPolicy;
use crate::{
    clock::SpanMillis,
    control::{
        ControlEvent,
        journal::{JournalError, ReplicaJournal},
        replica::{DiskBatch, DiskId, RecoveredState, SyncToken},
    },
    event::log_event,
};

/// The pause before a refused write or a refused start is tried again.
const RETRY_MILLIS: SpanMillis = SpanMillis::new(200);

/// Writes batches on a thread of its own, since a sync may take long.
#[derive(Debug)]
pub(super) struct DiskWriter {
    batches: mpsc::Sender<DiskBatch>,
}

/// What the writer reports: a synced batch, or the failure that ended it.
pub(super) type SyncReport = Result<SyncToken, JournalError>;

/// What a data folder held, or why it can't be used.
type OpenReport = Result<RecoveredState, JournalError>;

/// The writer's ends that the replica's driver reads.
#[derive(Debug)]
pub(super) struct DiskReports {
    /// Tells once what the folder held.
    pub(super) opened: oneshot::Receiver<OpenReport>,
    /// Tells of each synced batch.
    pub(super) synced: async_mpsc::UnboundedReceiver<SyncReport>,
}

impl DiskWriter {
    /// Starts the thread, which opens the folder; it ends with the writer or,
    /// unless it is to retry, at the first failure.
    pub(super) fn start(
        folder: PathBuf,
        policy: DiskFaultPolicy,
    ) -> io::Result<(Self, DiskReports)> {
        let (batches, queue) = mpsc::channel();
        // The core has one batch under way, so neither channel grows.
        let (reports, synced) = async_mpsc::unbounded_channel();
        let (open_report, opened) = oneshot::channel();
        let task = WriterTask { folder, policy };
        thread::Builder::new()
            .name("replica-disk".to_owned())
            .spawn(move || task.run(open_report, &queue, &reports))?;
        Ok((Self { batches }, DiskReports { opened, synced }))
    }

    /// Hands over a batch.
    pub(super) fn write(&self, batch: DiskBatch) {
        // A thread that has ended has reported its failure.
        let _ = self.batches.send(batch);
    }
}

struct WriterTask {
    folder: PathBuf,
    policy: DiskFaultPolicy,
}

impl WriterTask {
    fn run(
        self,
        open_report: oneshot::Sender<OpenReport>,
        queue: &mpsc::Receiver<DiskBatch>,
        reports: &async_mpsc::UnboundedSender<SyncReport>,
    ) {
        let mut journal = match self.open() {
            Ok((journal, recovered)) => {
                if open_report.send(Ok(recovered)).is_err() {
                    return;
                }
                journal
            }
            Err(error) => {
                // A driver that is gone needs no report.
                let _ = open_report.send(Err(error));
                return;
            }
        };
        for batch in queue {
            let report = self.write(&mut journal, &batch).map(|()| batch.token);
            let failed = report.is_err();
            if reports.send(report).is_err() || failed {
                return;
            }
        }
    }

    /// Opens the folder, as often as the policy asks for.
    fn open(&self) -> Result<(ReplicaJournal, RecoveredState), JournalError> {
        loop {
            let error = match ReplicaJournal::open(&self.folder, DiskId::new(rand::random())) {
                Ok(opened) => return Ok(opened),
                Err(error) => error,
            };
            match (self.policy, &error) {
                (DiskFaultPolicy::Stop, _) => return Err(error),
                (
                    DiskFaultPolicy::Retry,
                    JournalError::Damaged { .. } | JournalError::IdentityMissing { .. },
                ) => {
                    log_event!(error, ControlEvent::FolderDiscarded, %error);
                    if let Err(cause) = fs::remove_dir_all(&self.folder) {
                        log_event!(error, ControlEvent::DiskRefused, error = %cause);
                    }
                }
                (DiskFaultPolicy::Retry, _) => log_event!(error, ControlEvent::DiskRefused, %error),
            }
            thread::sleep(RETRY_MILLIS.duration());
        }
    }

    /// Writes a batch; a refused one is written as a whole again, which
    /// replaces what of it had reached the disk.
    fn write(&self, journal: &mut ReplicaJournal, batch: &DiskBatch) -> Result<(), JournalError> {
        let mut result = journal.write_batch(batch);
        let mut refusals = 0_u32;
        while let Err(error) = result {
            if self.policy == DiskFaultPolicy::Stop {
                return Err(error);
            }
            if refusals == 0 {
                log_event!(error, ControlEvent::DiskRefused, %error);
            }
            refusals += 1;
            thread::sleep(RETRY_MILLIS.duration());
            result = journal.reopen().and_then(|()| journal.write_batch(batch));
        }
        if refusals > 0 {
            log_event!(info, ControlEvent::DiskRecovered, refusals);
        }
        Ok(())
    }
}
