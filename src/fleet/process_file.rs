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

/// Persists which processes run, so that a restarted replica can notify them of
/// the control group and knows when it has heard every agent.
///
/// The file is a hint: losing it costs only time.
#[derive(Debug)]
pub(super) struct ProcessFile {
    loaded: Receiver<KnownProcesses>,
    write_sender: Sender<KnownProcesses>,
    last_written: KnownProcesses,
}

impl ProcessFile {
    /// Starts a thread that reads the file once and writes it from then on, so
    /// that a stalled disk does not block the process.
    pub(super) fn open(folder: &Path) -> Self {
        let path = folder.join(FILE_NAME);
        let (loaded_sender, loaded) = mpsc::channel();
        let (write_sender, write_requests) = mpsc::channel();
        let spawned = thread::Builder::new()
            .name("process-file".to_owned())
            .spawn(move || {
                // The receiver is gone when the process is stopping.
                let _ = loaded_sender.send(load_processes(&path));
                write_latest(&path, &write_requests);
            });
        if let Err(error) = spawned {
            log_event!(warn, FleetEvent::AgentsUnwritten, %error);
        }
        Self {
            loaded,
            write_sender,
            last_written: KnownProcesses::default(),
        }
    }

    /// Returns, once, the processes that ran when the file was last written;
    /// `None` until the file is read.
    pub(super) fn poll_loaded(&mut self) -> Option<KnownProcesses> {
        let known = self.loaded.try_recv().ok()?;
        self.last_written.clone_from(&known);
        Some(known)
    }

    /// Writes these processes to the file if they differ from the last ones.
    pub(super) fn write(&mut self, known: KnownProcesses) {
        if known != self.last_written {
            self.last_written.clone_from(&known);
            // Without the thread the file stays outdated, which costs only time.
            let _ = self.write_sender.send(known);
        }
    }
}

fn load_processes(path: &Path) -> KnownProcesses {
    match read_file(path) {
        Ok(known) => known.unwrap_or_default(),
        Err(error) => {
            log_event!(warn, FleetEvent::AgentsUnread, %error);
            KnownProcesses::default()
        }
    }
}

fn write_latest(path: &Path, write_requests: &Receiver<KnownProcesses>) {
    while let Ok(mut known) = write_requests.recv() {
        while let Ok(newer) = write_requests.try_recv() {
            known = newer;
        }
        if let Err(error) = replace_file(path, &known) {
            log_event!(warn, FleetEvent::AgentsUnwritten, %error);
        }
    }
}
