use std::{
    path::Path,
    sync::mpsc::{self, Receiver, Sender},
    thread,
};

use super::{FleetEvent, restart_notifier::KnownProcesses};
use crate::{
    control::journal::{read_file, replace_file},
    event::log_event,
};

/// The name of the file within the data folder.
const FILE_NAME: &str = "processes";

/// Remembers which processes run, so that a replica that starts again tells them
/// where it is and knows when it has heard every agent. It is a hint: a lost file costs only time.
#[derive(Debug)]
pub(super) struct ProcessFile {
    read: Receiver<KnownProcesses>,
    writes: Sender<KnownProcesses>,
    last_written: KnownProcesses,
}

impl ProcessFile {
    /// Starts the thread that reads the file once and writes it from then on,
    /// since a disk may stall.
    pub(super) fn open(folder: &Path) -> Self {
        let path = folder.join(FILE_NAME);
        let (found, read) = mpsc::channel();
        let (writes, queue) = mpsc::channel();
        let spawned = thread::Builder::new()
            .name("process-file".to_owned())
            .spawn(move || {
                // A process that has ended needs nothing.
                let _ = found.send(read_known(&path));
                write_newest(&path, &queue);
            });
        if let Err(error) = spawned {
            log_event!(warn, FleetEvent::AgentsUnwritten, %error);
        }
        Self {
            read,
            writes,
            last_written: KnownProcesses::default(),
        }
    }

    /// Returns, once, the processes that ran when the file was last written.
    pub(super) fn poll_loaded(&mut self) -> Option<KnownProcesses> {
        let known = self.read.try_recv().ok()?;
        self.last_written.clone_from(&known);
        Some(known)
    }

    /// Has the file name these processes, unless it does.
    pub(super) fn write(&mut self, known: KnownProcesses) {
        if known != self.last_written {
            self.last_written.clone_from(&known);
            // Without its thread the file stays old, which costs only time.
            let _ = self.writes.send(known);
        }
    }
}

fn read_known(path: &Path) -> KnownProcesses {
    match read_file(path) {
        Ok(known) => known.unwrap_or_default(),
        Err(error) => {
            log_event!(warn, FleetEvent::AgentsUnread, %error);
            KnownProcesses::default()
        }
    }
}

fn write_newest(path: &Path, queue: &Receiver<KnownProcesses>) {
    while let Ok(mut known) = queue.recv() {
        while let Ok(newer) = queue.try_recv() {
            known = newer;
        }
        if let Err(error) = replace_file(path, &known) {
            log_event!(warn, FleetEvent::AgentsUnwritten, %error);
        }
    }
}
