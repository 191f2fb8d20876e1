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

/// Pause before a failed write or a failed start is tried again.
const RETRY_MILLIS: SpanMillis = SpanMillis::new(200);
/// Failed attempts from one log line about a batch to the next, a minute's.
const REFUSALS_PER_LINE: u32 = 300;

/// Makes batches durable.
#[derive(Debug)]
pub(super) enum DiskWriter {
    /// On a thread of its own, because a sync may block for long.
    Thread { batches: mpsc::Sender<DiskBatch> },
    /// Not at all: the core holds everything in memory.
    Memory {
        synced: async_mpsc::UnboundedSender<SyncResult>,
    },
}

/// A synced batch, or the failure that ended the writer.
pub(super) type SyncResult = Result<SyncToken, JournalError>;

/// The content of the data folder, or why it can't be used.
type OpenResult = Result<RecoveredState, JournalError>;

/// Receivers of the writer's results, for the replica's driver.
#[derive(Debug)]
pub(super) struct DiskReports {
    /// Receives the content of the folder once.
    pub(super) opened: oneshot::Receiver<OpenResult>,
    /// Receives the token of each synced batch.
    pub(super) synced: async_mpsc::UnboundedReceiver<SyncResult>,
}

impl DiskWriter {
    /// Starts the thread, which opens the folder. It ends when the writer is dropped
    /// or, with `DiskFaultPolicy::Stop`, at the first failure.
    pub(super) fn start(
        folder: PathBuf,
        policy: DiskFaultPolicy,
    ) -> io::Result<(Self, DiskReports)> {
        let (batches, queue) = mpsc::channel();
        // The core issues one batch at a time, so neither channel grows.
        let (result_sender, synced) = async_mpsc::unbounded_channel();
        let (open_sender, opened) = oneshot::channel();
        let task = WriterTask { folder, policy };
        thread::Builder::new()
            .name("replica-disk".to_owned())
            .spawn(move || task.run(open_sender, &queue, &result_sender))?;
        Ok((Self::Thread { batches }, DiskReports { opened, synced }))
    }

    /// Creates the writer of a replica without a disk.
    pub(super) fn in_memory(disk: DiskId) -> (Self, DiskReports) {
        let (sender, synced) = async_mpsc::unbounded_channel();
        let (open_sender, opened) = oneshot::channel();
        // The receiver is in the returned reports.
        let _ = open_sender.send(Ok(RecoveredState::new(disk)));
        (
            Self::Memory { synced: sender },
            DiskReports { opened, synced },
        )
    }

    /// Queues a batch.
    pub(super) fn write(&self, batch: DiskBatch) {
        match self {
            // If the thread has ended, it has already reported its failure.
            Self::Thread { batches } => drop(batches.send(batch)),
            // If the driver has ended, nobody waits for the batch.
            Self::Memory { synced } => drop(synced.send(Ok(batch.token))),
        }
    }
}

struct WriterTask {
    folder: PathBuf,
    policy: DiskFaultPolicy,
}

impl WriterTask {
    fn run(
        self,
        open_sender: oneshot::Sender<OpenResult>,
        queue: &mpsc::Receiver<DiskBatch>,
        result_sender: &async_mpsc::UnboundedSender<SyncResult>,
    ) {
        let mut journal = match self.open() {
            Ok((journal, recovered)) => {
                if open_sender.send(Ok(recovered)).is_err() {
                    return;
                }
                journal
            }
            Err(error) => {
                // The driver may have been dropped.
                let _ = open_sender.send(Err(error));
                return;
            }
        };
        for batch in queue {
            let result = self.write(&mut journal, &batch).map(|()| batch.token);
            let failed = result.is_err();
            if result_sender.send(result).is_err() || failed {
                return;
            }
        }
    }

    /// Opens the folder; retries if the policy says so.
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

    /// Writes a batch. With `DiskFaultPolicy::Retry` a failed batch is written again
    /// as a whole, which replaces the part that had reached the disk.
    fn write(&self, journal: &mut ReplicaJournal, batch: &DiskBatch) -> Result<(), JournalError> {
        let mut result = journal.write_batch(batch);
        let mut refusals = 0_u32;
        while let Err(error) = result {
            if self.policy == DiskFaultPolicy::Stop {
                return Err(error);
            }
            if refusals.is_multiple_of(REFUSALS_PER_LINE) {
                log_event!(error, ControlEvent::DiskRefused, %error);
            }
            refusals += 1;
            thread::sleep(RETRY_MILLIS.duration());
            result = journal.retry_batch(batch);
        }
        if refusals > 0 {
            log_event!(info, ControlEvent::DiskRecovered, refusals);
        }
        Ok(())
    }
}
