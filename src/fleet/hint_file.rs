use std::{
    path::{Path, PathBuf},
    sync::mpsc::{self, Receiver, Sender},
    thread,
};

use serde::{Serialize, de::DeserializeOwned};

use super::FleetEvent;
use crate::{
    control::journal::{read_file, replace_file},
    event::log_event,
};

/// The events of a file that can't be read or written.
#[derive(Debug, Clone, Copy)]
pub(super) struct HintEvents {
    pub(super) unread: FleetEvent,
    pub(super) unwritten: FleetEvent,
}

/// Persists a value that helps after a restart. Losing the file costs only time.
#[derive(Debug)]
pub(super) struct HintFile<T> {
    loaded: Receiver<T>,
    write_sender: Sender<T>,
    last_written: T,
}

impl<T> HintFile<T>
where
    T: Clone + Default + PartialEq + Serialize + DeserializeOwned + Send + 'static,
{
    /// Starts a thread that reads the file once and writes it from then on, so
    /// that a stalled disk does not block the process.
    pub(super) fn open(path: PathBuf, events: HintEvents) -> Self {
        let (loaded_sender, loaded) = mpsc::channel();
        let (write_sender, write_requests) = mpsc::channel();
        let spawned = thread::Builder::new()
            .name("hint-file".to_owned())
            .spawn(move || {
                // The receiver is gone when the process is stopping.
                let _ = loaded_sender.send(load(&path, events.unread));
                write_latest(&path, &write_requests, events.unwritten);
            });
        if let Err(error) = spawned {
            log_event!(warn, events.unwritten, %error);
        }
        Self {
            loaded,
            write_sender,
            last_written: T::default(),
        }
    }

    /// Returns, once, what the file held at the start; `None` until it is read.
    pub(super) fn poll_loaded(&mut self) -> Option<T> {
        let value = self.loaded.try_recv().ok()?;
        self.last_written.clone_from(&value);
        Some(value)
    }

    /// Writes the value to the file if it differs from the last one.
    pub(super) fn write(&mut self, value: T) {
        if value != self.last_written {
            self.last_written.clone_from(&value);
            // Without the thread the file stays outdated, which costs only time.
            let _ = self.write_sender.send(value);
        }
    }
}

fn load<T: Default + DeserializeOwned>(path: &Path, unread: FleetEvent) -> T {
    match read_file(path) {
        Ok(value) => value.unwrap_or_default(),
        Err(error) => {
            log_event!(warn, unread, %error);
            T::default()
        }
    }
}

fn write_latest<T: Serialize>(path: &Path, write_requests: &Receiver<T>, unwritten: FleetEvent) {
    while let Ok(mut value) = write_requests.recv() {
        while let Ok(newer) = write_requests.try_recv() {
            value = newer;
        }
        if let Err(error) = replace_file(path, &value) {
            log_event!(warn, unwritten, %error);
        }
    }
}
