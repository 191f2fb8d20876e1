use std::{
    path::{Path, PathBuf},
    sync::mpsc,
    thread,
};

use tokio::sync::mpsc as async_mpsc;

use super::FleetEvent;
use crate::{
    clock::SpanMillis,
    control::{
        formation::{AcceptorState, FormationAction, SeedMemory},
        journal::{JournalError, create_folder, read_file, replace_file},
    },
    event::log_event,
};

/// Pause before a failed write is tried again.
const RETRY_MILLIS: SpanMillis = SpanMillis::new(200);
/// Failed writes from one log line to the next, a minute's.
const REFUSALS_PER_LINE: u32 = 300;

/// A result of the file's thread.
#[derive(Debug)]
pub(super) enum FormationProgress {
    /// The file has been read.
    Loaded(SeedMemory),
    /// The states among these actions are synced; the others are to be executed.
    Synced(Vec<FormationAction>),
}

/// Keeps what a seed with a disk must not forget while the group forms.
#[derive(Debug)]
pub(super) struct FormationFile {
    batches: mpsc::Sender<Vec<FormationAction>>,
}

impl FormationFile {
    /// Starts a thread that reads and writes the file, because a disk may stall. Without a
    /// file, a seed counts as one that starts for the first time if `bootstrap` is set.
    pub(super) fn open(
        path: PathBuf,
        bootstrap: bool,
        progress: async_mpsc::UnboundedSender<FormationProgress>,
    ) -> Self {
        let (batches, queue) = mpsc::channel();
        let spawned = thread::Builder::new()
            .name("formation-file".to_owned())
            .spawn(move || run_file(&path, bootstrap, &queue, &progress));
        if let Err(error) = spawned {
            log_event!(warn, FleetEvent::FormationUnwritten, %error);
        }
        Self { batches }
    }

    /// Syncs the states among the actions and returns the actions as
    /// `FormationProgress::Synced`.
    pub(super) fn submit(&self, actions: Vec<FormationAction>) {
        // Without the thread this seed takes no part in forming the group.
        let _ = self.batches.send(actions);
    }
}

fn run_file(
    path: &Path,
    bootstrap: bool,
    queue: &mpsc::Receiver<Vec<FormationAction>>,
    progress: &async_mpsc::UnboundedSender<FormationProgress>,
) {
    let memory = load(path, bootstrap);
    // The receiver is gone when the process is stopping.
    if progress.send(FormationProgress::Loaded(memory)).is_err() {
        return;
    }
    for actions in queue {
        let mut states = actions.iter().filter_map(|action| match action {
            FormationAction::Persist(state) => Some(state),
            FormationAction::Send { .. } | FormationAction::Formed(_) => None,
        });
        if let Some(state) = states.next_back() {
            write(path, state);
        }
        if progress.send(FormationProgress::Synced(actions)).is_err() {
            return;
        }
    }
}

fn load(path: &Path, bootstrap: bool) -> SeedMemory {
    match read_file(path) {
        Ok(Some(state)) => SeedMemory::Kept(state),
        Ok(None) if bootstrap => SeedMemory::FirstStart,
        Ok(None) => SeedMemory::Lost,
        Err(error) => {
            log_event!(warn, FleetEvent::FormationUnread, %error);
            SeedMemory::Lost
        }
    }
}

/// Writes the state, until it succeeds: nothing that depends on it is sent before.
fn write(path: &Path, state: &AcceptorState) {
    let mut refusals = 0_u32;
    while let Err(error) = write_once(path, state) {
        if refusals.is_multiple_of(REFUSALS_PER_LINE) {
            log_event!(warn, FleetEvent::FormationUnwritten, %error);
        }
        refusals = refusals.saturating_add(1);
        thread::sleep(RETRY_MILLIS.duration());
    }
}

fn write_once(path: &Path, state: &AcceptorState) -> Result<(), JournalError> {
    if let Some(folder) = path.parent() {
        create_folder(folder)?;
    }
    replace_file(path, state)
}
